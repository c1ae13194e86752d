"""The operator's budget is kept over all instances, at any moment."""

import random

import hypothesis
from hypothesis import strategies

from hyssoptack.gateway import budgetshare
from hyssoptack.policy import extrawindow

WINDOW_MS = 10_000.0
SLACK_COUNT = 16.0
RATIO = 0.2
INSTANCE_COUNT = 4


def share(
    slack_count=SLACK_COUNT / INSTANCE_COUNT, start_count=4.0, ratio=RATIO
):
    return extrawindow.Share(
        ratio=ratio,
        slack_count=slack_count,
        start_count=start_count,
        window_ms=WINDOW_MS,
    )


def test_the_slack_is_there_again_a_window_later():
    book = extrawindow.Book(share(), 0.0)
    assert [book.spend("s", 0.0) for _ in range(5)] == [True] * 4 + [False]
    assert not book.spend("s", 9_000.0)
    assert book.spend("s", 10_600.0)


def test_requests_earn_extra_calls_until_they_are_a_window_old():
    book = extrawindow.Book(share(slack_count=0.0), 0.0)
    for _ in range(10):
        book.note_request("s", 0.0)
    assert [book.spend("s", 0.0) for _ in range(3)] == [True, True, False]
    assert not book.spend("s", 20_000.0)


def test_what_is_to_be_left_is_left():
    book = extrawindow.Book(share(slack_count=2.0), 0.0)
    assert book.spend("s", 0.0, keep_count=1.0)
    assert not book.spend("s", 0.0, keep_count=1.0)
    assert book.spend("s", 0.0)


def test_a_new_instance_has_little_at_first_and_all_after_a_window():
    book = extrawindow.Book(share(slack_count=4.0, start_count=1.0), 0.0)
    assert book.spend("s", 0.0)
    assert not book.spend("s", 1.0)
    late = extrawindow.Book(share(slack_count=4.0, start_count=1.0), 0.0)
    assert all(late.spend("s", WINDOW_MS) for _ in range(4))


def _play(seed):
    """Plays requests and as many extra calls as are let through."""
    dice = random.Random(seed)
    part = share(
        slack_count=budgetshare.SLACK_SHARE_RATIO
        * SLACK_COUNT
        / INSTANCE_COUNT,
        ratio=budgetshare.EXTRA_RATIO_SHARE * RATIO,
    )
    books = [extrawindow.Book(part, 0.0) for _ in range(INSTANCE_COUNT)]
    requests, extras = [], []
    now_ms = 0.0
    for _ in range(dice.randint(50, 600)):
        now_ms += dice.expovariate(1 / dice.choice((5.0, 50.0, 400.0)))
        book = dice.choice(books)
        if dice.random() < 0.5:
            book.note_request("s", now_ms)
            requests.append(now_ms)
        while dice.random() < 0.7:
            if book.spend("s", now_ms):
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
