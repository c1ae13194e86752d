"""Plays of bursts without a network, with and without admission.

The site has 6 instances and 4 upstreams that complete 1,000 requests a second.
"""

import functools

import pytest

from hyssoptack.admission import refusal
from hyssoptack.standins import admissionload
from hyssoptack.standins import admissionplay

CAPACITY_PER_S = 1_000.0
BUSY_RATIO = 0.6
BURST_END_MS = 8_000.0


def _rates(load_per_s, busy_ratio):
    others_per_s = load_per_s * (1.0 - busy_ratio) / 75
    rates = {f"team-{number}": others_per_s for number in range(75)}
    if busy_ratio:
        rates["busy"] = load_per_s * busy_ratio
    return rates


@functools.cache
def _play(factor, admits, busy_ratio=BUSY_RATIO, **changes):
    """Plays a burst, by default with a slow and a shedding upstream."""
    fields = {
        "slow_ratios": (1.0, 1.0, 4.0, 1.0),
        "shed_ratios": (0.0, 0.0, 0.0, 0.3),
        "calm_ratio": 0.5 / factor,
        **changes,
    }
    scenario = admissionload.Scenario(
        admits=admits,
        team_rates_per_s=_rates(factor * CAPACITY_PER_S, busy_ratio),
        **fields,
    )
    assert scenario.capacity_per_s == CAPACITY_PER_S
    return admissionplay.Play(scenario).run()


def _timely(played, wanted):
    return admissionload.timely_ratio(
        [each for each in played.burst() if wanted(each)]
    )


@pytest.mark.parametrize("factor", [2.5, 3.0])
@pytest.mark.parametrize("busy_ratio", [0.0, BUSY_RATIO])
def test_a_burst_is_worth_more_to_callers_with_admission(factor, busy_ratio):
    without = _play(factor, False, busy_ratio).burst()
    admitted = _play(factor, True, busy_ratio).burst()
    ratios = [admissionload.timely_ratio(each) for each in (without, admitted)]
    values = [admissionload.value_ratio(each) for each in (without, admitted)]
    assert ratios[1] >= 1.25 * ratios[0]
    assert values[1] > values[0]


@pytest.mark.parametrize("factor", [2.5, 3.0])
def test_urgent_requests_come_first_and_no_kind_starves(factor):
    played = _play(factor, True)
    ratios = {
        kind.name: _timely(played, lambda each, kind=kind: each.kind is kind)
        for kind in admissionload.KINDS
    }
    overall = admissionload.timely_ratio(played.burst())
    assert ratios["urgent"] == max(ratios.values())
    assert min(ratios.values()) >= 0.5 * overall


@pytest.mark.parametrize("factor", [2.5, 3.0])
def test_a_busy_team_leaves_the_others_most_of_their_requests(factor):
    others = {
        admits: _timely(_play(factor, admits), lambda each: each.team != "busy")
        for admits in (False, True)
    }
    assert others[True] >= 2.0 * others[False]
    played = _play(factor, True)
    overall = admissionload.timely_ratio(played.burst())
    for team in played.scenario.team_rates_per_s:
        ratio = _timely(played, lambda each, team=team: each.team == team)
        assert ratio >= 0.25 * overall, team


@pytest.mark.parametrize("factor", [2.5, 3.0])
def test_most_refusals_are_early_enough_for_a_retry_to_gain(factor):
    first = [
        waited_ms <= refusal.RETRY_GAIN_RATIO * request.kind.goal_ms
        for waited_ms, try_count, request in _play(factor, True).refusals
        if try_count == 1
    ]
    assert sum(first) >= 0.7 * len(first)


@pytest.mark.parametrize("factor", [2.5, 3.0])
def test_requests_are_timely_within_a_second_of_the_burst(factor):
    later = [
        each
        for each in _play(factor, True).requests
        if each.began_ms >= BURST_END_MS + 1_000.0
    ]
    assert admissionload.timely_ratio(later) >= 0.98


@pytest.mark.parametrize(
    "faults",
    [{"slow_ratios": (1.0, 1.0, 10.0, 1.0), "shed_ratios": (0.0,) * 4}, {}],
    ids=["slow", "slow-and-shedding"],
)
def test_calm_traffic_is_served_as_without_admission(faults):
    ratios = []
    for admits in (False, True):
        # Calm throughout: the "burst" is half of the capacity.
        played = _play(0.5, admits, 0.0, calm_ratio=1.0, **faults)
        ratios.append(admissionload.timely_ratio(played.requests))
        refusals = len(played.refusals) / len(played.requests)
        if admits:
            limits = [
                limit >= ceiling
                for instance in played.instances
                for _, limit, ceiling in instance.limits
            ]
            assert refusals <= 0.005
            assert sum(limits) >= 0.99 * len(limits)
    assert ratios[1] >= ratios[0] - 0.005
