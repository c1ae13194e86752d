"""The operator's budget holds over all instances in any window."""

import random

import hypothesis
from hypothesis import strategies

from hyssoptack.budget import windowbudget
from hyssoptack.gateway import budgetshare
from hyssoptack.settings import gateway

WINDOW_MS = 10_000.0
SLACK_COUNT = 16.0
RATIO = 0.2
INSTANCE_COUNT = 4


def share(slack_count=SLACK_COUNT / INSTANCE_COUNT, ratio=RATIO):
    return windowbudget.BudgetShare(
        ratio=ratio, slack_count=slack_count, window_ms=WINDOW_MS
    )


def running_budget(part):
    """Returns the budget of an instance that has run for one window."""
    return windowbudget.WindowBudget(part, -WINDOW_MS)


def spent_count(budget, now_ms):
    """Spends all extra calls that are allowed now; returns their number."""
    count = 0
    while budget.try_spend("s", now_ms):
        count += 1
    return count


def test_the_slack_refills_evenly_and_its_bucket_holds_half_of_it():
    budget = running_budget(share(slack_count=4.0))
    assert spent_count(budget, 0.0) == 2
    assert spent_count(budget, 4_900.0) == 0
    assert spent_count(budget, 5_100.0) == 1
    assert spent_count(budget, 60_000.0) == 2


def test_without_requests_no_window_exceeds_the_slack():
    budget = running_budget(share(slack_count=4.0))
    times = [
        at_ms
        for at_ms in range(0, 40_000, 50)
        for _ in range(spent_count(budget, at_ms))
    ]
    assert times
    assert all(_count_in_window(times, end_ms) <= 4 for end_ms in times)


def test_requests_earn_extra_calls_until_they_are_a_window_old():
    budget = windowbudget.WindowBudget(share(slack_count=0.0), 0.0)
    for _ in range(10):
        budget.record_request("s", 0.0)
    assert [budget.try_spend("s", 0.0) for _ in range(3)] == [True, True, False]
    assert not budget.try_spend("s", 20_000.0)


def test_spending_leaves_the_reserve():
    budget = running_budget(share(slack_count=4.0))
    assert budget.try_spend("s", 0.0, reserve_count=1.0)
    assert not budget.try_spend("s", 0.0, reserve_count=1.0)
    assert budget.try_spend("s", 0.0)


def test_a_new_instance_starts_without_slack_and_saves_it_up_in_a_window():
    budget = windowbudget.WindowBudget(share(slack_count=4.0), 0.0)
    assert spent_count(budget, 0.0) == 0
    assert spent_count(budget, 2_400.0) == 0
    for _ in range(5):
        budget.record_request("s", 2_400.0)
    assert spent_count(budget, 2_400.0) == 1
    late = windowbudget.WindowBudget(share(slack_count=4.0), 0.0)
    assert spent_count(late, WINDOW_MS) == 2


def _simulate(seed):
    """Simulates requests and extra calls; returns the times of both."""
    rng = random.Random(seed)
    part = share(
        slack_count=budgetshare.USED_SLACK_RATIO * SLACK_COUNT / INSTANCE_COUNT,
        ratio=budgetshare.USED_EXTRA_RATIO * RATIO,
    )
    budgets = [running_budget(part) for _ in range(INSTANCE_COUNT)]
    requests, extras = [], []
    now_ms = 0.0
    for _ in range(rng.randint(50, 600)):
        now_ms += rng.expovariate(1 / rng.choice((5.0, 50.0, 400.0)))
        budget = rng.choice(budgets)
        if rng.random() < 0.5:
            budget.record_request("s", now_ms)
            requests.append(now_ms)
        while rng.random() < 0.7:
            if budget.try_spend("s", now_ms):
                extras.append(now_ms)
    return requests, extras


def _count_in_window(times, end_ms):
    return sum(end_ms - WINDOW_MS < each <= end_ms for each in times)


@hypothesis.given(strategies.integers(0, 10**6))
@hypothesis.settings(max_examples=60, deadline=None)
def test_any_window_keeps_the_budget_over_all_instances(seed):
    requests, extras = _simulate(seed)
    for end_ms in extras:
        counted = max(
            _count_in_window(requests, end_ms - back_ms)
            for back_ms in (0.0, WINDOW_MS / 2, WINDOW_MS)
        )
        assert _count_in_window(extras, end_ms) <= SLACK_COUNT + RATIO * counted


