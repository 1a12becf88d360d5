"""Continuous batching: up to a number of jobs run, the others wait."""

import asyncio
import heapq
import time
from collections import Counter
from collections.abc import Callable
from typing import Any


class Job:
    """A request on its way through the batch.

    :param load_name: load that it runs on.
    :param priority: lower ones leave the queue first.
    :param token_count: tokens to produce.
    :param first_token_s: time from start to the first token.
    :param on_token: called with the index of each token.
    """

    def __init__(
        self,
        load_name: str,
        priority: int,
        token_count: int,
        first_token_s: float,
        on_token: Callable[[int], None],
    ) -> None:
        self.load_name = load_name
        self.priority = priority
        self.token_count = token_count
        self.first_token_s = first_token_s
        self.on_token = on_token
        self.tokens = 0
        self.accepted_at = time.monotonic()
        self.started_at: float | None = None
        self.first_token_at: float | None = None
        self.ended: asyncio.Future[str] = (
            asyncio.get_running_loop().create_future()
        )
        self.timer: asyncio.TimerHandle | None = None

    def __lt__(self, other: 'Job') -> bool:
        return (self.priority, self.accepted_at) < (
            other.priority,
            other.accepted_at,
        )


class Batch:
    """The jobs that run and those that wait.

    :param size: how many run at once.
    :param token_s: time between two tokens of a job.
    """

    def __init__(self, size: int, token_s: float) -> None:
        self.size = size
        self._token_s = token_s
        self._running: set[Job] = set()
        self._waiting: list[Job] = []
        self._loop = asyncio.get_running_loop()
        self._began_at = time.monotonic()
        self._counted_at = self._began_at
        self._running_time_s: float = 0
        self._busy_time_s: float = 0

    def submit(self, job: Job) -> None:
        """Start a job, or have it wait for a place."""
        heapq.heappush(self._waiting, job)
        self._fill()

    def end(self, job: Job, outcome: str) -> None:
        """End a job before its time, wherever it is."""
        if job.ended.done():
            return
        if job in self._running:
            self._count_time()
            self._running.discard(job)
        if job.timer is not None:
            job.timer.cancel()
        job.ended.set_result(outcome)
        self._fill()

    def end_all(self, outcome: str, load_name: str | None = None) -> None:
        """End all jobs, or those on one load."""
        jobs = (*self._waiting, *self._running)
        for job in jobs:
            if load_name in {None, job.load_name}:
                self.end(job, outcome)

    def by_load(self) -> Counter[str]:
        """Return how many jobs run or wait on each load."""
        jobs = (*self._running, *self._waiting)
        return Counter(job.load_name for job in jobs if not job.ended.done())

    @property
    def running(self) -> int:
        """How many jobs run."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """How many jobs wait for a place."""
        return sum(not job.ended.done() for job in self._waiting)

    def is_full(self, queue: int) -> bool:
        """Tell if a job would wait and this many are waiting already."""
        return self.running >= self.size and self.waiting >= queue

    def fill(self) -> dict[str, Any]:
        """Return how full the batch was, integrated over time."""
        self._count_time()
        elapsed_s = self._counted_at - self._began_at
        return {
            'size': self.size,
            'elapsed_s': elapsed_s,
            'busy_s': self._busy_time_s,
            'running_s': self._running_time_s,
            'fill': self._running_time_s / max(elapsed_s, 1e-9) / self.size,
        }

    def _fill(self) -> None:
        while self._waiting and len(self._running) < self.size:
            job = heapq.heappop(self._waiting)
            if not job.ended.done():
                self._start(job)

    def _start(self, job: Job) -> None:
        self._count_time()
        self._running.add(job)
        job.started_at = time.monotonic()
        self._schedule(job, self._loop.time() + job.first_token_s)

    def _schedule(self, job: Job, at_s: float) -> None:
        job.timer = self._loop.call_at(at_s, self._step, job, at_s)

    def _step(self, job: Job, planned_s: float) -> None:
        if job.first_token_at is None:
            job.first_token_at = time.monotonic()
        index = job.tokens
        job.tokens += 1
        job.on_token(index)
        if job.tokens >= job.token_count:
            self.end(job, 'completed')
        elif not job.ended.done():
            # A late step doesn't make the next one come sooner than due.
            self._schedule(
                job,
                max(planned_s + self._token_s, self._loop.time()),
            )

    def _count_time(self) -> None:
        now_s = time.monotonic()
        passed_s = now_s - self._counted_at
        self._counted_at = now_s
        self._running_time_s += passed_s * len(self._running)
        self._busy_time_s += passed_s * bool(self._running)
