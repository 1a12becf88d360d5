"""Odd values in the heads of callers' requests."""

import pytest
from gateway_parts import OK, run_request
from raw_caller import request, status_of

MANY_DIGITS = '9' * 3000


@pytest.mark.parametrize(
    'fields',
    [
        {'Token_Count': f'{MANY_DIGITS},80'},
        {'Token_Count': '-1,80'},
        {'Prompt_Prefix': f'a:{MANY_DIGITS},b:1'},
        {'Prompt_Prefix': f'a:{"9" * 400},b:1'},
        {'Token_Count': f'{"9" * 400},80'},
        {'Time_Left_Ms': '1e308'},
        {'Time_Left_Ms': MANY_DIGITS},
    ],
)
def test_a_caller_that_states_odd_numbers_is_answered(fields):
    sent = request('/safe/x', b'x', Model='m0/a1', **fields)
    received, _, _ = run_request([[[OK]]], sent)
    assert status_of(received) == 200
