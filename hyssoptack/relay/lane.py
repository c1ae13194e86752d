"""The queue in front of one leaf: its share of slots, urgent calls first."""

import asyncio
import collections.abc
import dataclasses
import heapq
import itertools

from hyssoptack.core import query

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
        give_up: Reports that the call was not made because its time was over.
        task: The running call, once it holds a slot.
        cancelled: True once the answer is no longer wanted.
    """

    query_id: str
    call_id: int
    urgency: query.Urgency
    expires_ms: float
    run: collections.abc.Callable[[], collections.abc.Coroutine]
    give_up: collections.abc.Callable[[], None]
    task: asyncio.Task | None = None
    cancelled: bool = False


class Lane:
    """One leaf's slots as far as this relay owns them."""

    def __init__(self, slot_count: int, queue_limit_count: int):
        self.slot_count = slot_count
        self.running_count = 0
        self.peak_count = 0
        self._queue_limit_count = queue_limit_count
        self._order = itertools.count()
        self._queue: list[tuple[int, int, Job]] = []

    def waiting_count(self) -> int:
        """Returns how many calls wait."""
        return len(self._queue)

    def expected_wait_ms(
        self, urgency: query.Urgency, service_ms: float
    ) -> float:
        """Returns how long a call of a class would wait for a slot."""
        if self.running_count < self.slot_count:
            return 0.0
        priority = _PRIORITY[urgency]
        ahead = sum(each[0] <= priority for each in self._queue) + 1
        return ahead * service_ms / max(1, self.slot_count)

    def submit(self, job: Job, now_ms: float, service_ms: float) -> bool:
        """Takes a call, to run now or when a slot is free.

        Returns:
            False when it could not run in time; it is not taken then.
        """
        wait_ms = self.expected_wait_ms(job.urgency, service_ms)
        if now_ms + wait_ms >= job.expires_ms or self.slot_count < 1:
            return False
        if wait_ms and len(self._queue) >= self._queue_limit_count:
            return False
        entry = (_PRIORITY[job.urgency], next(self._order), job)
        heapq.heappush(self._queue, entry)
        self.dispatch(now_ms)
        return True

    def dispatch(self, now_ms: float) -> None:
        """Starts waiting calls while there are free slots."""
        while self._queue and self.running_count < self.slot_count:
            _, _, job = heapq.heappop(self._queue)
            if job.cancelled:
                continue
            if now_ms >= job.expires_ms:
                job.give_up()
                continue
            self.running_count += 1
            self.peak_count = max(self.peak_count, self.running_count)
            job.task = asyncio.ensure_future(job.run())

    def finished(self, now_ms: float) -> None:
        """Frees the slot of a call that ended."""
        self.running_count -= 1
        self.dispatch(now_ms)
