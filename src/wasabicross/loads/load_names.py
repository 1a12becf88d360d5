"""Names of loads on engines; a name is never used for a second load."""

from typing import NamedTuple


class LoadName(NamedTuple):
    """Name of one load of an adapter version on a backend server.

    :param server_id: id of the server that holds it.
    :param term: ownership term in which it was ordered.
    :param sequence: number of the load within that term.
    """

    adapter: str
    version: str
    server_id: str
    term: int
    sequence: int

    def __str__(self) -> str:
        """Return the name in the form that engines use."""
        place = f'{self.server_id}:{self.term}:{self.sequence}'
        return f'{self.adapter}@{self.version}#{place}'


def parse_load_name(name: str) -> LoadName | None:
    """Parse the name of a load, None if it is malformed.

    :param name: a name as returned by `str(LoadName)`.
    """
    adapter_version, _, place = name.rpartition('#')
    adapter, _, version = adapter_version.rpartition('@')
    parts = place.rsplit(':', 2)
    if not adapter or len(parts) != 3:
        return None
    if not parts[1].isdecimal() or not parts[2].isdecimal():
        return None
    return LoadName(adapter, version, parts[0], int(parts[1]), int(parts[2]))


def server_of(name: str) -> str | None:
    """Return the server id in the name of a load, None if it is malformed."""
    parsed = parse_load_name(name)
    return parsed.server_id if parsed else None
