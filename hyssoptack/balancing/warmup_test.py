"""Warm-up limits over instances that may not know of each other."""

import collections
import random

import pytest

from hyssoptack.balancing import loadbalancer
from hyssoptack.balancing import warmup
from hyssoptack.core import member
from hyssoptack.core import traffic
from hyssoptack.core import warmuplimits
from hyssoptack.planning import callplan_test

LIMITS = warmuplimits.WarmupLimits(overage_ratio=1.5, slack_count=5.0)
PER_S = 10.0
LIMIT_COUNT = LIMITS.limit_per_s(
    traffic.Service(name="s", max_connections_count=1, warmup_per_s=PER_S)
)
COLD = callplan_test.upstream("a")


def peer(index, link_mbps=10.0):
    return member.Peer(
        instance_id=f"i-{index}",
        failure_domain="north",
        address="",
        link_mbps=link_mbps,
    )


def make_limiter(index, started_ms=0.0, per_s=PER_S):
    limiter = warmup.WarmupLimiter(peer(index), LIMITS, started_ms)
    service = traffic.Service(
        name=COLD.service,
        max_connections_count=1,
        warmup_ms=3_000.0,
        warmup_per_s=per_s,
    )
    limiter.set_services({COLD.service: service})
    return limiter


def worst_second(sent):
    """Returns the largest number of requests within any second."""
    window = collections.deque()
    most = 0
    for at_ms in sorted(sent):
        window.append(at_ms)
        while at_ms - window[0] >= 1_000.0:
            window.popleft()
        most = max(most, len(window))
    return most


class Fleet:
    """Instances that learn late of each other, stop and start again."""

    def __init__(self, source, count):
        self.source = source
        self.alive = {index: make_limiter(index) for index in range(count)}
        self.sent = []

    def restart(self, index, now_ms):
        self.alive[index] = make_limiter(index, started_ms=now_ms)

    def update_some(self, now_ms, heard_ratio):
        """Updates about half of the instances with part of the others."""
        for index, each in self.alive.items():
            if self.source.random() < 0.5:
                others = tuple(
                    peer(other)
                    for other in self.alive
                    if other != index and self.source.random() < heard_ratio
                )
                each.update_instances(others, now_ms)

    def send_where_allowed(self, now_ms):
        """Sends a request from each instance whose limit allows it."""
        for each in self.alive.values():
            if each.allows(COLD, 0, now_ms):
                each.record_sent(COLD, now_ms)
                self.sent.append(now_ms)


@pytest.mark.parametrize("seed", range(20))
def test_all_instances_together_stay_within_a_cold_upstreams_limit(seed):
    source = random.Random(seed)
    fleet = Fleet(source, source.choice((3, 12, 30)))
    for step in range(2_000):
        now_ms = step * 10.0
        fleet.send_where_allowed(now_ms)
        if step % 50 == 0:
            fleet.update_some(now_ms, heard_ratio=0.9)
        if step % 700 == 0:
            fleet.restart(source.choice(tuple(fleet.alive)), now_ms)
        if step == 1_000:
            for index in tuple(fleet.alive):
                fleet.restart(index, now_ms)
    assert worst_second(fleet.sent) <= LIMIT_COUNT
    assert len(fleet.sent) > 20.0 * LIMIT_COUNT * warmup.SHARED_RATIO / 4


def test_an_instance_sends_nothing_until_an_update_after_the_settle_time():
    limiter = make_limiter(0)
    assert not limiter.allows(COLD, 0, 0.0)
    limiter.update_instances((), 100.0)
    assert not limiter.allows(COLD, 0, 60_000.0)


def test_an_upstream_without_a_limit_gets_any_number_of_requests():
    limiter = make_limiter(0, per_s=0.0)
    for _ in range(100):
        assert limiter.allows(COLD, 0, 0.0)
        limiter.record_sent(COLD, 0.0)


def test_only_the_own_failure_domain_calls_a_cold_upstream():
    limiter = make_limiter(0)
    limiter.update_instances((), warmup.SETTLE_MS)
    far = callplan_test.upstream("b", zone="south")
    assert limiter.allows(COLD, 0, 2_000.0)
    assert not limiter.allows(far, 0, 2_000.0)


def test_half_of_a_share_is_reserved_for_urgent_requests():
    limiter = make_limiter(0)
    limiter.update_instances((), warmup.SETTLE_MS)
    now_ms = 10_000.0
    assert limiter.allows(COLD, 1, now_ms)
    counts = collections.Counter()
    for _ in range(int(LIMIT_COUNT)):
        if limiter.allows(COLD, 2, now_ms):
            limiter.record_sent(COLD, now_ms)
            counts["browse"] += 1
    while limiter.allows(COLD, 1, now_ms):
        limiter.record_sent(COLD, now_ms)
        counts["urgent"] += 1
    assert counts["urgent"] == counts["browse"] == LIMIT_COUNT / 4


def test_instances_with_high_bandwidth_share_the_limit():
    fast = [peer(index, 140.0) for index in range(2)]
    slow = [peer(index, 14.0) for index in range(2, 29)]
    shares = {
        each.instance_id: warmup.instance_share_count(
            each,
            tuple(other for other in fast + slow if other != each),
            LIMIT_COUNT,
        )
        for each in fast + slow
    }
    assert [shares[each.instance_id] for each in fast] == [5, 5]
    assert sum(shares.values()) == 10


def load_balancer(cold_ms, per_s=PER_S, restored=frozenset()):
    limiter = make_limiter(0, per_s=per_s)
    limiter.update_instances((), warmup.SETTLE_MS)
    balancer = loadbalancer.LoadBalancer(
        loadbalancer.LoadBalancerSettings(
            failure_domain="north", crossing_ratio=1.5
        ),
        limiter,
    )
    cold = callplan_test.upstream("a", cold_ms=cold_ms)
    warm = callplan_test.upstream("b")
    balancer.set_upstreams({"a": cold, "b": warm}, 10_000.0, restored)
    return balancer


def test_calls_above_a_cold_upstreams_limit_go_to_the_warm_one():
    balancer = load_balancer(cold_ms=3_000.0)
    chosen = collections.Counter()
    for index in range(100):
        now_ms = 10_000.0 + 5.0 * index
        upstream = balancer.choose("r", COLD.service, frozenset(), now_ms)
        balancer.begin_call(upstream.upstream_id, now_ms)
        chosen[upstream.upstream_id] += 1
    assert 0 < chosen["a"] <= LIMIT_COUNT * warmup.SHARED_RATIO
    assert sum(chosen.values()) == 100


def test_upstreams_of_a_restored_domain_count_as_cold():
    balancer = load_balancer(cold_ms=0.0, restored=frozenset(("north",)))
    now_ms = 10_000.0
    sent = 0
    while (
        balancer.choose("r", COLD.service, frozenset("b"), now_ms) is not None
    ):
        balancer.begin_call("a", now_ms)
        sent += 1
    assert sent == LIMIT_COUNT * warmup.SHARED_RATIO


def test_an_upstream_that_becomes_cold_in_use_gets_nothing_for_one_window():
    balancer = load_balancer(cold_ms=0.0)
    again = {
        "a": callplan_test.upstream("a", cold_ms=3_000.0),
        "b": callplan_test.upstream("b"),
    }
    balancer.set_upstreams(again, 10_000.0)
    assert balancer.choose("r", COLD.service, frozenset("b"), 10_100.0) is None
    later_ms = 10_001.0 + warmup.WINDOW_MS
    assert (
        balancer.choose("r", COLD.service, frozenset("b"), later_ms) is not None
    )
