"""Deterministic tests of query plans over recorded traces."""

import functools

import pytest

from bench import traces
from hyssoptack.hedging import hedging

_PRODUCT = hedging.HedgeAfterQuantile()
_NONE = hedging.NoHedge()
_FIXED = hedging.HedgeAfterDelay(delay_ms=100.0)


@functools.cache
def _outcome(name, hedges) -> traces.Outcome:
    return traces.Replay(traces.read_trace(name), hedges).run()


@pytest.mark.parametrize("name", ["healthy", "stragglers"])
def test_extra_load_stays_within_the_profile(name):
    # The initial tokens of a new budget add to the 5% of the profile.
    assert _outcome(name, _PRODUCT).extra_load_ratio <= 0.051


@pytest.mark.parametrize("name", ["healthy", "stragglers"])
def test_every_query_gets_full_coverage(name):
    outcome = _outcome(name, _PRODUCT)
    assert outcome.refused_count == 0
    assert outcome.coverage_mean_ratio == 1.0


def test_stragglers_raise_p99_by_at_most_half():
    healthy = _outcome("healthy", _PRODUCT).p99_ms
    assert _outcome("stragglers", _PRODUCT).p99_ms <= 1.5 * healthy


def test_hedging_in_budget_does_not_raise_p99():
    for name in ("healthy", "stragglers"):
        hedged = _outcome(name, _PRODUCT).p99_ms
        assert hedged <= _outcome(name, _NONE).p99_ms


def test_fixed_hedge_delay_exceeds_the_load_limit():
    assert _outcome("healthy", _FIXED).extra_load_ratio > 0.05


def test_replay_is_deterministic():
    trace = traces.read_trace("stragglers")
    first = traces.Replay(trace, _PRODUCT).run()
    assert first == traces.Replay(trace, _PRODUCT).run()
