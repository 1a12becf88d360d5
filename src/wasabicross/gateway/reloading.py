"""Settings that change while a gateway runs."""

from __future__ import annotations

from typing import NamedTuple

from wasabicross.gateway.settings import GatewaySettings

#: Fields that take effect at once; the others wait for a restart, since other
#: gateways, callers or the orders under way rely on them.
LIVE_FIELDS = frozenset(('retry_ratio', 'retry_slack', 'grace_s', 'seeds'))


class Renewal(NamedTuple):
    """What changed settings bring.

    :param cfg: the settings in force from now on.
    :param taken: names of the fields that took effect.
    :param waiting: names of changed fields that need a restart.
    """

    cfg: GatewaySettings
    taken: tuple[str, ...]
    waiting: tuple[str, ...]


def renewed(cfg: GatewaySettings, read: GatewaySettings) -> Renewal:
    """Return what holds after the settings were read again.

    :param cfg: the settings in force.
    :param read: the settings as they are written now.
    """
    changed = [
        name
        for name in GatewaySettings._fields
        if getattr(cfg, name) != getattr(read, name)
    ]
    taken = tuple(name for name in changed if name in LIVE_FIELDS)
    waiting = tuple(name for name in changed if name not in LIVE_FIELDS)
    values = {name: getattr(read, name) for name in taken}
    return Renewal(cfg._replace(**values), taken, waiting)
