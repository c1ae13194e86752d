"""Tests of an upstream's queue and slots."""

import asyncio

from hyssoptack.core import query
from hyssoptack.relay import upstreamqueue

_URGENT = query.Urgency.URGENT
_BROWSING = query.Urgency.BROWSING


class _Calls:
    """Makes jobs and records what became of them."""

    def __init__(self):
        self.order = []
        self.given_up = []
        self.gate = asyncio.Event()

    def job(self, call_id, urgency=_BROWSING, expires_ms=1e12):
        async def run():
            self.order.append(call_id)
            await self.gate.wait()

        return upstreamqueue.Job(
            query_id="q",
            call_id=call_id,
            urgency=urgency,
            expires_ms=expires_ms,
            run=run,
            on_dropped=lambda _status: self.given_up.append(call_id),
        )


def test_a_call_cancelled_before_it_started_frees_its_slot():
    async def scenario():
        calls = _Calls()
        own = upstreamqueue.UpstreamQueue(slot_count=1, queue_limit_count=4)
        first = calls.job(1)
        assert own.submit(first, 0.0, 5.0)
        first.task.cancel()
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert own.submit(calls.job(2), 0.0, 5.0)
        await asyncio.sleep(0)
        assert calls.order == [2]
        assert own.running_count == 1

    asyncio.run(scenario())


def test_a_call_that_waits_past_its_time_is_given_up():
    async def scenario():
        calls = _Calls()
        own = upstreamqueue.UpstreamQueue(slot_count=1, queue_limit_count=4)
        now_ms = upstreamqueue.clock.now_ms()
        assert own.submit(calls.job(1), now_ms, 5.0)
        waits = calls.job(2, expires_ms=now_ms + 20)
        assert own.submit(waits, now_ms, 5.0)
        await asyncio.sleep(0.06)
        assert calls.given_up == [2]
        assert own.waiting_count() == 0

    asyncio.run(scenario())


def test_urgent_calls_go_before_browsing_ones():
    async def scenario():
        calls = _Calls()
        own = upstreamqueue.UpstreamQueue(slot_count=1, queue_limit_count=9)
        for call_id, urgency in ((1, _BROWSING), (2, _BROWSING), (3, _URGENT)):
            assert own.submit(calls.job(call_id, urgency), 0.0, 5.0)
        calls.gate.set()
        for _ in range(20):
            await asyncio.sleep(0)
        assert calls.order == [1, 3, 2]

    asyncio.run(scenario())


def test_a_call_that_can_not_run_in_time_is_not_taken():
    async def scenario():
        calls = _Calls()
        own = upstreamqueue.UpstreamQueue(slot_count=1, queue_limit_count=9)
        assert own.submit(calls.job(1), 0.0, 50.0)
        assert not own.submit(calls.job(2, expires_ms=40.0), 0.0, 50.0)

    asyncio.run(scenario())
