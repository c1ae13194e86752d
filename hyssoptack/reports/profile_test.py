"""Tests of the request profile over the log lines of several instances."""

from hyssoptack.reports import profile
from hyssoptack.reports import timeline
from hyssoptack.reports import timeline_test

CAME = {"a-1": "s1", "a-2": "s1", "b-1": "s2", "b-2": "s2"}


def _ended(reason, status, *calls):
    return timeline_test.line(
        1.0,
        "request_ended",
        prefix="1.0 g ",
        request_id="r",
        route="browse",
        took_ms=60.0,
        status=status,
        reason=reason,
        calls=list(calls),
    )


LINES = [
    timeline_test.line(0.0, "upstreams_changed", came=CAME),
    _ended("2/2", 200, "a-1 first +2 40 cancelled", "a-2 hedge +30 20 answered",
           "b-1 first +2 9 answered"),
    _ended("1/2", 200, "a-1 first +0 12 answered", "a-2 hedge +10 5 cancelled",
           "b-1 first +0 60 cancelled", "b-2 retry +20 40 cancelled"),
    _ended("no_retry_budget", 502, "a-1 first +0 12 status_500"),
]  # fmt: skip


def test_latencies_failures_and_extra_calls_of_a_route():
    route = profile.routes(timeline.read(LINES))["browse"]
    assert route.first_ms == [11.0, 12.0]
    assert route.last_ms == [50.0, 12.0]
    assert route.reasons == {"parts missing": 1, "no_retry_budget": 1}
    assert route.extras["hedge"] == {"made": 2, "used": 1, "needless": 1}
    assert route.extras["retry"] == {"made": 1}


def test_the_text_lists_each_route_and_its_extra_calls():
    shown = profile.text(profile.routes(timeline.read(LINES)))
    assert "browse: 3 requests" in shown
    assert "extra calls (hedge): 2 made, 1 used, 1 needless" in shown
