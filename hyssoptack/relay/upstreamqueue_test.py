"""Tests of the queue and slots of an upstream."""

import asyncio

from hyssoptack.core import query
from hyssoptack.relay import upstreamqueue

_URGENT = query.Urgency.URGENT
_BROWSING = query.Urgency.BROWSING


class _Calls:
    """Creates jobs and records which were started and which were dropped."""

    def __init__(self):
        self.started = []
        self.dropped = []
        self.may_finish = asyncio.Event()

    def job(self, call_id, urgency=_BROWSING, expires_ms=1e12):
        async def run():
            self.started.append(call_id)
            await self.may_finish.wait()

        return upstreamqueue.Job(
            query_id="q",
            call_id=call_id,
            urgency=urgency,
            expires_ms=expires_ms,
            run=run,
            on_dropped=lambda _status: self.dropped.append(call_id),
        )


def test_call_cancelled_before_its_first_step_frees_its_slot():
    async def scenario():
        calls = _Calls()
        queue = upstreamqueue.UpstreamQueue(slot_count=1, queue_limit_count=4)
        first = calls.job(1)
        assert queue.submit(first, 0.0, 5.0)
        first.task.cancel()
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert queue.submit(calls.job(2), 0.0, 5.0)
        await asyncio.sleep(0)
        assert calls.started == [2]
        assert queue.running_count == 1

    asyncio.run(scenario())


def test_call_waiting_past_its_deadline_is_dropped():
    async def scenario():
        calls = _Calls()
        queue = upstreamqueue.UpstreamQueue(slot_count=1, queue_limit_count=4)
        now_ms = upstreamqueue.clock.now_ms()
        assert queue.submit(calls.job(1), now_ms, 5.0)
        waiting = calls.job(2, expires_ms=now_ms + 20)
        assert queue.submit(waiting, now_ms, 5.0)
        await asyncio.sleep(0.06)
        assert calls.dropped == [2]
        assert queue.waiting_count() == 0

    asyncio.run(scenario())


def test_urgent_calls_start_before_browsing_calls():
    async def scenario():
        calls = _Calls()
        queue = upstreamqueue.UpstreamQueue(slot_count=1, queue_limit_count=9)
        for call_id, urgency in ((1, _BROWSING), (2, _BROWSING), (3, _URGENT)):
            assert queue.submit(calls.job(call_id, urgency), 0.0, 5.0)
        calls.may_finish.set()
        for _ in range(20):
            await asyncio.sleep(0)
        assert calls.started == [1, 3, 2]

    asyncio.run(scenario())


def test_call_that_can_not_start_before_its_deadline_is_rejected():
    async def scenario():
        calls = _Calls()
        queue = upstreamqueue.UpstreamQueue(slot_count=1, queue_limit_count=9)
        assert queue.submit(calls.job(1), 0.0, 50.0)
        assert not queue.submit(calls.job(2, expires_ms=40.0), 0.0, 50.0)

    asyncio.run(scenario())