def _simulate_restarts(seed, instance_count, shared):
    """Simulates restarting instances that spend all extra calls they can."""
    rng = random.Random(seed)
    part = budgetshare.even_share(shared, instance_count)
    budgets = [running_budget(part) for _ in range(instance_count)]
    requests, extras = [], []
    now_ms = 0.0
    together = rng.random() < 0.5
    while now_ms < 3 * WINDOW_MS:
        now_ms += rng.uniform(5.0, 100.0)
        number = rng.randrange(instance_count)
        budgets[number].record_request("s", now_ms)
        requests.append(now_ms)
        while budgets[number].try_spend("s", now_ms):
            extras.append(now_ms)
        if rng.random() < 0.01:
            ended = range(instance_count) if together else (number,)
            for each in ended:
                budgets[each] = windowbudget.WindowBudget(part, now_ms)
    return requests, extras


@hypothesis.given(
    strategies.integers(0, 10**6), strategies.sampled_from((12, 58, 195))
)
@hypothesis.settings(max_examples=60, deadline=None)
def test_instances_that_restart_repeatedly_keep_the_budget(
    seed, instance_count
):
    shared = gateway.BudgetSettings(
        ratio=RATIO, window_ms=WINDOW_MS, slack_count=156.0
    )
    requests, extras = _simulate_restarts(seed, instance_count, shared)
    for end_ms in extras[:: 1 + len(extras) // 50]:
        counted = max(
            _count_in_window(requests, end_ms - back_ms)
            for back_ms in (0.0, WINDOW_MS / 2, WINDOW_MS)
        )
        assert _count_in_window(extras, end_ms) <= 156.0 + RATIO * counted


def test_there_is_no_slack_before_any_list_of_instances():
    shared = gateway.BudgetSettings(
        ratio=RATIO, window_ms=WINDOW_MS, slack_count=156.0
    )
    assert budgetshare.even_share(shared, 0).slack_count == 0.0
    budget = running_budget(budgetshare.even_share(shared, 0))
    assert spent_count(budget, 0.0) == 0


def test_gatherers_get_larger_shares_and_all_shares_fit_the_slack():
    # With even shares, the 6 of 87 instances that gather nearly all queries had
    # a 15th of the slack.
    shared = gateway.BudgetSettings(
        ratio=RATIO, window_ms=WINDOW_MS, slack_count=216.0
    )
    links = [140.0] * 2 + [14.0] * 27
    shares = [
        budgetshare.gather_share(shared, 87, 3, each / sum(links)).slack_count
        for each in links
    ]
    even = budgetshare.even_share(shared, 87).slack_count
    assert shares[0] > 3.0 * even
    assert shares[-1] > 0.5 * even
    assert 3 * sum(shares) <= 216.0


def test_gathered_services_draw_on_a_separate_share_of_the_slack():
    budget = running_budget(share(slack_count=0.0))
    budget.shard_share = share(slack_count=8.0)
    budget.shard_services = frozenset(("s",))
    assert spent_count(budget, 0.0) == 4
    assert not budget.try_spend("desk", 0.0)


def _served_ratio(part, seed):
    """Simulates the queries of an instance with a high link bandwidth.

    A quarter of all parts is lost.

    Returns:
        The share of queries that miss at most 2 of 54 parts.
    """
    source = random.Random(seed)
    budget = running_budget(part)
    served_count = 0
    for number in range(90):
        now_ms = number * 110.0
        missing_count = 0
        for shard in range(54):
            budget.record_request(f"s{shard}", now_ms)
            if source.random() < 0.25:
                missing_count += not budget.try_spend(f"s{shard}", now_ms)
        served_count += missing_count <= 2
    return served_count / 90


def test_gather_share_lets_queries_replace_lost_parts():
    shared = gateway.BudgetSettings(
        ratio=RATIO, window_ms=WINDOW_MS, slack_count=216.0
    )
    by_link = budgetshare.gather_share(shared, 87, 3, 140.0 / 658.0)
    for seed in range(5):
        assert _served_ratio(by_link, seed) > 0.8
        assert _served_ratio(budgetshare.even_share(shared, 87), seed) < 0.7
