"""Header fields of a caller's request that reach a server."""

import pytest
from gateway_parts import (
    OK,
    run_request,
)
from raw_caller import request, status_of


def test_callers_cannot_set_what_is_ours():
    sent = request(
        '/unsafe/x',
        b'x',
        Expect_Instance='i-9',
        Request_Priority='0',
        Pin_Ms='9',
        Connection='X-Hop',
        X_Hop='1',
    )
    _, (server,), _ = run_request([[[OK]]], sent)
    fields = server.seen[0].fields
    assert fields['expect-instance'] == 'i-0'
    assert fields['request-priority'] == '1'
    assert not {'pin-ms', 'x-hop'} & fields.keys()


RESERVED_FIELDS = (
    'Time-Left-Ms',
    'Expect-Instance',
    'Expect-Version',
    'Request-Priority',
    'Pin-Ms',
    'Hold',
    'Kv-Fetch',
    'Kv-From',
    'Kv-Backup',
)


@pytest.mark.parametrize('change_case', [str.upper, str.lower, str.title])
def test_no_field_of_ours_passes_as_a_caller_spells_it(change_case):
    """Repeated and folded reserved fields are dropped in any letter case."""
    lines = [
        f'{change_case(name)}: caller\r\n\t 9, 9\r\n'
        for name in RESERVED_FIELDS
    ] * 2
    sent = request('/unsafe/x', b'x', Time_Left_Ms='700')
    head, _, body = sent.partition(b'\r\n\r\n')
    forged_request = b'%s\r\n%s\r\n%s' % (head, ''.join(lines).encode(), body)
    received, (server,), _ = run_request([[[OK]]], forged_request)
    assert status_of(received) == 200
    (seen,) = server.seen
    assert b'caller' not in seen.head
    lines = seen.head.strip().split(b'\r\n')
    names = [line.split(b':')[0].lower() for line in lines]
    assert len(names) == len(set(names))
    assert not {'pin-ms', 'hold', 'kv-fetch'} & seen.fields.keys()
    assert 0 < int(seen.fields['time-left-ms']) <= 800


def test_callers_cannot_take_away_what_a_request_is():
    sent = request(
        '/unsafe/x',
        b'x',
        Connection='Model, Request-Id, Token-Count, Prompt-Prefix',
        Model='m0',
        Token_Count='5,5',
        Prompt_Prefix='a:5',
    )
    _, (server,), _ = run_request([[[OK]]], sent)
    fields = server.seen[0].fields
    assert fields['request-id'] == 'r1'
    assert fields['model'] == 'm0'
    assert fields['token-count'] == '5,5'
    assert fields['prompt-prefix'] == 'a:5'
