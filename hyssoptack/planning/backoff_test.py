"""Waits double with each failure, up to the longest wait."""

from hyssoptack.planning import backoff


def test_waits_double_up_to_the_longest():
    delays = backoff.Backoff(min_ms=100.0, max_ms=800.0)
    assert [delays.wait_ms(count) for count in range(5)] == [
        100.0,
        200.0,
        400.0,
        800.0,
        800.0,
    ]
    assert delays.wait_ms(10**6) == 800.0
