"""Continuous batching: a limited number of jobs run, the others wait."""

import asyncio
import heapq
import time
from collections import Counter
from collections.abc import Callable
from typing import Any


class Job:
    """A request that waits or runs in the batch.

    :param load_name: load that it runs on.
    :param priority: jobs with lower numbers start first.
    :param token_count: number of tokens to produce.
    :param first_token_s: seconds from start to the first token.
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
    """The running and the waiting jobs.

    :param size: number of jobs that run at a time.
    :param token_s: seconds between two tokens of a job.
    """

    def __init__(self, size: int, token_s: float) -> None:
        self.size = size
        self._token_s = token_s
        self._running: set[Job] = set()
        self._waiting: list[Job] = []
        self._loop = asyncio.get_running_loop()
        self._created_at = time.monotonic()
        self._updated_at = self._created_at
        self._running_time_s: float = 0
        self._busy_time_s: float = 0

    def submit(self, job: Job) -> None:
        """Start a job, or queue it until another one ends."""
        heapq.heappush(self._waiting, job)
        self._start_waiting()

    def end(self, job: Job, outcome: str) -> None:
        """End a job, whether it runs or waits."""
        if job.ended.done():
            return
        if job in self._running:
            self._update_times()
            self._running.discard(job)
        if job.timer is not None:
            job.timer.cancel()
        job.ended.set_result(outcome)
        self._start_waiting()

    def end_all(self, outcome: str, load_name: str | None = None) -> None:
        """End all jobs, or only those on one load."""
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
        """The number of running jobs."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """The number of waiting jobs."""
        return sum(not job.ended.done() for job in self._waiting)

    def is_full(self, queue: int) -> bool:
        """Return whether a new job would find the waiting queue full.

        :param queue: number of jobs that may wait.
        """
        return self.running >= self.size and self.waiting >= queue

    def fill(self) -> dict[str, Any]:
        """Return how full the batch was, integrated over its lifetime."""
        self._update_times()
        elapsed_s = self._updated_at - self._created_at
        return {
            'size': self.size,
            'elapsed_s': elapsed_s,
            'busy_s': self._busy_time_s,
            'running_s': self._running_time_s,
            'fill': self._running_time_s / max(elapsed_s, 1e-9) / self.size,
        }

    def _start_waiting(self) -> None:
        while self._waiting and len(self._running) < self.size:
            job = heapq.heappop(self._waiting)
            if not job.ended.done():
                self._start(job)

    def _start(self, job: Job) -> None:
        self._update_times()
        self._running.add(job)
        job.started_at = time.monotonic()
        self._schedule_token(job, self._loop.time() + job.first_token_s)

    def _schedule_token(self, job: Job, at_s: float) -> None:
        job.timer = self._loop.call_at(at_s, self._emit_token, job, at_s)

    def _emit_token(self, job: Job, planned_s: float) -> None:
        if job.first_token_at is None:
            job.first_token_at = time.monotonic()
        index = job.tokens
        job.tokens += 1
        job.on_token(index)
        if job.tokens >= job.token_count:
            self.end(job, 'completed')
        elif not job.ended.done():
            # A late token does not delay the next one, and overdue tokens are
            # not sent in a burst.
            self._schedule_token(
                job,
                max(planned_s + self._token_s, self._loop.time()),
            )

    def _update_times(self) -> None:
        now_s = time.monotonic()
        elapsed_s = now_s - self._updated_at
        self._updated_at = now_s
        self._running_time_s += elapsed_s * len(self._running)
        self._busy_time_s += elapsed_s * bool(self._running)
