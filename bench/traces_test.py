"""Recorded traces replayed against stated outcomes; the same every run."""

import functools

import pytest

from bench import traces
from hyssoptack.policy import hedging

_PRODUCT = hedging.HedgeAfterQuantile()
_NONE = hedging.NoHedge()
_FIXED = hedging.HedgeAfterDelay(delay_ms=100.0)


@functools.cache
def _outcome(name, hedges) -> traces.Outcome:
    return traces.Replay(traces.read_trace(name), hedges).run()


@pytest.mark.parametrize("name", ["healthy", "stragglers"])
def test_extra_load_stays_within_the_profile(name):
    # The first tokens of a fresh budget come on top of the five in a hundred.
    assert _outcome(name, _PRODUCT).extra_load_ratio <= 0.051


@pytest.mark.parametrize("name", ["healthy", "stragglers"])
def test_every_query_is_answered_whole(name):
    outcome = _outcome(name, _PRODUCT)
    assert outcome.refused_count == 0
    assert outcome.coverage_mean_ratio == 1.0


def test_stragglers_cost_at_most_half_of_the_healthy_tail():
    healthy = _outcome("healthy", _PRODUCT).p99_ms
    assert _outcome("stragglers", _PRODUCT).p99_ms <= 1.5 * healthy


def test_hedging_in_budget_beats_no_hedging_at_the_tail():
    for name in ("healthy", "stragglers"):
        own = _outcome(name, _PRODUCT).p99_ms
        assert own <= _outcome(name, _NONE).p99_ms


def test_a_fixed_delay_spends_more_than_the_profile_allows():
    assert _outcome("healthy", _FIXED).extra_load_ratio > 0.05


def test_a_replay_comes_out_the_same_every_time():
    trace = traces.read_trace("stragglers")
    one = traces.Replay(trace, _PRODUCT).run()
    assert one == traces.Replay(trace, _PRODUCT).run()
