"""Refused callers come back when they are likely to be served."""

import random

import pytest

from hyssoptack.policy import callresult
from hyssoptack.policy import retrydelay


def waits(reason, cut_for_ms=0.0):
    refusal = retrydelay.RefusalContext(
        cause=retrydelay.cause_of(reason), partitioned_for_ms=cut_for_ms
    )
    source = random.Random(7)
    return [retrydelay.retry_delay_ms(refusal, source) for _ in range(50)]


def test_callers_of_a_cut_domain_come_back_once_they_are_sent_elsewhere():
    # They were told 100 ms, came back to the same domain, and had no try left.
    for cut_for_ms in (0.0, 400.0, 2_000.0):
        away_ms = retrydelay.BALANCER_REMOVAL_MS - cut_for_ms
        assert min(waits(callresult.PARTITIONED, cut_for_ms)) >= away_ms
    assert max(waits(callresult.PARTITIONED, 9_000.0)) < 100.0


@pytest.mark.parametrize(
    ("reason", "cause"),
    [
        ("no_configuration_yet", retrydelay.RefusalCause.STARTING),
        ("no_upstream", retrydelay.RefusalCause.NO_UPSTREAM),
        ("shed_503", retrydelay.RefusalCause.OVERLOADED),
        ("connect_timeout", retrydelay.RefusalCause.OVERLOADED),
    ],
)
def test_each_reason_has_its_own_end(reason, cause):
    assert retrydelay.cause_of(reason) is cause


def test_returns_are_spread():
    seen = waits("shed_503")
    assert max(seen) - min(seen) > 0.15 * retrydelay.OVERLOADED_RETRY_MS
