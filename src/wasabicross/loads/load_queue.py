"""The adapter versions that requests want on one engine."""

import threading
from typing import NamedTuple, Protocol

from wasabicross.messaging.links import Link
from wasabicross.messaging.messages import LoadDeclined, WantLoad

PERMIT_REPEAT_S = 0.5
DECLINE_RETRY_S = 1.0

#: After which an engine without room is asked again: a slot may be free by
#: then, for which requests wait meanwhile.
NO_ROOM_RETRY_S = 0.25

#: Seconds after which a want that isn't told again is dropped. Entries tell
#: several times a second what requests wait for; a copy they tell now and then.
WAIT_EXPIRY_S = 1.2
COPY_EXPIRY_S = 5.0

_Version = tuple[str, str]


class LoadPermits(Protocol):
    """Where permits to load from the weight store are had."""

    def request(self, server_id: str, want: WantLoad, since_s: float) -> None:
        """Ask for a permit; `ServerOwner.permit_granted` is called with it.

        :param server_id: id of the engine.
        :param want: what is to be loaded.
        :param since_s: monotonic time since which requests wait.
        """

    def give_back(self, server_id: str, want: WantLoad, loaded: bool) -> None:
        """Give the permit back once the load has ended.

        :param server_id: id of the engine.
        :param want: what was to be loaded.
        :param loaded: whether the engine has it now.
        """

    def return_unused(self, server_id: str, adapter: str, version: str) -> None:
        """Give a permit back that nothing waits for any more.

        :param server_id: id of the engine.
        :param adapter: name of the adapter.
        :param version: its version.
        """


class Wanted(NamedTuple):
    """A want as its server's owner keeps it.

    :param asker: link to the instance whose entries wait.
    :param since_s: monotonic time since which requests wait.
    :param asked_s: monotonic time at which it was last told.
    """

    want: WantLoad
    asker: Link
    since_s: float
    asked_s: float

    @property
    def version(self) -> _Version:
        """The adapter and its version."""
        return (self.want.adapter, self.want.version)

    def is_stale(self, now_s: float) -> bool:
        """Tell whether nobody has asked for it lately."""
        expiry_s = WAIT_EXPIRY_S if self.want.waiting else COPY_EXPIRY_S
        return now_s - self.asked_s > expiry_s


class LoadQueue:
    """Wants of one engine and the permits to load them.

    :param server_id: the engine.
    :param permits: the weight store's budget.
    """

    def __init__(self, server_id: str, permits: LoadPermits) -> None:
        self._server_id = server_id
        self.permits = permits
        self._lock = threading.Lock()
        self._wants: dict[_Version, Wanted] = {}
        self._permitted: set[_Version] = set()
        self._asked_s: dict[_Version, float] = {}

    def __len__(self) -> int:
        return len(self._wants)

    def add(self, want: WantLoad, asker: Link, now_s: float) -> None:
        """Note that requests wait for an adapter version.

        :param want: the adapter version, and how many wait.
        :param asker: the link to answer on if the load is declined.
        :param now_s: monotonic seconds.
        """
        version = (want.adapter, want.version)
        with self._lock:
            earlier = self._wants.get(version)
            since_s = now_s - want.waited_s
            if earlier:
                since_s = min(since_s, earlier.since_s)
            self._wants[version] = Wanted(want, asker, since_s, now_s)

    def remove(self, wanted: Wanted) -> None:
        """Drop a want that is met or declined."""
        self._drop(wanted.version)

    def met(self, adapter: str, version: str) -> None:
        """Drop a want that another server has met, unless it is of a copy.

        Entries whose requests go on waiting tell it again soon.
        """
        with self._lock:
            wanted = self._wants.get((adapter, version))
        if wanted is not None and wanted.want.waiting:
            self.remove(wanted)

    def decline(
        self, wanted: Wanted, retry_after_s: float = DECLINE_RETRY_S
    ) -> None:
        """Tell the asker to have it loaded elsewhere.

        :param retry_after_s: seconds after which it may ask here again.
        """
        self.remove(wanted)
        wanted.asker.send(
            LoadDeclined(self._server_id, *wanted.version, retry_after_s),
        )

    def due(self, now_s: float) -> list[Wanted]:
        """Return the wants, those that most requests wait for first.

        Those with a permit come before all others, and then those that have
        asked for one, since a slot is kept for each.

        :param now_s: monotonic seconds.
        """
        with self._lock:
            wants = list(self._wants.values())
        for known in wants:
            if known.is_stale(now_s):
                self._drop(known.version)
        with self._lock:
            return sorted(
                self._wants.values(),
                key=lambda due: (
                    due.version not in self._permitted,
                    due.version not in self._asked_s,
                    -due.want.waiting,
                    due.since_s,
                ),
            )

    def permitted(self, adapter: str, version: str) -> None:
        """Take a permit, or give it back where nothing waits any more.

        :param adapter: name of the adapter.
        :param version: its version.
        """
        with self._lock:
            is_wanted = (adapter, version) in self._wants
            if is_wanted:
                self._permitted.add((adapter, version))
        if not is_wanted:
            self.permits.return_unused(self._server_id, adapter, version)

    def take_permit(self, wanted: Wanted, now_s: float) -> bool:
        """Return whether a load is permitted; ask for a permit otherwise.

        :param wanted: what is to be loaded.
        :param now_s: monotonic seconds.
        """
        version = wanted.version
        with self._lock:
            if version in self._permitted:
                self._permitted.discard(version)
                self._asked_s.pop(version, None)
                return True
            asked_s = self._asked_s.get(version, float('-inf'))
            if now_s - asked_s < PERMIT_REPEAT_S:
                return False
            self._asked_s[version] = now_s
        self.permits.request(self._server_id, wanted.want, wanted.since_s)
        return False

    def _drop(self, version: _Version) -> None:
        """Drop a want, and give back the permit that it has."""
        with self._lock:
            self._wants.pop(version, None)
            self._asked_s.pop(version, None)
            is_permitted = version in self._permitted
            self._permitted.discard(version)
        if is_permitted:
            self.permits.return_unused(self._server_id, *version)

    def give_back(self, wanted: Wanted, loaded: bool) -> None:
        """Give a permit back once its load has ended.

        :param wanted: what was to be loaded.
        :param loaded: whether the engine has it now.
        """
        self.permits.give_back(self._server_id, wanted.want, loaded)
