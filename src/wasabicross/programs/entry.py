"""`wasabicross-entry`: serves the requests of callers.

It dispatches them to backend servers and streams the answers.
"""

import threading
import time

import click

from wasabicross.callers.admission import Admission, AdmissionLimits
from wasabicross.callers.attempts import Attempts
from wasabicross.callers.caller_api import CallerApi, CallerLimits, jitter_rng
from wasabicross.callers.entry_link import EntryLink
from wasabicross.callers.key_claims import KeyClaims
from wasabicross.callers.model_calls import ModelCalls
from wasabicross.callers.service_calls import ServiceCalls
from wasabicross.runtime.http_server import HttpServer
from wasabicross.runtime.listening import bind_http
from wasabicross.runtime.logs import configure_logs
from wasabicross.runtime.options import settings_options, settings_or_exit
from wasabicross.runtime.running import StartResult, run_program
from wasabicross.runtime.settings import EntrySettings, Settings
from wasabicross.runtime.telemetry import MetricsServer, Readiness
from wasabicross.servers.retries import RetryBudget

SPARE_THREADS = 16
HEADER_TIMEOUT_S = 10
DRAIN_GRACE_S = 1.0
READY_INTERVAL_S = 0.1
#: Each update reads the state of every engine, which is too expensive to be
#: done more often.
SLOTS_INTERVAL_S = 1.0


class Entry:
    """An entry process.

    :param cfg: settings of the instance.
    :param entry: settings of this entry.
    """

    def __init__(self, cfg: Settings, entry: EntrySettings) -> None:
        self.readiness = Readiness(
            ('bundle', 'servers', 'controller', 'accepting')
        )
        self._stopping = threading.Event()
        self._link = EntryLink(cfg, entry)
        self._metrics = MetricsServer(
            cfg.instance.host, entry.metrics_port, self.readiness
        )
        self._admission = _admission(cfg, entry, self._link)
        self._api = _caller_api(cfg, self._link, self._admission)
        self._server = HttpServer(
            (cfg.instance.host, entry.port),
            self._api,
            numthreads=entry.max_requests + SPARE_THREADS,
            timeout=HEADER_TIMEOUT_S,
            # Workers that stream continue until their answers have ended.
            shutdown_timeout=int(cfg.servers.max_request_s) + HEADER_TIMEOUT_S,
        )

    def start(self) -> StartResult:
        """Start all threads, or return `PortUnavailable`.

        Metrics start first, since they also answer checks of liveness.
        """
        started = self._metrics.start().bind(lambda _: bind_http(self._server))
        if started.is_error():
            self._metrics.stop()
            return started
        self._link.start()
        for name, run in (
            ('callers', self._server.serve),
            ('ready', self._update_readiness),
            ('slots', self._update_slots),
        ):
            threading.Thread(target=run, name=name, daemon=True).start()
        return started

    def stop(self) -> None:
        """Refuse new requests, wait for all answers to end, then stop."""
        self._api.is_stopping = True
        self._stopping.set()
        self.readiness.declare('accepting', holds=False)
        threading.Event().wait(DRAIN_GRACE_S)
        self._server.stop()
        self._link.stop()
        self._metrics.stop()

    def _update_readiness(self) -> None:
        self.readiness.declare('accepting', holds=True)
        while not self._stopping.wait(READY_INTERVAL_S):
            has_bundle = self._link.bundle is not None
            self.readiness.declare('bundle', holds=has_bundle)
            listed = self._link.list_received.is_set()
            self.readiness.declare('servers', holds=listed)
            linked = self._link.is_linked
            self.readiness.declare('controller', holds=linked)
        self.readiness.declare('accepting', holds=False)

    def _update_slots(self) -> None:
        while not self._stopping.wait(SLOTS_INTERVAL_S):
            self._admission.set_slots(self._link.watch.slots(time.monotonic()))


def _admission(
    cfg: Settings, entry: EntrySettings, link: EntryLink
) -> Admission:
    weights = {tenant.name: tenant.weight for tenant in cfg.tenants}
    limits = AdmissionLimits(
        entry.max_requests, entry.max_requests, tenant_weights=weights
    )
    return Admission(limits, jitter_rng(link.incarnation))


def _caller_api(
    cfg: Settings, link: EntryLink, admission: Admission
) -> CallerApi:
    data_centre = cfg.instance.data_centre
    attempts = Attempts(link.watch, RetryBudget())
    return CallerApi(
        link,
        cfg.tenants,
        admission,
        ModelCalls(link, attempts, data_centre),
        ServiceCalls(attempts, KeyClaims(link, link.incarnation), data_centre),
        CallerLimits(cfg.servers.max_request_s),
    )


@click.command()
@settings_options('wasabicross-entry', named=True)
def main(config: tuple[str, ...], check_config: bool, name: str | None) -> None:
    """Run one of the entries of an instance."""
    cfg = settings_or_exit(config, check_config=check_config, name=name)
    entry_cfg = cfg.entry(name)
    if entry_cfg is None:
        raise click.UsageError('--name must be the name of an entry')
    configure_logs(cfg.logs, f'wasabicross-entry {entry_cfg.name}')
    run_program(lambda: Entry(cfg, entry_cfg))


if __name__ == '__main__':
    main()
