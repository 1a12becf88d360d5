"""Reloading of settings while a gateway runs."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from wasabicross.gateway.errors import DocumentUnreadable
from wasabicross.gateway.settings import GatewaySettings
from wasabicross.runtime.events import Event
from wasabicross.runtime.logs import log_event

#: Interval between reads of the settings, which may change without a signal.
_CHECK_INTERVAL_S = 5.0

#: Fields that take effect at once. The others need a restart, since other
#: gateways, callers or orders in flight rely on them.
RELOADABLE_FIELDS = frozenset(
    ('retry_ratio', 'retry_slack', 'grace_s', 'seeds')
)


#: Fields that only tell about the start of the process.
_START_FIELDS = frozenset(('is_first_start',))


class SettingsChange(NamedTuple):
    """The effect of changed settings.

    :param cfg: the new settings in force.
    :param taken: names of the fields that took effect.
    :param waiting: names of changed fields that need a restart.
    """

    cfg: GatewaySettings
    taken: tuple[str, ...]
    waiting: tuple[str, ...]


def settings_change(
    cfg: GatewaySettings, read: GatewaySettings
) -> SettingsChange:
    """Return the effect of settings that were read again.

    :param cfg: the settings in force.
    :param read: the settings as read.
    """
    changed = [
        name
        for name in GatewaySettings._fields
        if name not in _START_FIELDS
        and getattr(cfg, name) != getattr(read, name)
    ]
    taken = tuple(name for name in changed if name in RELOADABLE_FIELDS)
    waiting = tuple(name for name in changed if name not in RELOADABLE_FIELDS)
    values = {name: getattr(read, name) for name in taken}
    return SettingsChange(cfg._replace(**values), taken, waiting)


class ReloadableSettings:
    """The settings in force, which can be reloaded.

    :param cfg: the settings at the start.
    :param read: reads the settings; raises `DocumentUnreadable` if they are
        invalid.
    :param on_taken: called with the new settings if a field took effect.
    """

    def __init__(
        self,
        cfg: GatewaySettings,
        read: Callable[[], GatewaySettings],
        on_taken: Callable[[GatewaySettings], None],
    ) -> None:
        self.cfg = cfg
        self._read = read
        self._on_taken = on_taken
        #: The settings as last read, or why they were invalid.
        self._last_read: GatewaySettings | str = cfg

    async def follow(self) -> None:
        """Reload changed settings at an interval until cancelled."""
        while True:
            await asyncio.sleep(_CHECK_INTERVAL_S)
            self._reload(is_forced=False)

    def reload(self) -> None:
        """Reload the settings; requests in flight are not affected."""
        self._reload(is_forced=True)

    def _reload(self, *, is_forced: bool) -> None:
        """Read the settings and apply them if they differ or if forced."""
        result = self._read_or_error()
        if not is_forced and result == self._last_read:
            return
        self._last_read = result
        if isinstance(result, str):
            log_event(Event.SETTINGS_KEPT, reason=result)
        else:
            self._apply(result)

    def _read_or_error(self) -> GatewaySettings | str:
        try:
            return self._read()
        except DocumentUnreadable as exc:
            return str(exc)

    def _apply(self, read: GatewaySettings) -> None:
        change = settings_change(self.cfg, read)
        self.cfg = change.cfg
        if change.taken:
            self._on_taken(change.cfg)
        log_event(
            Event.SETTINGS_TAKEN,
            taken=change.taken,
            waiting=change.waiting,
        )
