"""This gateway's share of the retries that all gateways may send."""

from __future__ import annotations

import math

from wasabicross.gateway.view import FleetView
from wasabicross.servers.retries import RetryBudget

#: Share of the allowed ratio that is used; the rest covers requests that a
#: gateway counts in another time window than the limit does.
_USED_RATIO_SHARE = 0.75

#: The same for the slack, which each restart of a gateway refills.
_USED_SLACK_SHARE = 0.5

#: Requests for each retry where the ratio allows no retries.
_NO_RETRIES_PRICE = 10**9


class RetryBudgets:
    """A retry budget for each service.

    :param ratio: allowed retries for each request of a service.
    :param slack: retries that all gateways together may send beyond the ratio.
    :param view: knows the gateways that share the slack.
    """

    def __init__(self, ratio: float, slack: int, view: FleetView) -> None:
        self._ratio = ratio
        self._slack = slack
        self._view = view
        self._budgets: dict[str, RetryBudget] = {}

    def for_service(self, service: str) -> RetryBudget:
        """Return the retry budget of a service.

        :param service: name of the service.
        """
        budget = self._budgets.get(service)
        if budget is None:
            budget = RetryBudget(self._price, self._reserve)
            self._budgets[service] = budget
        # The number of gateways that share the slack may have changed.
        budget.resize(self._price, self._reserve)
        return budget

    def set_limits(self, ratio: float, slack: int) -> None:
        """Replace the limits.

        :param ratio: allowed retries for each request of a service.
        :param slack: retries that all gateways together may send beyond the
            ratio.
        """
        self._ratio = ratio
        self._slack = slack

    @property
    def _price(self) -> int:
        if self._ratio <= 0:
            return _NO_RETRIES_PRICE
        return math.ceil(1 / (self._ratio * _USED_RATIO_SHARE))

    @property
    def _reserve(self) -> int:
        instances = max(1, len(self._view.instances))
        return max(1, math.floor(self._slack * _USED_SLACK_SHARE / instances))
