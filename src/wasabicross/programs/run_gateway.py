"""`wasabicross-gateway`: runs a gateway with the clients of its platform.

Exit codes: 0 stopped in order; 2 invalid settings.
"""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Callable
from functools import partial
from typing import NamedTuple

import click

from wasabicross.gateway.connections.connection_pool import ConnectionPool
from wasabicross.gateway.errors import DocumentUnreadable
from wasabicross.gateway.log_output import LogOutput
from wasabicross.gateway.program import Gateway, PlatformInterfaces
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

_EXIT_INVALID_SETTINGS = 2
_STDOUT_DESCRIPTOR = 1

#: Maximum time to open a connection to the store. It is longer than that for
#: backend servers, because there is no other store to try.
_STORE_CONNECT_TIMEOUT_S = 0.4


class _LogFormat(NamedTuple):
    """Format and minimum level of the log."""

    format: str = 'json'
    level: str = 'INFO'


@click.command()
def main() -> None:
    """Run a gateway on this machine until SIGTERM."""
    try:
        path = settings_path()
        cfg = read_settings(path)
    except DocumentUnreadable as exc:
        click.echo(str(exc), err=True)
        sys.exit(_EXIT_INVALID_SETTINGS)
    output = LogOutput(_STDOUT_DESCRIPTOR)
    configure_logs(_LogFormat(), 'gateway', output)
    asyncio.run(_run(cfg, partial(read_settings, path), output))


async def _run(
    cfg: GatewaySettings,
    reread_settings: Callable[[], GatewaySettings],
    output: LogOutput,
) -> None:
    pool = ConnectionPool(REQUEST_ID)
    store_pool = ConnectionPool(REQUEST_ID, _STORE_CONNECT_TIMEOUT_S)
    notices = ServerNotices()
    platform = PlatformInterfaces(
        store=PlatformStore(StoreClient(cfg.store, store_pool)),
        engines=PlatformEngineClient(pool, notices),
        dialect=PlatformDialect(),
        pool=pool,
        notices=notices,
        ready_path=READY_PATH,
        read_settings=reread_settings,
    )
    await Gateway(cfg, platform, output).run()


if __name__ == '__main__':
    main()
