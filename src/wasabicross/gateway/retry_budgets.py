"""This gateway's share of the repeats that all of them may send."""

from __future__ import annotations

import math

from wasabicross.gateway.view import FleetView
from wasabicross.servers.retries import RetryBudget

#: Share of what is allowed that is used; the rest covers requests that one
#: gateway counts in another window than the bound does.
_USED_RATIO = 0.75

#: The same for the slack, which each restart of a gateway fills anew.
_USED_SLACK = 0.5

#: Requests for one repeat where requests pay for none.
_NEVER_PAID = 10**9


class RetryBudgets:
    """A budget for each service.

    :param ratio: repeats for each request of a service.
    :param slack: repeats of all gateways beyond that.
    :param view: the gateways that share the slack.
    """

    def __init__(self, ratio: float, slack: int, view: FleetView) -> None:
        self._ratio = ratio
        self._slack = slack
        self._view = view
        self._budgets: dict[str, RetryBudget] = {}

    def for_service(self, service: str) -> RetryBudget:
        """Return the budget of a service.

        :param service: its name.
        """
        budget = self._budgets.get(service)
        if budget is None:
            budget = RetryBudget(self._price, self._reserve)
            self._budgets[service] = budget
        # More gateways may share the slack than were known before.
        budget.resize(self._price, self._reserve)
        return budget

    def set_limits(self, ratio: float, slack: int) -> None:
        """Use other bounds from now on.

        :param ratio: repeats for each request of a service.
        :param slack: repeats of all gateways beyond that.
        """
        self._ratio = ratio
        self._slack = slack

    @property
    def _price(self) -> int:
        if self._ratio <= 0:
            return _NEVER_PAID
        return math.ceil(1 / (self._ratio * _USED_RATIO))

    @property
    def _reserve(self) -> int:
        instances = max(1, len(self._view.instances))
        return max(1, math.floor(self._slack * _USED_SLACK / instances))
