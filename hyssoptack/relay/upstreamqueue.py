"""Queue of calls to one upstream: limits concurrency, urgent calls first."""

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
    """A call that waits for a slot or holds one.

    Attributes:
        query_id: Identifier of its query; empty for an action.
        call_id: Identifier of the call within the query.
        urgency: Urgency class, which sets the priority.
        expires_ms: Time after which its reply is of no use.
        run: Coroutine function that makes the call.
        on_dropped: Called with a status if the call is dropped before it
            starts.
        task: Task of the call; None until it holds a slot.
        started: Whether the code of `run` has started.
        cancelled: Whether the call was cancelled or has expired.
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
    """This relay's share of an upstream's slots, and the calls waiting for one.

    Attributes:
        slot_count: Number of slots that this relay may use.
        running_count: Number of slots in use.
        peak_running_count: Highest `running_count` so far.
    """

    def __init__(self, slot_count: int, queue_limit_count: int):
        self.slot_count = slot_count
        self.running_count = 0
        self.peak_running_count = 0
        self._queue_limit_count = queue_limit_count
        self._sequence = itertools.count()
        self._queue: list[tuple[int, int, Job]] = []

    def waiting_count(self) -> int:
        """Returns the number of waiting calls."""
        return sum(not job.cancelled for _, _, job in self._queue)

    def expected_wait_ms(
        self, urgency: query.Urgency, service_ms: float
    ) -> float:
        """Returns the expected wait of a new call for a slot, in milliseconds.

        Args:
            urgency: Urgency class of the call.
            service_ms: Expected service time of a call, in milliseconds.
        """
        if self.running_count < self.slot_count:
            return 0.0
        priority = _PRIORITY[urgency]
        ahead = 1 + sum(
            each <= priority and not job.cancelled
            for each, _, job in self._queue
        )
        return ahead * service_ms / max(1, self.slot_count)

    def submit(self, job: Job, now_ms: float, service_ms: float) -> bool:
        """Starts a call, or queues it until a slot is free.

        Args:
            job: The call.
            now_ms: Current time.
            service_ms: Expected service time of a call, in milliseconds.

        Returns:
            False if the call is rejected, because it could not start before its
            deadline or the queue is full.
        """
        wait_ms = self.expected_wait_ms(job.urgency, service_ms)
        if now_ms + wait_ms >= job.expires_ms or self.slot_count < 1:
            return False
        if wait_ms and self.waiting_count() >= self._queue_limit_count:
            return False
        entry = (_PRIORITY[job.urgency], next(self._sequence), job)
        heapq.heappush(self._queue, entry)
        self.dispatch(now_ms)
        if job.task is None:
            delay_s = (job.expires_ms - now_ms) / MS_PER_S
            asyncio.get_running_loop().call_later(delay_s, self._expire, job)
        return True

    def dispatch(self, now_ms: float) -> None:
        """Starts waiting calls while slots are free."""
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
            # A callback frees the slot, not `run` itself: a task cancelled
            # before its first step runs none of its code.
            job.task.add_done_callback(self._on_finished)

    def _on_finished(self, _task: asyncio.Task) -> None:
        """Frees the slot of a finished call and starts the next one."""
        self.running_count -= 1
        self.dispatch(clock.now_ms())

    def _expire(self, job: Job) -> None:
        """Drops a call whose deadline passed while it waited for a slot."""
        if job.task is None and not job.cancelled:
            job.cancelled = True
            job.on_dropped(message.CallStatus.TIMED_OUT)
