"""Messages about suspects: requests that may have crashed a server.

A suspect runs again only in a trial: with a permit, as the only suspect on
its server. It is convicted if that server is lost too, and cleared if it
completes.
"""

from typing import NamedTuple

from wasabicross.messaging.suspect_records import SuspectRecord


class SuspectRecords(NamedTuple):
    """Sends the states of suspects that have changed.

    :param records: the new state of each.
    """

    records: list[SuspectRecord]


class TakeTrial(NamedTuple):
    """Requests a permit for the trial of a suspect.

    :param server_id: the server; empty for the permit of the request itself.
    :param request: fingerprint of the request.
    :param holder: id of the process that runs the trial, and the trial's
        number.
    """

    server_id: str
    request: bytes
    holder: str


class TrialLost(NamedTuple):
    """Asks whether a suspect was the only one on a server that was lost.

    :param server_id: the server.
    :param request: fingerprint of the request.
    :param holder: id of the process that ran the trial, and the trial's
        number.
    """

    server_id: str
    request: bytes
    holder: str


class TrialAnswer(NamedTuple):
    """Answers `TakeTrial` or `TrialLost`."""

    agreed: bool


class EndTrial(NamedTuple):
    """Returns a permit, or reports that a suspect's run has ended.

    The run is one that `SuspectRunning` reported.
    """

    server_id: str
    request: bytes
    holder: str


class SuspectRunning(NamedTuple):
    """Reports that a request became suspect while it ran on a server.

    :param server_id: the server; empty for the permit of the request itself.
    :param request: fingerprint of the request.
    :param holder: id of the process that sent the request to the server.
    """

    server_id: str
    request: bytes
    holder: str
