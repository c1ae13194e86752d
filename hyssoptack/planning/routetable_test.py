"""Tests of route selection by prefix and of splits by weight."""

import collections

from hyssoptack.core import traffic
from hyssoptack.planning import routetable


def route(name, prefix, target, host="a.example"):
    return traffic.Route(
        name=name,
        host=host,
        prefix=prefix,
        idempotent=True,
        timeout_ms=1_000.0,
        latency_goal_ms=100.0,
        priority=0,
        max_attempts_count=2,
        target=target,
    )


def table(*routes):
    return routetable.RouteTable(
        traffic.Configuration(
            version=1, routes=routes, services={}, limits=traffic.Limits()
        )
    )


ONE = traffic.OneService(service="one")
TWO = traffic.OneService(service="two")


def test_the_longest_prefix_of_the_host_wins():
    found = table(route("r", "/a/", ONE), route("s", "/a/b/", TWO))
    assert found.find("A.example", "/a/b/c").services == ("two",)
    assert found.find("a.example", "/a/c").services == ("one",)
    assert found.find("a.example", "/ab") is routetable.RouteMiss.NO_ROUTE
    assert found.find("b.example", "/a/c") is routetable.RouteMiss.NO_ROUTE


def test_a_missing_configuration_is_not_a_missing_route():
    found = routetable.RouteTable(None).find("a.example", "/")
    assert found is routetable.RouteMiss.NOT_CONFIGURED


def test_every_short_sequence_of_a_split_keeps_the_weights():
    split = traffic.Split(
        shares=(
            traffic.Share(service="one", weight=90.0),
            traffic.Share(service="two", weight=10.0),
        )
    )
    found = table(route("r", "/", split))
    order = [found.find("a.example", "/").services[0] for _ in range(100)]
    for start in range(0, 100, 10):
        span = collections.Counter(order[start : start + 10])
        assert span == {"one": 9, "two": 1}
