"""A key-value store in memory with scripted faults."""

import threading
from collections import defaultdict, deque

from expression import Error, Ok

from wasabicross.stores.errors import (
    KeyValueUnavailable,
    SwapConflict,
    SwapOutcomeUnknown,
)
from wasabicross.stores.versioned import Versioned


class MemoryStore:
    """A key-value store in memory.

    `faults` holds, by key prefix, the faults of the next swaps: ``refused``,
    ``lost`` (applied, but the answer is lost), ``dropped`` (not applied, and
    the answer is lost) or a function that is called before the swap.
    """

    def __init__(self):
        self.keys = {}
        self.swaps = []
        self.is_down = False
        self.faults = defaultdict(deque)
        self._lock = threading.RLock()

    def get(self, key):
        if self.is_down:
            return Error(KeyValueUnavailable('down'))
        return Ok(self.keys.get(key, Versioned(key, None, 0)))

    def compare_and_swap(self, key, value, expected_version, lease_id=None):
        fault = self._next_fault(key)
        if callable(fault):
            fault()
        if self.is_down or fault == 'refused':
            return Error(KeyValueUnavailable('down'))
        if fault == 'dropped':
            return Error(SwapOutcomeUnknown('answer lost'))
        swapped = self._swap(key, value, expected_version)
        if fault == 'lost':
            return Error(SwapOutcomeUnknown('answer lost'))
        return swapped

    def _swap(self, key, value, expected_version):
        with self._lock:
            current = self.keys.get(key, Versioned(key, None, 0))
            if current.version != expected_version:
                return Error(SwapConflict(current))
            self.keys[key] = Versioned(key, value, expected_version + 1)
            self.swaps.append(key)
            return Ok(self.keys[key])

    def _next_fault(self, key):
        for prefix, faults in self.faults.items():
            if faults and key.startswith(prefix):
                return faults.popleft()
        return None
