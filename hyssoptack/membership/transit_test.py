"""Delays of messages, told from the offsets of the senders' clocks."""

from hyssoptack.membership import transit


def test_only_messages_that_were_held_up_count_as_delayed():
    times = transit.TransitTimes()
    assert times.held_up_ms("g", 1, 500_000.0, 1_000.0) == 0.0
    assert times.held_up_ms("g", 1, 500_990.0, 2_000.0) == 0.0
    assert times.held_up_ms("g", 1, 502_000.0, 3_300.0) == 0.0
    held_up_ms = times.held_up_ms("g", 1, 503_000.0, 10_000.0)
    assert 5_980.0 < held_up_ms <= 6_000.0
    assert times.held_up_ms("g", 1, 509_100.0, 10_100.0) == 0.0


def test_a_process_that_starts_anew_on_another_clock_is_not_held_up():
    times = transit.TransitTimes()
    times.held_up_ms("g", 1, 500_000.0, 1_000.0)
    assert times.held_up_ms("g", 2, 100.0, 9_000.0) == 0.0
    assert times.held_up_ms("g", 2, 1_100.0, 10_000.0) == 0.0


def test_a_slow_clock_does_not_make_all_later_messages_late():
    times = transit.TransitTimes()
    for second in range(7_200):
        sent_ms = 1_000.0 * second
        assert not times.held_up_ms("g", 1, sent_ms, sent_ms * 1.0005)
