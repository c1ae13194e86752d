"""What an instance usually is late by."""

from hyssoptack.policy import delayestimate


def test_most_of_what_was_seen_is_kept_back():
    late = delayestimate.DelayEstimate(2.0)
    for number in range(32):
        late.record(float(number % 10))
    assert late.estimate_ms == 7.0


def test_no_less_than_the_least_and_no_stop_of_the_process():
    late = delayestimate.DelayEstimate(2.0)
    late.record(-5.0)
    assert late.estimate_ms == 2.0
    late.record(2_000.0)
    late.record(2_000.0)
    assert late.estimate_ms <= delayestimate.MAX_MS
