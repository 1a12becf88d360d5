"""Catalogue of the numbered events in the logs of the programs.

Numbers are stable and grouped: 1000 programs, 2000 platform, 3000 bundles,
4000 operators, 5000 owners and links, 6000 requests, 7000 claims,
8000 gateways.
"""

from enum import Enum
from typing import NamedTuple


class EventKind(NamedTuple):
    """Number and log level of an event.

    :param number: unique number that never changes.
    :param level: name of the log level.
    """

    number: int
    level: str


class Event(Enum):
    """All events; log lines carry the name in lower case."""

    PROGRAM_STARTED = EventKind(1001, 'INFO')
    PROGRAM_STOPPING = EventKind(1002, 'INFO')
    PROGRAM_STOPPED = EventKind(1003, 'INFO')
    THREAD_FAILED = EventKind(1004, 'ERROR')
    LIBRARY_MESSAGE = EventKind(1005, 'WARNING')
    PORT_UNAVAILABLE = EventKind(1006, 'ERROR')

    BUNDLE_IN_FORCE = EventKind(3001, 'INFO')
    BUNDLE_REFUSED = EventKind(3002, 'ERROR')
    BUNDLE_UNAVAILABLE = EventKind(3003, 'WARNING')

    OWNER_STARTED = EventKind(5001, 'INFO')
    OWNER_SETTLED = EventKind(5002, 'INFO')
    OWNER_DEPOSED = EventKind(5003, 'WARNING')
    LEASE_LAPSED = EventKind(5004, 'WARNING')
    PEER_LINKED = EventKind(5011, 'INFO')
    PEER_LOST = EventKind(5012, 'WARNING')
    PEER_REFUSED = EventKind(5013, 'WARNING')
    CONTROLLER_LINKED = EventKind(5014, 'INFO')
    PAUSE_NOTICED = EventKind(5016, 'WARNING')
    CONTROLLER_LOST = EventKind(5015, 'WARNING')
    LOAD_DONE = EventKind(5021, 'INFO')
    LOAD_FAILED = EventKind(5022, 'WARNING')
    LOAD_EVICTED = EventKind(5023, 'INFO')
    EVICT_REFUSED_IN_USE = EventKind(5024, 'ERROR')

    ANSWER_CUT = EventKind(6001, 'WARNING')
    SERVER_LOST = EventKind(6002, 'WARNING')
    CRASHER_REFUSED = EventKind(6003, 'WARNING')

    STORE_LOST = EventKind(8001, 'WARNING')
    STORE_BACK = EventKind(8002, 'INFO')
    ENTRY_UNREADABLE = EventKind(8003, 'WARNING')
    COPY_TAKEN = EventKind(8004, 'INFO')
    STORE_RESTORED = EventKind(8005, 'WARNING')
    GROUP_OWNED = EventKind(8011, 'INFO')
    GROUP_LOST = EventKind(8012, 'WARNING')
    OWNER_WRITE_FAILED = EventKind(8013, 'WARNING')
    GROUP_LEFT = EventKind(8014, 'WARNING')
    FIRST_CLAIMS_DELAYED = EventKind(8015, 'WARNING')
    ORDER_SENT = EventKind(8021, 'INFO')
    ADAPTER_LOADED = EventKind(8022, 'INFO')
    ADAPTER_NOT_LOADED = EventKind(8023, 'WARNING')
    ENGINE_SILENT = EventKind(8024, 'WARNING')
    SERVER_SHUT_OUT = EventKind(8025, 'WARNING')
    SERVER_BACK = EventKind(8026, 'INFO')
    PROBE_FAILED = EventKind(8027, 'INFO')
    SERVER_LEAVING = EventKind(8028, 'INFO')
    SERVER_PAUSED = EventKind(8029, 'WARNING')
    SERVER_LIMITS_CHANGED = EventKind(8030, 'WARNING')
    LINK_OPEN = EventKind(8031, 'INFO')
    LINK_ENDED = EventKind(8032, 'WARNING')
    ITEM_FAILED = EventKind(8033, 'ERROR')
    REQUEST_SENT = EventKind(8041, 'INFO')
    REQUEST_REFUSED = EventKind(8042, 'WARNING')
    REQUEST_FAILED = EventKind(8043, 'ERROR')
    REQUEST_UNANSWERED = EventKind(8044, 'WARNING')
    UNANSWERED_OMITTED = EventKind(8045, 'WARNING')
    STREAM_TAKEN_UP = EventKind(8046, 'INFO')
    REQUEST_FORWARDED = EventKind(8047, 'INFO')
    REFUSAL_UNCONFIRMED = EventKind(8048, 'WARNING')
    ANSWER_END_UNPROVED = EventKind(8049, 'WARNING')
    VERSION_UNPROVED = EventKind(8050, 'WARNING')
    CONFIGURATION_TAKEN = EventKind(8051, 'INFO')
    SETTINGS_KEPT = EventKind(8052, 'ERROR')
    SETTINGS_TAKEN = EventKind(8053, 'INFO')
    ANSWER_SKIPPED = EventKind(8054, 'WARNING')
    LINES_DROPPED = EventKind(8061, 'WARNING')
    LOOP_DELAYED = EventKind(8062, 'WARNING')
    SERVER_CRASHED = EventKind(8071, 'WARNING')
    PART_SUSPECTED = EventKind(8072, 'INFO')
    PART_CONVICTED = EventKind(8073, 'WARNING')
    PART_CLEARED = EventKind(8074, 'INFO')
    PART_TRIED = EventKind(8075, 'INFO')
    REQUEST_SUSPECTED = EventKind(8076, 'INFO')
    REQUEST_CONVICTED = EventKind(8077, 'WARNING')
    REQUEST_CLEARED = EventKind(8078, 'INFO')
    REQUEST_TRIED = EventKind(8079, 'INFO')
    DIVISION_WRITTEN = EventKind(8081, 'INFO')
    DIVISION_TAKEN = EventKind(8082, 'INFO')
    DIVISION_WRITE_FAILED = EventKind(8083, 'WARNING')
    CONVICTIONS_WRITTEN = EventKind(8084, 'INFO')
    CONVICTIONS_NOT_WRITTEN = EventKind(8085, 'WARNING')
    CONVICTION_LIFTED = EventKind(8086, 'WARNING')

    BUNDLE_PREPARED = EventKind(4001, 'INFO')
    BUNDLE_SIGNED = EventKind(4002, 'INFO')
    BUNDLE_ROLLED = EventKind(4003, 'INFO')
    ROLL_REFUSED = EventKind(4004, 'WARNING')
    OPERATOR_REFUSED = EventKind(4005, 'WARNING')
    ADMIN_REQUEST_FAILED = EventKind(4006, 'ERROR')
    OLD_BUNDLE_REMOVED = EventKind(4007, 'INFO')
    OLD_BUNDLE_KEPT = EventKind(4008, 'WARNING')

    @property
    def number(self) -> int:
        """The unique number that never changes."""
        return self.value.number

    @property
    def level(self) -> str:
        """Name of the log level."""
        return self.value.level
