"""Settings that change while a gateway runs."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from wasabicross.gateway.errors import DocumentUnreadable
from wasabicross.gateway.settings import GatewaySettings
from wasabicross.runtime.events import Event
from wasabicross.runtime.logs import log_event

#: Pause between looks at the settings, which may change without a signal.
_LOOK_S = 5.0

#: Fields that take effect at once; the others wait for a restart, since other
#: gateways, callers or the orders under way rely on them.
RELOADABLE_FIELDS = frozenset(
    ('retry_ratio', 'retry_slack', 'grace_s', 'seeds')
)


class SettingsChange(NamedTuple):
    """What changed settings bring.

    :param cfg: the settings in force from now on.
    :param taken: names of the fields that took effect.
    :param waiting: names of changed fields that need a restart.
    """

    cfg: GatewaySettings
    taken: tuple[str, ...]
    waiting: tuple[str, ...]


def settings_change(
    cfg: GatewaySettings, read: GatewaySettings
) -> SettingsChange:
    """Return what holds after the settings were read again.

    :param cfg: the settings in force.
    :param read: the settings as they are written now.
    """
    changed = [
        name
        for name in GatewaySettings._fields
        if getattr(cfg, name) != getattr(read, name)
    ]
    taken = tuple(name for name in changed if name in RELOADABLE_FIELDS)
    waiting = tuple(name for name in changed if name not in RELOADABLE_FIELDS)
    values = {name: getattr(read, name) for name in taken}
    return SettingsChange(cfg._replace(**values), taken, waiting)


class ReloadableSettings:
    """The settings in force, and how they are read again.

    :param cfg: those of the start.
    :param read: reads them; raises `DocumentUnreadable` where they have a fault.
    :param on_taken: called with settings of which something took effect.
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
        #: What was read last, or what was wrong with it.
        self._last_read: GatewaySettings | str = cfg

    async def follow(self) -> None:
        """Notice changes that no signal tells of, until cancelled."""
        while True:
            await asyncio.sleep(_LOOK_S)
            self._look(is_told=False)

    def reload(self) -> None:
        """Read the settings again; requests under way go on as they are."""
        self._look(is_told=True)

    def _look(self, *, is_told: bool) -> None:
        """Read the settings, and act on them if they differ or it was asked."""
        found = self._read_or_fault()
        if not is_told and found == self._last_read:
            return
        self._last_read = found
        if isinstance(found, str):
            log_event(Event.SETTINGS_KEPT, reason=found)
        else:
            self._take(found)

    def _read_or_fault(self) -> GatewaySettings | str:
        try:
            return self._read()
        except DocumentUnreadable as exc:
            return str(exc)

    def _take(self, read: GatewaySettings) -> None:
        renewal = settings_change(self.cfg, read)
        self.cfg = renewal.cfg
        if renewal.taken:
            self._on_taken(renewal.cfg)
        log_event(
            Event.SETTINGS_TAKEN,
            taken=renewal.taken,
            waiting=renewal.waiting,
        )
