"""Refused callers are told to retry when they are likely to be served."""

import random

import pytest

from hyssoptack.planning import callresult
from hyssoptack.planning import retrydelay


def delays_ms(reason, partitioned_for_ms=0.0):
    refusal = retrydelay.RefusalContext(
        cause=retrydelay.cause_of(reason), partitioned_for_ms=partitioned_for_ms
    )
    rng = random.Random(7)
    return [retrydelay.retry_delay_ms(refusal, rng) for _ in range(50)]


def test_callers_of_a_partitioned_domain_retry_after_its_removal():
    # With a delay of 100 ms callers reached the same domain again and used up
    # their tries.
    for partitioned_for_ms in (0.0, 400.0, 2_000.0):
        removal_in_ms = retrydelay.BALANCER_REMOVAL_MS - partitioned_for_ms
        assert (
            min(delays_ms(callresult.PARTITIONED, partitioned_for_ms))
            >= removal_in_ms
        )
    assert max(delays_ms(callresult.PARTITIONED, 9_000.0)) < 100.0


@pytest.mark.parametrize(
    ("reason", "cause"),
    [
        ("no_configuration_yet", retrydelay.RefusalCause.STARTING),
        ("no_upstream", retrydelay.RefusalCause.NO_UPSTREAM),
        ("shed_503", retrydelay.RefusalCause.OVERLOADED),
        ("connect_timeout", retrydelay.RefusalCause.OVERLOADED),
    ],
)
def test_each_reason_maps_to_its_cause(reason, cause):
    assert retrydelay.cause_of(reason) is cause


def test_retry_delays_are_randomized():
    seen = delays_ms("shed_503")
    assert max(seen) - min(seen) > 0.15 * retrydelay.OVERLOADED_RETRY_MS
