"""`wasabicross-admin`: the administration API of an instance."""

import threading

import click

from wasabicross.bundles.bundle_store import BundleStore
from wasabicross.operators.admin_actions import AdminActions
from wasabicross.operators.admin_api import AdminApi
from wasabicross.operators.bundle_status import StatusSource
from wasabicross.operators.controller_status import ControllerStatus
from wasabicross.runtime.http_server import HttpServer
from wasabicross.runtime.listening import bind_http
from wasabicross.runtime.logs import configure_logs
from wasabicross.runtime.options import settings_options, settings_or_exit
from wasabicross.runtime.running import StartResult, run_program
from wasabicross.runtime.settings import Settings
from wasabicross.runtime.telemetry import MetricsServer, Readiness
from wasabicross.stores.kv import KeyValueStore

THREAD_COUNT = 8
HEADER_TIMEOUT_S = 10
STOP_TIMEOUT_S = 60  # longer than any action, so that none is interrupted


class Admin:
    """The program with the administration API and its metrics.

    :param cfg: settings of the instance.
    :param source: the bundle status of each instance.
    """

    def __init__(self, cfg: Settings, source: StatusSource) -> None:
        host = cfg.instance.host
        self._readiness = Readiness(('accepting',))
        self._metrics = MetricsServer(
            host,
            cfg.admin.metrics_port,
            self._readiness,
        )
        store = BundleStore(KeyValueStore.from_config(cfg.platform.kv))
        actions = AdminActions.from_config(cfg, store, source)
        self._server = HttpServer(
            (host, cfg.admin.port),
            AdminApi(cfg.operators, actions),
            numthreads=THREAD_COUNT,
            timeout=HEADER_TIMEOUT_S,
            shutdown_timeout=STOP_TIMEOUT_S,
        )
        self._thread = threading.Thread(
            target=self._server.serve,
            name='operators',
            daemon=True,
        )

    def start(self) -> StartResult:
        """Start the threads that serve, or return `PortUnavailable`."""
        started = self._metrics.start().bind(lambda _: bind_http(self._server))
        if started.is_error():
            self._metrics.stop()
            return started
        self._thread.start()
        self._readiness.declare('accepting', holds=True)
        return started

    def stop(self) -> None:
        """Refuse new requests, finish those in progress, then stop."""
        self._readiness.declare('accepting', holds=False)
        self._server.stop()
        self._thread.join(STOP_TIMEOUT_S)
        self._metrics.stop()


@click.command()
@settings_options('wasabicross-admin')
def main(config: tuple[str, ...], check_config: bool) -> None:
    """Run the administration API of an instance."""
    cfg = settings_or_exit(config, check_config=check_config)
    configure_logs(cfg.logs, 'wasabicross-admin')
    run_program(lambda: Admin(cfg, ControllerStatus.from_config(cfg)))


if __name__ == '__main__':
    main()
