"""Tests of request timelines from log lines with and without a prefix."""

import json

from hyssoptack.reports import timeline


def line(time_s, kind, instance="g-1", prefix="", **fields):
    body = {
        "instance": instance,
        "timestamp": time_s,
        "message_type": f"hyssoptack:1:{kind}",
        **fields,
    }
    return prefix + json.dumps(body)


LINES = [
    line(9.0, "config_in_force", revision=3),
    line(9.5, "config_in_force", instance="g-2", revision=3),
    line(10.0, "request_ended", prefix=" 1.0 g-1 ", request_id="r1",
         status=504, calls=["i-1 first +0 90 cancelled"]),
    line(8.0, "config_in_force", revision=2),
    line(9.9, "call_extra", request_id="r1", why="hedge"),
    line(11.0, "config_in_force", revision=4),
    line(9.8, "request_ended", request_id="r2", status=200),
    "not a log line",
    '{"cut": "sho',
]  # fmt: skip


def test_a_timeline_has_the_requests_lines_and_the_state_at_that_time():
    entries = timeline.for_request(timeline.read(LINES), "r1")
    assert [each.kind for each in entries] == [
        "config_in_force",
        "call_extra",
        "request_ended",
    ]
    assert entries[0].fields["revision"] == 3


def test_the_text_names_instance_time_and_calls():
    text = timeline.text(timeline.for_request(timeline.read(LINES), "r1"))
    assert "-100.0 ms  g-1  call_extra" in text
    assert "i-1 first +0 90 cancelled" in text


def test_an_unknown_request_is_reported():
    assert "no log line" in timeline.text(
        timeline.for_request(timeline.read(LINES), "r9")
    )
