"""Waiting until entries are ready to serve callers."""

from collections.abc import Iterable
from functools import partial

import urllib3

from emulator.link_table import HOST
from emulator.shape import Endpoint
from emulator.waiting import wait_until

STATUS_OK = 200
PROBE_TIMEOUT_S = 1


def is_ready(entry: Endpoint) -> bool:
    """Return whether an entry reports that it is ready.

    :param entry: its endpoint.
    """
    return not _missing_conditions(entry)


def _missing_conditions(entry: Endpoint) -> str:
    """Return the conditions that an entry reports as missing, empty if none."""
    url = f'http://{HOST}:{entry.metrics_port}/readyz'
    try:
        resp = urllib3.request(
            'GET', url, timeout=PROBE_TIMEOUT_S, retries=False
        )
    except urllib3.exceptions.HTTPError as exc:
        return str(exc)
    return '' if resp.status == STATUS_OK else resp.data.decode()


def wait_ready(entries: Iterable[Endpoint], timeout_s: float) -> None:
    """Wait until entries are ready, one after the other.

    :param entries: their endpoints.
    :param timeout_s: seconds for each entry.
    :raises TimeoutError: an entry was not ready in time.
    """
    for entry in entries:
        try:
            wait_until(
                partial(is_ready, entry), timeout_s, f'{entry.name} ready'
            )
        except TimeoutError as exc:
            raise TimeoutError(f'{exc}: {_missing_conditions(entry)}') from exc
