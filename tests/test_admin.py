"""The administration API: authentication, bad input and stable error codes."""

import json
import socket
import threading

import pytest
import urllib3
from bundle_parts import TRUSTED, bundle_text
from memory_store import MemoryStore

from wasabicross.bundles import rollout_errors
from wasabicross.bundles.bundle_store import BundleStore
from wasabicross.bundles.drafts import Drafts
from wasabicross.operators import admin_errors
from wasabicross.operators.admin_actions import AdminActions
from wasabicross.operators.admin_api import MAX_BODY_BYTES, AdminApi
from wasabicross.operators.bundle_status import InstanceBundleStatus
from wasabicross.operators.rollout import Rollout
from wasabicross.runtime.http_server import HttpServer
from wasabicross.runtime.settings import OperatorSettings

TOKEN = 'operator-token-1'
BEARER = {'Authorization': f'Bearer {TOKEN}'}
DIGEST = 'f' * 64
UNKNOWN = f'/v1/bundles/{DIGEST}'


class Instances:
    """A status source whose instances can be set."""

    def __init__(self):
        self.statuses = ()

    def instances(self):
        return self.statuses

    def set_bundles(self, *numbers):
        self.statuses = tuple(
            InstanceBundleStatus(f'i{at}', 'ltn', number, DIGEST, '2026', 0.1)
            for at, number in enumerate(numbers)
        )


class ServedApi:
    """Serves the API on a free port, with a store in memory."""

    def __init__(self):
        self.keys = MemoryStore()
        self.instances = Instances()
        store = BundleStore(self.keys)
        actions = AdminActions(
            store,
            Drafts(store, TRUSTED),
            Rollout(store, TRUSTED),
            self.instances,
            ('ltn', 'bur'),
        )
        api = AdminApi([OperatorSettings(name='alice', token=TOKEN)], actions)
        self.server = HttpServer(
            ('127.0.0.1', 0), api, numthreads=4, timeout=1, shutdown_timeout=2
        )
        self.server.prepare()
        self.url = f'http://127.0.0.1:{self.server.bind_addr[1]}'

    def call(self, method, path, body=b'', headers=BEARER):
        resp = urllib3.request(
            method,
            self.url + path,
            body=body,
            headers=headers,
            retries=False,
        )
        return resp.status, json.loads(resp.data)


@pytest.fixture(scope='module')
def server():
    server = ServedApi()
    thread = threading.Thread(target=server.server.serve)
    thread.start()
    yield server
    server.server.stop()
    thread.join()


@pytest.fixture
def served(server):
    server.keys.__init__()
    vars(server.instances).clear()
    server.instances.__init__()
    return server


@pytest.mark.parametrize(
    ('method', 'path', 'body', 'headers', 'status', 'code'),
    [
        ('GET', '/v1/status', b'', {}, 401, 'unauthorised'),
        (
            'GET',
            '/v1/status',
            b'',
            {'Authorization': 'Bearer wrong'},
            401,
            'unauthorised',
        ),
        (
            'GET',
            '/v1/status',
            b'',
            {'Authorization': f'Basic {TOKEN}'},
            401,
            'unauthorised',
        ),
        ('GET', '/nothing', b'', BEARER, 404, 'no_path'),
        ('GET', '/v1/bundles/abc', b'', BEARER, 404, 'no_path'),
        ('DELETE', '/v1/status', b'', BEARER, 405, 'bad_method'),
        ('GET', UNKNOWN, b'', BEARER, 404, 'unknown_bundle'),
        ('POST', f'{UNKNOWN}/roll', b'', BEARER, 404, 'unknown_bundle'),
        ('POST', f'{UNKNOWN}/supersede', b'', BEARER, 400, 'bad_query'),
        ('GET', '/v1/history?limit=x', b'', BEARER, 400, 'bad_query'),
        ('GET', '/v1/history?limit=0', b'', BEARER, 400, 'bad_query'),
        ('GET', '/v1/history?limit=1&a=2', b'', BEARER, 400, 'bad_query'),
        ('POST', f'{UNKNOWN}/signature', b'{', BEARER, 400, 'bad_body'),
        (
            'POST',
            f'{UNKNOWN}/signature',
            b'{"key": "alice", "signature": "zz"}',
            BEARER,
            400,
            'bad_body',
        ),
        (
            'POST',
            f'{UNKNOWN}/signature',
            b'{"key": "alice", "signature": "00"}',
            BEARER,
            404,
            'unknown_bundle',
        ),
        ('POST', '/v1/bundles', b'\xff', BEARER, 400, 'bad_body'),
        ('POST', '/v1/bundles', b'a: [', BEARER, 422, 'bundle_invalid'),
        (
            'POST',
            '/v1/bundles',
            b'',
            {**BEARER, 'Content-Length': str(MAX_BODY_BYTES + 1)},
            413,
            'too_large',
        ),
        (
            'POST',
            '/v1/bundles',
            iter([b'a']),
            {**BEARER, 'Transfer-Encoding': 'chunked'},
            411,
            'length_required',
        ),
    ],
)
def test_refusals(served, method, path, body, headers, status, code):
    answered, content = served.call(method, path, body, headers)
    assert (answered, content['error']['code']) == (status, code)
    assert {'type', 'code', 'message'} <= content['error'].keys()


@pytest.mark.parametrize(
    'garbage',
    [
        b'\x00\xff' * 50 + b'\r\n\r\n',
        b'GET / HTTP/9.9\r\n\r\n',
        b'POST /v1/bundles HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n'
        b'Authorization: Bearer operator-token-1\r\n\r\nabc',
        b'GET /v1/status HTTP/1.1\r\nHost: x\r\nSlow',
    ],
)
def test_garbage_harms_no_other_request(served, garbage):
    address = ('127.0.0.1', served.server.bind_addr[1])
    with socket.create_connection(address, 5) as conn:
        conn.sendall(garbage)
        assert served.call('GET', '/v1/status')[0] == 200
        conn.shutdown(socket.SHUT_WR)
        answer = conn.recv(4096)
    assert b' 200 ' not in answer


def test_defect_is_told_and_harms_no_other_request(served):
    served.instances.instances = lambda: 1 / 0
    status, content = served.call('GET', '/v1/status')
    assert (status, content['error']['code']) == (500, 'internal_error')
    assert served.call('GET', '/v1/history') == (200, {'bundles': []})


def test_faults_of_the_file_are_listed(served):
    body = bundle_text({'a@': '1'}, routes=[]).encode()
    content = served.call('POST', '/v1/bundles', body)[1]
    paths = [fault['path'] for fault in content['error']['faults']]
    assert paths == ['routes', 'adapters.0.versions.a@.[key]']


def test_status_while_the_store_is_down(served):
    served.instances.set_bundles(3, 4)
    served.keys.is_down = True
    status, content = served.call('GET', '/v1/status')
    assert (status, content['store_reachable']) == (200, False)
    assert content['in_force']['number'] == 4
    states = [each['state'] for each in content['data_centres']]
    assert states == ['lagging', 'unreachable']
    status, content = served.call('GET', '/v1/history')
    assert (status, content['error']['code']) == (503, 'store_unavailable')


def test_every_error_of_an_action_has_a_code():
    kinds = set(rollout_errors.RolloutError.__subclasses__())
    codes = {code for _group, code in admin_errors._GROUPS_AND_CODES.values()}
    assert kinds < admin_errors._GROUPS_AND_CODES.keys()
    assert len(codes) == len(admin_errors._GROUPS_AND_CODES)
