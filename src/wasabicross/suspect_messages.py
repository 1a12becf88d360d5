"""Messages about requests that crash servers."""

from typing import NamedTuple

from wasabicross.suspect_records import SuspectRecord


class SuspectRecords(NamedTuple):
    """Passes on what is known of requests that crash servers.

    :param records: standings that have changed.
    """

    records: list[SuspectRecord]
