"""`wasabicross-gateway`: puts a gateway together with its platform.

Exit codes: 0 stopped in order; 2 the settings have a fault.
"""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Callable
from functools import partial
from typing import NamedTuple

import click

from wasabicross.gateway.connection_pool import ConnectionPool
from wasabicross.gateway.errors import DocumentUnreadable
from wasabicross.gateway.log_output import LogOutput
from wasabicross.gateway.program import Gateway, Seams
from wasabicross.gateway.server_notices import ServerNotices
from wasabicross.gateway.settings import GatewaySettings
from wasabicross.platform.engines import PlatformEngineClient
from wasabicross.platform.fleet_store import PlatformStore
from wasabicross.platform.headers import (
    READY_PATH,
    REQUEST_ID,
    PlatformDialect,
)
from wasabicross.platform.settings import read_settings, settings_path
from wasabicross.platform.store import StoreClient
from wasabicross.runtime.logs import configure_logs

_EXIT_SETTINGS = 2
_STDOUT = 1

#: Longest time for a new connection to the store, which nothing replaces.
_STORE_CONNECT_S = 0.4


class _LogFormat(NamedTuple):
    """Format and lowest level of the log."""

    format: str = 'json'
    level: str = 'INFO'


@click.command()
def main() -> None:
    """Serve callers on this machine until SIGTERM."""
    try:
        path = settings_path()
        cfg = read_settings(path)
    except DocumentUnreadable as exc:
        click.echo(str(exc), err=True)
        sys.exit(_EXIT_SETTINGS)
    output = LogOutput(_STDOUT)
    configure_logs(_LogFormat(), 'gateway', output)
    asyncio.run(_run(cfg, partial(read_settings, path), output))


async def _run(
    cfg: GatewaySettings,
    read_again: Callable[[], GatewaySettings],
    output: LogOutput,
) -> None:
    pool = ConnectionPool(REQUEST_ID)
    store_pool = ConnectionPool(REQUEST_ID, _STORE_CONNECT_S)
    notices = ServerNotices()
    seams = Seams(
        store=PlatformStore(StoreClient(cfg.store, store_pool)),
        engines=PlatformEngineClient(pool, notices),
        dialect=PlatformDialect(),
        pool=pool,
        notices=notices,
        ready_path=READY_PATH,
        read_settings=read_again,
    )
    await Gateway(cfg, seams, output).run()


if __name__ == '__main__':
    main()
