"""The retries of all gateways together stay within the shared limit."""

import pytest

from wasabicross.gateway.changes import InstanceEntry
from wasabicross.gateway.retry_budgets import RetryBudgets
from wasabicross.gateway.view import FleetView


@pytest.mark.parametrize('gateways', [1, 7, 91])
@pytest.mark.parametrize('requests', [0, 70, 7000])
def test_all_shares_together_are_within_the_bound(gateways, requests):
    view = FleetView()
    for number in range(gateways):
        entry = InstanceEntry(f'front-{number}', '10.0.0.1', 'dc')
        view.instances[entry.instance] = entry
    slack = max(54, 2 * gateways)
    sent = 0
    for _ in range(gateways):
        budget = RetryBudgets(0.2, slack, view).for_service('llm')
        for _ in range(requests // gateways):
            budget.add_request()
            sent += budget.spend()
        while budget.spend():
            sent += 1
    assert sent <= 0.2 * requests + slack


def test_services_have_budgets_of_their_own():
    budgets = RetryBudgets(0.2, 54, FleetView())
    while budgets.for_service('llm').spend():
        continue
    assert budgets.for_service('desk').spend()
