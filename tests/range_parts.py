"""The log of one range of claims, with short calls to claim and settle."""

from contextlib import contextmanager

from wasabicross.claims.claim_log import ClaimLog
from wasabicross.claims.claim_segments import ClaimSegments
from wasabicross.claims.claims import (
    ClaimRequest,
    ClaimState,
    ClaimTable,
    SettleReply,
    key_digest,
)

HORIZON_S = 3600.0
MAX_RUN_S = 60.0
RESULT_TIMEOUT_S = 5.0

COMPLETED = ClaimState.COMPLETED
RELEASED = ClaimState.RELEASED
UNKNOWN = ClaimState.UNKNOWN


class RangeLog:
    """The log of range 0, owned through the given store."""

    def __init__(
        self, store, horizon_s=HORIZON_S, interval_s=0, wait_s=2.0, burst=1
    ):
        self.segments = ClaimSegments(store, 'claims/0')
        table = ClaimTable(horizon_s, MAX_RUN_S)
        self.log = ClaimLog(
            self.segments, table, horizon_s, interval_s, wait_s, burst
        )
        assert self.log.take_over().is_ok()

    def submit_claim(self, holder, key='k', digest=b'd', now_s=0):
        req = ClaimRequest(key_digest('t', key), digest, holder)
        return self.log.claim(req, now_s)

    def claim(self, *args, **kwargs):
        return self.submit_claim(*args, **kwargs).result(RESULT_TIMEOUT_S)

    def settle(self, holder, state, answer=b'', key='k', now_s=1):
        req = ClaimRequest(key_digest('t', key), b'', holder)
        return self.log.settle(req, state, answer, now_s).result(
            RESULT_TIMEOUT_S
        )

    def write_outcomes(self):
        """Wait until every outcome settled before is written."""
        assert self.settle('z', RELEASED, key='last') is SettleReply.durable


@contextmanager
def range_logs_of(store):
    """Yield a function that makes owners of the range, and stop them at the end."""
    range_logs = []

    def make_range_log(**kwargs):
        range_logs.append(RangeLog(store, **kwargs))
        return range_logs[-1]

    yield make_range_log
    store.is_down = True
    for range_log in range_logs:
        range_log.log.stop()
