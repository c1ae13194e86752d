"""The operator's budget is kept over all instances, at any moment."""

import random

import hypothesis
from hypothesis import strategies

from hyssoptack.gateway import budgetshare
from hyssoptack.policy import windowbudget
from hyssoptack.settings import gateway

WINDOW_MS = 10_000.0
SLACK_COUNT = 16.0
RATIO = 0.2
INSTANCE_COUNT = 4


def share(slack_count=SLACK_COUNT / INSTANCE_COUNT, ratio=RATIO):
    return windowbudget.BudgetShare(
        ratio=ratio, slack_count=slack_count, window_ms=WINDOW_MS
    )


def old_book(part):
    """Returns the book of an instance that runs for a window already."""
    return windowbudget.WindowBudget(part, -WINDOW_MS)


def spent_count(book, now_ms):
    """Returns how many extra calls may be made at once."""
    count = 0
    while book.try_spend("s", now_ms):
        count += 1
    return count


def test_the_slack_comes_in_evenly_and_half_of_it_can_be_saved_up():
    book = old_book(share(slack_count=4.0))
    assert spent_count(book, 0.0) == 2
    assert spent_count(book, 4_900.0) == 0
    assert spent_count(book, 5_100.0) == 1
    assert spent_count(book, 60_000.0) == 2


def test_no_window_has_more_than_the_slack():
    book = old_book(share(slack_count=4.0))
    times = [
        at_ms
        for at_ms in range(0, 40_000, 50)
        for _ in range(spent_count(book, at_ms))
    ]
    assert times
    assert all(_within(times, end_ms) <= 4 for end_ms in times)


def test_requests_earn_extra_calls_until_they_are_a_window_old():
    book = windowbudget.WindowBudget(share(slack_count=0.0), 0.0)
    for _ in range(10):
        book.record_request("s", 0.0)
    assert [book.try_spend("s", 0.0) for _ in range(3)] == [True, True, False]
    assert not book.try_spend("s", 20_000.0)


def test_what_is_to_be_left_is_left():
    book = old_book(share(slack_count=4.0))
    assert book.try_spend("s", 0.0, reserve_count=1.0)
    assert not book.try_spend("s", 0.0, reserve_count=1.0)
    assert book.try_spend("s", 0.0)


def test_a_new_instance_has_what_it_earns_at_first_and_all_after_a_window():
    book = windowbudget.WindowBudget(share(slack_count=4.0), 0.0)
    assert spent_count(book, 0.0) == 0
    assert spent_count(book, 2_400.0) == 0
    for _ in range(5):
        book.record_request("s", 2_400.0)
    assert spent_count(book, 2_400.0) == 1
    late = windowbudget.WindowBudget(share(slack_count=4.0), 0.0)
    assert spent_count(late, WINDOW_MS) == 2


def _play(seed):
    """Plays requests and as many extra calls as are let through."""
    dice = random.Random(seed)
    part = share(
        slack_count=budgetshare.USED_SLACK_RATIO * SLACK_COUNT / INSTANCE_COUNT,
        ratio=budgetshare.USED_EXTRA_RATIO * RATIO,
    )
    books = [old_book(part) for _ in range(INSTANCE_COUNT)]
    requests, extras = [], []
    now_ms = 0.0
    for _ in range(dice.randint(50, 600)):
        now_ms += dice.expovariate(1 / dice.choice((5.0, 50.0, 400.0)))
        book = dice.choice(books)
        if dice.random() < 0.5:
            book.record_request("s", now_ms)
            requests.append(now_ms)
        while dice.random() < 0.7:
            if book.try_spend("s", now_ms):
                extras.append(now_ms)
    return requests, extras


def _within(times, end_ms):
    return sum(end_ms - WINDOW_MS < each <= end_ms for each in times)


