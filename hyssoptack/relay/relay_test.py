"""Tests of what a relay learns from the calls that it makes."""

import asyncio
import time

import pytest

from hyssoptack.balancing import health
from hyssoptack.core import catalog
from hyssoptack.core import clock
from hyssoptack.core import message
from hyssoptack.core import query
from hyssoptack.planning import example
from hyssoptack.relay import relay
from hyssoptack.settings import instance

REMAINING_MS = 20.0


class _SilentUpstreams:
    """A client whose calls time out, after a stop of the whole process."""

    def __init__(self, stop_ms):
        self._stop_ms = stop_ms

    async def search(self, _upstream, ask, _sub_query, remaining_ms):
        time.sleep(self._stop_ms / 1_000)
        await asyncio.sleep(remaining_ms / 1_000)
        return message.UpstreamReply(
            call_id=ask.call_id,
            upstream_id=ask.upstream_id,
            status=message.CallStatus.TIMED_OUT,
            service_ms=self._stop_ms + remaining_ms,
            reached_upstream=True,
        )


async def _state_after_timeouts(stop_ms):
    """Returns an upstream's state after two calls to it timed out."""
    service = example.service(1, 1)
    current = catalog.Catalog(
        revision=1, profiles={}, services={service.name: service}
    )
    (upstream_id,) = service.upstreams
    tracker = health.HealthTracker()
    settings = instance.RelaySettings(
        owner_count=1,
        column_size_count=40,
        queue_limit_count=8,
        flush_ms=1.0,
        claim_max_age_ms=1_000.0,
    )
    own = relay.Relay(
        settings, _SilentUpstreams(stop_ms), tracker, lambda _: None
    )
    own.set_owned_upstreams(
        current, frozenset([upstream_id]), clock.now_ms() + 60_000.0
    )
    for number in range(2):
        replied = asyncio.Event()
        own.run_sub_query(
            message.SubQuery(
                origin="i",
                query_id=f"q{number}",
                service=service.name,
                text="x",
                limit_count=1,
                urgency=query.Urgency.URGENT,
                remaining_ms=REMAINING_MS,
                asks=(
                    message.UpstreamAsk(
                        call_id=1, upstream_id=upstream_id, index_version=1
                    ),
                ),
            ),
            lambda _, replied=replied: replied.set(),
        )
        await replied.wait()
    return tracker.upstreams[upstream_id].state


@pytest.mark.parametrize(
    ("stop_ms", "state"), [(0.0, "ejected"), (300.0, "cold")]
)
def test_a_stop_of_this_process_does_not_eject_an_upstream(stop_ms, state):
    # Its answer may lie in the socket when the late timeout fires.
    assert asyncio.run(_state_after_timeouts(stop_ms)) == state
