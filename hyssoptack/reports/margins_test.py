"""Tests of the margins report over the log lines of several instances."""

from hyssoptack.reports import margins
from hyssoptack.reports import timeline
from hyssoptack.reports import timeline_test

CAME = {"a-1": "s1", "a-2": "s1", "a-3": "s1", "b-1": "s2"}


def _ended(time_s, instance, request_id, *calls):
    return timeline_test.line(
        time_s,
        "request_ended",
        instance=instance,
        prefix="1.0 g ",
        request_id=request_id,
        calls=list(calls),
    )


LINES = [
    timeline_test.line(0.0, "upstreams_changed", came=CAME),
    timeline_test.line(1.0, "query_back", request_id="r1"),
    _ended(1.1, "wide", "r1", "a-1 first +3 9 cancelled",
           "a-2@far hedge +71 1 cancelled", "b-1 first +3 9 answered"),
    _ended(1.2, "narrow", "r1", "a-3 taken_back +35 9 answered"),
    _ended(1.3, "narrow", "r2", "a-1 first +0 9 connect_failed_111",
           "a-2 reroute +0 9 answered"),
]  # fmt: skip


def test_calls_of_all_instances_for_one_request_are_added_up():
    first, second = margins.spreads(timeline.read(LINES))
    assert (first.request_id, first.service) == ("r1", "s1")
    assert first.upstream_count == 3
    assert first.instance_ids == ("narrow", "wide")
    assert first.taken_back
    # A call whose connection was refused does not count: the upstream has not
    # seen it.
    assert (second.request_id, second.upstream_count) == ("r2", 1)


def test_the_window_with_the_most_extra_calls_is_found():
    (found, *_) = margins.windows(timeline.read(LINES), 10.0)
    assert (found.service, found.extra_count) == ("s1", 3)
    assert found.first_call_count == 2
    (short_window, *_) = margins.windows(timeline.read(LINES), 0.05)
    assert short_window.extra_count == 1


def test_the_text_lists_the_requests_with_the_widest_spread():
    text = margins.text(timeline.read(LINES), 10.0)
    assert "3: 1 requests (delegated and taken back)" in text
    assert "r1: 3 of s1, by narrow, wide" in text


def test_the_oldest_list_of_upstreams_in_use_is_found():
    lines = [
        timeline_test.line(
            float(number),
            "request_ended",
            instance="g-1",
            request_id=f"r{number}",
            calls=[],
            list_age_ms=age_ms,
            list_revision=7 + number,
        )
        for number, age_ms in enumerate((900, 4_800, 20))
    ]
    found, *_ = margins.list_ages(timeline.read(lines))
    assert (found.request_id, found.age_ms, found.revision) == ("r1", 4_800, 8)
    text = margins.text(timeline.read(lines), 10.0)
    assert "4800 ms, revision 8, by g-1 for r1" in text