@hypothesis.given(strategies.integers(0, 10**6))
@hypothesis.settings(max_examples=60, deadline=None)
def test_any_window_keeps_the_budget_over_all_instances(seed):
    requests, extras = _play(seed)
    for end_ms in extras:
        counted = max(
            _within(requests, end_ms - back_ms)
            for back_ms in (0.0, WINDOW_MS / 2, WINDOW_MS)
        )
        assert _within(extras, end_ms) <= SLACK_COUNT + RATIO * counted


def _play_restarts(seed, instance_count, shared):
    """Plays instances that take all extra calls they get, and start anew."""
    dice = random.Random(seed)
    part = budgetshare.even_share(shared, instance_count)
    books = [old_book(part) for _ in range(instance_count)]
    requests, extras = [], []
    now_ms = 0.0
    together = dice.random() < 0.5
    while now_ms < 3 * WINDOW_MS:
        now_ms += dice.uniform(5.0, 100.0)
        number = dice.randrange(instance_count)
        books[number].record_request("s", now_ms)
        requests.append(now_ms)
        while books[number].try_spend("s", now_ms):
            extras.append(now_ms)
        if dice.random() < 0.01:
            ended = range(instance_count) if together else (number,)
            for each in ended:
                books[each] = windowbudget.WindowBudget(part, now_ms)
    return requests, extras


@hypothesis.given(
    strategies.integers(0, 10**6), strategies.sampled_from((12, 58, 195))
)
@hypothesis.settings(max_examples=60, deadline=None)
def test_instances_that_start_anew_in_series_keep_the_budget(
    seed, instance_count
):
    shared = gateway.BudgetSettings(
        ratio=RATIO, window_ms=WINDOW_MS, slack_count=156.0
    )
    requests, extras = _play_restarts(seed, instance_count, shared)
    for end_ms in extras[:: 1 + len(extras) // 50]:
        counted = max(
            _within(requests, end_ms - back_ms)
            for back_ms in (0.0, WINDOW_MS / 2, WINDOW_MS)
        )
        assert _within(extras, end_ms) <= 156.0 + RATIO * counted


def test_an_instance_that_knows_no_other_has_no_slack():
    shared = gateway.BudgetSettings(
        ratio=RATIO, window_ms=WINDOW_MS, slack_count=156.0
    )
    assert budgetshare.even_share(shared, 0).slack_count == 0.0
    book = old_book(budgetshare.even_share(shared, 0))
    assert spent_count(book, 0.0) == 0


def test_those_who_gather_have_most_of_the_slack_and_all_no_more_than_it():
    # Of 87 instances 6 gathered nearly all queries, with a 15th of the slack.
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


def test_the_slack_of_queries_and_that_of_single_calls_are_apart():
    book = old_book(share(slack_count=0.0))
    book.gather_share = share(slack_count=8.0)
    book.gathered_services = frozenset(("s",))
    assert spent_count(book, 0.0) == 4
    assert not book.try_spend("desk", 0.0)


def _served_ratio(part, seed):
    """Plays a wide instance's queries while a quarter of all parts is lost.

    Returns the share of them that miss at most 2 of 54 parts.
    """
    source = random.Random(seed)
    book = old_book(part)
    served_count = 0
    for number in range(90):
        now_ms = number * 110.0
        missing_count = 0
        for shard in range(54):
            book.record_request(f"s{shard}", now_ms)
            if source.random() < 0.25:
                missing_count += not book.try_spend(f"s{shard}", now_ms)
        served_count += missing_count <= 2
    return served_count / 90


def test_queries_reach_their_floor_while_answers_are_lost():
    shared = gateway.BudgetSettings(
        ratio=RATIO, window_ms=WINDOW_MS, slack_count=216.0
    )
    by_link = budgetshare.gather_share(shared, 87, 3, 140.0 / 658.0)
    for seed in range(5):
        assert _served_ratio(by_link, seed) > 0.8
        assert _served_ratio(budgetshare.even_share(shared, 87), seed) < 0.7
