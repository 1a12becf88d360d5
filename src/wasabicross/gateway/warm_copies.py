"""Remembers which adapters engines held recently.

An engine keeps the weights of the adapters that it held last in its memory, so
it loads them again much faster than others and without a call to the weight
store.
"""

from __future__ import annotations

import itertools
from collections import OrderedDict
from collections.abc import Container
from typing import NamedTuple

from wasabicross.gateway.backend import AdapterKey

#: Most adapters that are remembered for one engine. An engine that keeps fewer
#: loads the others from the weight store.
_MAX_COPIES = 48


class _Copy(NamedTuple):
    """A copy of an adapter in the memory of an engine.

    :param number: position among all unloads, in order of time.
    """

    version: int
    number: int


class WarmCopies:
    """The adapters that each engine has unloaded, with their versions."""

    def __init__(self) -> None:
        self._by_server: dict[str, OrderedDict[AdapterKey, _Copy]] = {}
        self._numbers = itertools.count()

    def on_unloaded(
        self, server_id: str, key: AdapterKey, version: int
    ) -> None:
        """Record that an engine has unloaded an adapter.

        :param server_id: id of the engine.
        :param key: the adapter.
        :param version: the version that it held.
        """
        copies = self._by_server.setdefault(server_id, OrderedDict())
        copies[key] = _Copy(version, next(self._numbers))
        copies.move_to_end(key)
        if len(copies) > _MAX_COPIES:
            copies.popitem(last=False)

    def forget(self, server_id: str) -> None:
        """Forget the copies of an engine that restarted or is gone.

        :param server_id: id of the engine.
        """
        self._by_server.pop(server_id, None)

    def last_holder(
        self, key: AdapterKey, version: int, among: Container[str]
    ) -> str:
        """Return the engine that last unloaded an adapter version, '' for none.

        :param key: the adapter.
        :param version: the version.
        :param among: ids of the engines that may be returned.
        """
        numbers = {
            server_id: copies[key].number
            for server_id, copies in self._by_server.items()
            if server_id in among
            and key in copies
            and copies[key].version == version
        }
        return max(numbers, key=lambda each: numbers[each], default='')

    def version(self, server_id: str, key: AdapterKey) -> int:
        """Return the version that an engine has a copy of, 0 for none.

        :param server_id: id of the engine.
        :param key: the adapter.
        """
        copies = self._by_server.get(server_id)
        copy = copies.get(key) if copies else None
        return copy.version if copy else 0
