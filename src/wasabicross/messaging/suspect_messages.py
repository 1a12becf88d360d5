"""Messages about requests that crash servers."""

from typing import NamedTuple

from wasabicross.messaging.suspect_records import SuspectRecord


class SuspectRecords(NamedTuple):
    """Passes on what is known of requests that crash servers.

    :param records: standings that have changed.
    """

    records: list[SuspectRecord]


class TakeTrial(NamedTuple):
    """Asks for a permit to try a suspect request.

    :param server_id: the server; empty for the permit of the request itself.
    :param request: the request's fingerprint.
    :param holder: names the trial.
    """

    server_id: str
    request: bytes
    holder: str


class TrialLost(NamedTuple):
    """Asks whether a suspect was the only one on a server that was lost.

    :param server_id: the server.
    :param request: the request's fingerprint.
    :param holder: names the trial.
    """

    server_id: str
    request: bytes
    holder: str


class TrialAnswer(NamedTuple):
    """Answers a question about a trial."""

    agreed: bool


class EndTrial(NamedTuple):
    """Gives a permit back, or ends what `SuspectRunning` told."""

    server_id: str
    request: bytes
    holder: str


class SuspectRunning(NamedTuple):
    """Tells that a request became suspect while it ran on a server."""

    server_id: str
    request: bytes
    holder: str
