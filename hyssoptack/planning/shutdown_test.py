"""Tests of the time from which a stopping process refuses a request."""

import math

from hyssoptack.planning import shutdown

STOP = shutdown.Shutdown(started_ms=1_000.0, grace_ms=6_000.0)


def _is_refused(time_limit_ms, now_ms, expected_ms=0.0):
    return now_ms >= STOP.refusal_at_ms(now_ms + time_limit_ms, expected_ms)


def test_a_request_that_ends_in_time_is_started_until_late_in_a_stop():
    assert not _is_refused(60_000.0, 3_600.0)
    assert _is_refused(10_000.0, 3_800.0)
    assert not _is_refused(1_000.0, 5_400.0)
    assert _is_refused(1_000.0, 5_600.0)
    assert math.isinf(STOP.refusal_at_ms(6_500.0, 0.0))


def test_a_request_that_usually_lasts_too_long_is_refused_at_once():
    # Requests with 9 s of work were started up to 2.7 s after the stop signal
    # and cut 5.6 s after it.
    assert _is_refused(10_000.0, 1_000.0, expected_ms=9_000.0)
    assert not _is_refused(10_000.0, 1_000.0, expected_ms=900.0)


def test_a_call_is_sent_only_if_it_usually_ends_before_the_process():
    assert STOP.allows_call(0.0, 6_500.0)
    assert STOP.allows_call(500.0, 6_000.0)
    assert not STOP.allows_call(500.0, 6_200.0)
    assert not STOP.allows_call(0.0, STOP.end_ms)
