"""The wait for a rolled bundle until every reachable data centre has it."""

import time
from collections.abc import Callable
from typing import Any

from expression import Error, Ok, Result

from wasabicross.commands.admin_client import AdminClient
from wasabicross.commands.operator_errors import (
    AdminClientError,
    AdminRefused,
)

POLL_S = 0.25

_FIRST_SERVER_ERROR = 500


class RollProgress:
    """Polls the status and shows each change of it in one line.

    :param client: client of the administration API.
    :param show_line: shows a line to the operator.
    """

    def __init__(
        self,
        client: AdminClient,
        show_line: Callable[[str], None],
    ) -> None:
        self._client = client
        self._show_line = show_line
        self._last_line = ''

    def follow(
        self,
        number: int,
        deadline_s: float,
    ) -> Result[bool, AdminClientError]:
        """Wait until each reachable data centre has a bundle in force.

        Return True then, and False at the deadline. After a server error or a
        failed connection the status is polled again; a refusal, such as that
        of the token, is returned as an error.

        :param number: number of the bundle.
        :param deadline_s: monotonic seconds at which the wait ends.
        """
        while True:
            answer = self._client.status()
            if answer.is_ok():
                if self._show_progress(number, answer.ok):
                    return Ok(True)
            elif _is_final(answer.error):
                return Error(answer.error)
            if time.monotonic() >= deadline_s:
                return Ok(False)
            time.sleep(POLL_S)

    def _show_progress(self, number: int, content: dict[str, Any]) -> bool:
        statuses = content['data_centres']
        in_force = [each for each in statuses if _has_bundle(each, number)]
        unreachable = _data_centres_in(statuses, 'unreachable')
        reachable = len(statuses) - len(unreachable)
        line = (
            f'bundle {number} is in force in {len(in_force)} of {reachable} '
            f'reachable data centres; unreachable: '
            f'{", ".join(unreachable) or "none"}'
        )
        if line != self._last_line:
            self._show_line(line)
            self._last_line = line
        return bool(in_force) and len(in_force) == reachable


def _has_bundle(status: dict[str, Any], number: int) -> bool:
    is_reachable = status['state'] != 'unreachable'
    return is_reachable and int(status['bundle_number']) >= number


def _data_centres_in(statuses: list[dict[str, Any]], state: str) -> list[str]:
    return [each['data_centre'] for each in statuses if each['state'] == state]


def _is_final(exc: AdminClientError) -> bool:
    if isinstance(exc, AdminRefused):
        return exc.status < _FIRST_SERVER_ERROR
    return False
