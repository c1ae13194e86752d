"""The estimate of the usual delay inside an instance."""

from hyssoptack.delegation import delayestimate


def test_the_estimate_is_a_high_quantile_of_the_recent_delays():
    delay = delayestimate.DelayEstimate(2.0)
    for number in range(32):
        delay.record(float(number % 10))
    assert delay.estimate_ms == 7.0


def test_the_estimate_stays_between_its_lower_bound_and_max_ms():
    delay = delayestimate.DelayEstimate(2.0)
    delay.record(-5.0)
    assert delay.estimate_ms == 2.0
    delay.record(2_000.0)
    delay.record(2_000.0)
    assert delay.estimate_ms <= delayestimate.MAX_MS
