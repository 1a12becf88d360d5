"""Run a gateway as a process, so that a test can end it by a signal.

Its arguments are the port of its server, its host and its port for requests that
other gateways forward; it prints the port of its callers.
"""

import asyncio
import signal
import sys

from gateway_parts import (
    CONFIGURATION,
    LIMITS,
    gateway_at,
    server_entry,
    settings_at,
)

from emulator.waiting import free_ports
from wasabicross.gateway.changes import ConfigurationUpdate
from wasabicross.gateway.configuration import Configuration
from wasabicross.gateway.connections.connection_pool import ConnectionPool
from wasabicross.gateway.settings import Address
from wasabicross.platform.headers import REQUEST_ID

GRACE_S = 1.0
LONG = Configuration.from_parts(
    CONFIGURATION.version,
    tuple(
        each._replace(timeout_s=30, target_s=20, gap_s=20)
        for each in CONFIGURATION.routes
    ),
    CONFIGURATION.services,
    LIMITS,
)


async def run(server_port, host, forwarding_port):
    """Run the gateway until it stops."""
    callers, ready, peers = free_ports(3)
    settings = settings_at(callers, ready, peers)._replace(
        host=host,
        callers=Address(host, callers),
        ready=Address(host, ready),
        forwarding_port=forwarding_port,
        grace_s=GRACE_S,
    )
    changes = [
        ConfigurationUpdate(LONG),
        server_entry('i-0', 'llm', server_port),
    ]
    pool = ConnectionPool(REQUEST_ID)
    async with gateway_at(settings, changes, pool) as bench:
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, bench.gateway.begin_stop)
        print(callers, flush=True)
        await asyncio.wait((bench.task,))


if __name__ == '__main__':
    asyncio.run(run(int(sys.argv[1]), sys.argv[2], int(sys.argv[3])))
