"""`wasabicross-admin`: the administration API of an instance."""

import threading

import click

from wasabicross import __version__
from wasabicross.admin_actions import AdminActions
from wasabicross.admin_api import AdminApi
from wasabicross.bundle_status import StatusSource
from wasabicross.bundle_store import BundleStore
from wasabicross.controller_status import ControllerStatus
from wasabicross.events import Event
from wasabicross.http_server import HttpServer
from wasabicross.kv import KeyValueStore
from wasabicross.logs import configure_logs, log_event
from wasabicross.options import settings_options, settings_or_exit
from wasabicross.settings import Settings
from wasabicross.stopping import stop_event, wait_for_stop
from wasabicross.telemetry import MetricsServer, Readiness

THREADS = 8
HEADER_TIMEOUT_S = 10
STOP_S = 60  # longer than any action, so that none is cut off


class Admin:
    """The program: API and metrics.

    :param cfg: settings of the instance.
    :param source: tells what the instances have in force.
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
            numthreads=THREADS,
            timeout=HEADER_TIMEOUT_S,
            shutdown_timeout=STOP_S,
        )
        self._thread = threading.Thread(
            target=self._server.serve,
            name='operators',
            daemon=True,
        )

    def start(self) -> None:
        """Serve in threads; OSError if a port is taken."""
        self._metrics.start()
        try:
            self._server.prepare()
        except OSError:
            # The threads of the metrics would keep the process alive.
            self._metrics.stop()
            raise
        self._thread.start()
        self._readiness.declare('accepting', holds=True)

    def stop(self) -> None:
        """Take nothing new, finish what runs, then end."""
        self._readiness.declare('accepting', holds=False)
        self._server.stop()
        self._thread.join(STOP_S)
        self._metrics.stop()


@click.command()
@settings_options('wasabicross-admin')
def main(config: tuple[str, ...], check_config: bool) -> None:
    """Run the administration API of an instance."""
    cfg = settings_or_exit(config, check_config=check_config)
    configure_logs(cfg.logs, 'wasabicross-admin')
    stop = stop_event()
    admin = Admin(cfg, ControllerStatus.from_config(cfg))
    admin.start()
    log_event(Event.PROGRAM_STARTED, version=__version__)
    wait_for_stop(stop)
    log_event(Event.PROGRAM_STOPPING)
    admin.stop()
    log_event(Event.PROGRAM_STOPPED)


if __name__ == '__main__':
    main()
