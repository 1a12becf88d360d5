"""Gateways as processes before scripted engines, for streams taken up elsewhere."""

import http.client
import itertools
import json

from take_up_callers import Answer, Begun
from take_up_engines import HOST, MODEL, SERVICES

from emulator.fleet import Program
from emulator.proxy import ProxyClient
from emulator.soak.store import encode_value
from emulator.waiting import free_ports, wait_until
from wasabicross.gateway.stream_division_records import stored_division
from wasabicross.gateway.stream_divisions import (
    BUCKETS,
    StreamDivision,
    bucket_of,
)
from wasabicross.platform.division_records import (
    division_key,
    encode_division,
)

GRACE_S = 1.0

#: Longest work of a server for a caller that has left, and beside a second one.
MAX_ALONE_S = 0.5
MAX_BESIDE_S = 0.4

#: Longest time of a refusal that waits for nothing.
AT_ONCE_S = 1.0

#: The gateways and their data centres. `apart` hears of the store's content from
#: nobody else, as it is the only one of its data centre.
GATEWAYS = {
    'first': 'north',
    'second': 'south',
    'killed': 'south',
    'stopping': 'south',
    'apart': 'west',
}
DATA_CENTRES = ('north', 'south', 'west')

#: Software version of each bucket of streams, in all services.
BUCKET_VERSIONS = ('v1', 'v2') * (BUCKETS // 2)

#: Services whose engines are all of one software version begin with this.
SOLE = 'sole-'

#: Services of one route that they share.
SPLIT = ('calm', 'other')


class Deployment:
    """The gateways, their store and their engines.

    :param runner: runs the processes.
    :param engines: the engines.
    :param folder: folder for the settings of gateways.
    """

    def __init__(self, runner, engines, folder):
        self.runner = runner
        self.engines = engines
        self._folder = folder
        ports = iter(free_ports(7))
        self._store_port = next(ports)
        control = next(ports)
        self._link_port = next(ports)
        self._caller_port = next(ports)
        self._ready_port = next(ports)
        self._peer_ports = [next(ports), next(ports)]
        self.proxy = ProxyClient(control)
        self._numbers = itertools.count()
        self._control = control
        self.hosts = {
            name: f'127.0.0.{20 + number}'
            for number, name in enumerate(GATEWAYS)
        }

    def start(self):
        """Start the gateways; return when all services are divided."""
        links = (
            *('--control', str(self._control)),
            *('--listen', str(self._link_port)),
            *('--target', f'{HOST}:{self._store_port}'),
        )
        store = ('--port', str(self._store_port))
        self.runner.run(
            Program(
                'store',
                'emulator.soak.store',
                store,
                f'tcp://{HOST}:{self._store_port}',
            ),
            Program(
                'proxy',
                'emulator.proxy',
                links,
                f'tcp://{HOST}:{self._control}',
            ),
        )
        # Owners take their groups at once where no entry lists an adapter.
        for each in self.engines.all:
            self.put(f'servers/{each.name}', each.entry(()))
        for service in SERVICES:
            self.put(division_key(service), _division(service))
        self.put('op/config', _configuration())
        self.runner.run(*map(self._gateway, GATEWAYS))
        wait_until(self._has_owners, 20, 'owners of all groups')
        for each in self.engines.all:
            self.put(f'servers/{each.name}', each.entry())
        # Entries are known in the order in which they were written.
        last = self.engines.all[-1]
        for gateway in GATEWAYS:
            wait_until(
                lambda: self._serves(gateway, last.service, last.version),
                10,
                f'{gateway} begins streams of {last.service}',
            )

    def put(self, key, document):
        """Write an item as the operator or a server; None removes it."""
        text = document and encode_value(json.dumps(document).encode())
        conn = http.client.HTTPConnection(HOST, self._store_port, timeout=5)
        conn.request(
            'POST', '/debug/put', json.dumps({'key': key, 'text': text})
        )
        assert conn.getresponse().status == 200
        conn.close()

    def cut_off(self):
        """Let nothing pass between the store and the gateway `apart`."""
        self.proxy.fault(self._link_port, hold=['up', 'down'])

    def heal(self):
        """End that."""
        self.proxy.heal(self._link_port)

    def ask(self, gateway, path, request_id, **fields):
        """Send a request of a caller."""
        all_fields = {
            'Host': 'a.example',
            'Request-Id': request_id,
            'Time-Left-Ms': '5000',
            'Model': f'{MODEL}/a1',
            'Token-Count': '10,10',
            **{name.replace('_', '-'): text for name, text in fields.items()},
        }
        host = self.hosts[gateway]
        return Answer(host, self._caller_port, path, all_fields)

    def take_up(self, gateway, begun, last, **fields):
        """Send a caller's take-up of a stream that it has begun."""
        names = {'Resumes': begun.request_id, 'Last_Event_Id': str(last)}
        request_id = f'{begun.request_id}-{next(self._numbers)}'
        return self.ask(gateway, begun.path, request_id, **(names | fields))

    def begun(self, gateway, service, version, upto=3, *, leaves=False):
        """Return a stream of a version, of which some events have been read.

        :param upto: number of the last event that is read.
        :param leaves: whether the caller leaves after it.
        """
        request_id = self.request_id(version)
        begun = self.begun_by(gateway, service, request_id, upto)
        assert begun.version == f'{service} {version}'
        if leaves:
            begun.answer.leave()
        return begun

    def begun_by(self, gateway, route, request_id, upto=3, **fields):
        """Return a stream that an attempt has begun, of which some was read."""
        path = f'/{route}/{request_id}'
        answer = self.ask(gateway, path, request_id, **fields)
        assert answer.status == 200
        return Begun(path, request_id, answer, answer.read(upto)[0][1])

    def reaches(self, gateway, service, version, engine):
        """Tell whether a new stream of a version runs at one of its engines."""
        begun = self.begun(gateway, service, version, 1, leaves=True)
        return bool(engine.runs_of(begun.path))

    def request_id(self, version):
        """Return an id of an attempt that begins a stream of a version."""
        return next(
            each
            for each in map('{:x}'.format, self._numbers)
            if BUCKET_VERSIONS[bucket_of(each)] == version
        )

    def _serves(self, gateway, service, version):
        request_id = self.request_id(version)
        answer = self.ask(gateway, f'/{service}/{request_id}', request_id)
        is_served = answer.status == 200
        answer.leave()
        return is_served

    def _has_owners(self):
        conn = http.client.HTTPConnection(HOST, self._store_port, timeout=5)
        conn.request('GET', '/-/kv-range?pathPrefix=wasabicross/owner/')
        owned = json.loads(conn.getresponse().read())['items']
        conn.close()
        return len(owned) == 2 * len(DATA_CENTRES)

    def _gateway(self, name):
        path = self._folder / f'{name}.json'
        path.write_text(json.dumps(self._settings(name)))
        return Program(
            name,
            'wasabicross.programs.start_gateway',
            ready=f'http://{self.hosts[name]}:{self._ready_port}/-/ready',
            env=(('WASABICROSS_NODE_FILE', str(path)),),
        )

    def _settings(self, name):
        host = self.hosts[name]
        port = self._link_port if name == 'apart' else self._store_port
        return {
            'nodeName': name,
            'ip': host,
            'zone': GATEWAYS[name],
            'zones': dict.fromkeys(DATA_CENTRES, 'region'),
            'bootstrap': True,
            'listen': {
                'front': f'{host}:{self._caller_port}',
                'ready': f'{host}:{self._ready_port}',
            },
            'portRange': self._peer_ports,
            'platform': {'address': f'{HOST}:{port}'},
            'bounds': {
                'retryRatio': 0.2,
                'retrySlack': 400,
                'graceS': GRACE_S,
                'leaseMs': 3000,
            },
            'seeds': [f'{each}:1' for each in self.hosts.values()],
            'limits': {'cpuShare': 1.0, 'cores': 1, 'linkMbps': 1000.0},
        }


def _division(service):
    """Return the division of a service, as if it had been in force for long."""
    is_sole = service.startswith(SOLE)
    buckets = ('v1',) * BUCKETS if is_sole else BUCKET_VERSIONS
    division = StreamDivision(1, buckets)
    stored = stored_division(division, 0, era=1)
    return json.loads(encode_division(service, stored))


def _configuration():
    limits = {
        'maxHeaderBytes': 16384,
        'maxBodyBytes': 65536,
        'headerTimeoutMs': 2000,
        'idleTimeoutMs': 10000,
    }
    model = {'name': MODEL, 'weightsMb': 40, 'adapterMb': 1}
    engine = {'adapterSlots': 4, 'weightsMb': 50, 'models': [model]}
    split = [{'service': each, 'weight': 1} for each in SPLIT]
    return {
        'version': 1,
        'routes': [
            *(_route(each, {'service': each}) for each in SERVICES),
            _route('split', {'trafficSplit': split}),
        ],
        'services': [
            {
                'name': each,
                'healthPath': '/health',
                'maxConns': 500,
                'engine': engine,
            }
            for each in SERVICES
        ],
        'limits': limits,
    }


def _route(name, target):
    return {
        'name': name,
        'host': 'a.example',
        'pathPrefix': f'/{name}/',
        'kind': 'streaming',
        'timeoutMs': 5000,
        'targetLatencyMs': 400,
        'targetGapMs': 250,
        'priority': 2,
        'maxAttempts': 2,
        'resumable': True,
        **target,
    }
