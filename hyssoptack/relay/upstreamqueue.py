"""The queue before one upstream: its share of slots, urgent calls first."""

import asyncio
import collections.abc
import dataclasses
import heapq
import itertools

from hyssoptack.core import clock
from hyssoptack.core import message
from hyssoptack.core import query

MS_PER_S = 1000.0

_PRIORITY = {query.Urgency.URGENT: 0, query.Urgency.BROWSING: 1}


@dataclasses.dataclass(kw_only=True)
class Job:
    """One call that waits for a slot or holds one.

    Attributes:
        query_id: The query that it belongs to; empty for an action.
        call_id: The ask within the query.
        urgency: Its class.
        expires_ms: When its answer is no longer of use.
        run: Makes the call.
        on_dropped: Reports that the call was not made, and why.
        task: The running call, once it holds a slot.
        started: True once the call's own code runs.
        cancelled: True once the answer is no longer wanted.
    """

    query_id: str
    call_id: int
    urgency: query.Urgency
    expires_ms: float
    run: collections.abc.Callable[[], collections.abc.Coroutine]
    on_dropped: collections.abc.Callable[[message.CallStatus], None]
    task: asyncio.Task | None = None
    started: bool = False
    cancelled: bool = False


class UpstreamQueue:
    """One upstream's slots as far as this relay owns them."""

    def __init__(self, slot_count: int, queue_limit_count: int):
        self.slot_count = slot_count
        self.running_count = 0
        self.peak_running_count = 0
        self._queue_limit_count = queue_limit_count
        self._order = itertools.count()
        self._queue: list[tuple[int, int, Job]] = []

    def waiting_count(self) -> int:
        """Returns how many calls wait."""
        return sum(not job.cancelled for _, _, job in self._queue)

    def expected_wait_ms(
        self, urgency: query.Urgency, service_ms: float
    ) -> float:
        """Returns how long a call of a class would wait for a slot."""
        if self.running_count < self.slot_count:
            return 0.0
        priority = _PRIORITY[urgency]
        ahead = 1 + sum(
            each <= priority and not job.cancelled
            for each, _, job in self._queue
        )
        return ahead * service_ms / max(1, self.slot_count)

    def submit(self, job: Job, now_ms: float, service_ms: float) -> bool:
        """Takes a call, to run now or when a slot is free.

        Returns:
            False when it could not run in time; it is not taken then.
        """
        wait_ms = self.expected_wait_ms(job.urgency, service_ms)
        if now_ms + wait_ms >= job.expires_ms or self.slot_count < 1:
            return False
        if wait_ms and self.waiting_count() >= self._queue_limit_count:
            return False
        entry = (_PRIORITY[job.urgency], next(self._order), job)
        heapq.heappush(self._queue, entry)
        self.dispatch(now_ms)
        if job.task is None:
            delay_s = (job.expires_ms - now_ms) / MS_PER_S
            asyncio.get_running_loop().call_later(delay_s, self._expire, job)
        return True

    def dispatch(self, now_ms: float) -> None:
        """Starts waiting calls while there are free slots."""
        while self._queue and self.running_count < self.slot_count:
            _, _, job = heapq.heappop(self._queue)
            if job.cancelled:
                continue
            if now_ms >= job.expires_ms:
                self._expire(job)
                continue
            self.running_count += 1
            self.peak_running_count = max(
                self.peak_running_count, self.running_count
            )
            job.task = asyncio.ensure_future(job.run())
            # Not in the call itself: a task that is cancelled before its
            # first step never runs any of its code.
            job.task.add_done_callback(self._finished)

    def _finished(self, _task: asyncio.Task) -> None:
        """Frees the slot of a call that ended."""
        self.running_count -= 1
        self.dispatch(clock.now_ms())

    def _expire(self, job: Job) -> None:
        """Gives up a call that waited for all of its time."""
        if job.task is None and not job.cancelled:
            job.cancelled = True
            job.on_dropped(message.CallStatus.TIMED_OUT)
