"""Tokens are moved but not multiplied, whatever happens to an owner."""

import math
import random

import pytest

from hyssoptack.core import teams
from hyssoptack.ratelimit import ledger
from hyssoptack.ratelimit import retryslots
from hyssoptack.ratelimit import share

TEAM = "atlas"
LIMIT = teams.RateLimit(rate_per_s=30.0, burst_count=30.0)
BOUNDS = share.LimitBounds(
    window_ms=5_000.0, overage_ratio=0.1, slack_count=20.0
)
SHARE = share.domain_share(LIMIT, BOUNDS, 3)


def new_ledger(token_count=5.0, domain_count=3):
    owner = ledger.Ledger(BOUNDS, domain_count, random.Random(1))
    owner.begin(TEAM, LIMIT, 0.0, token_count)
    return owner


def ask(wanted_count=1, prefetch_count=0, held_count=0, asker_id="a"):
    return ledger.PermitAsk(
        asker_id=asker_id,
        wanted_count=wanted_count,
        prefetch_count=prefetch_count,
        held_count=held_count,
    )


def created(length_ms, of_share=SHARE):
    """Returns the tokens that a bucket creates in a time."""
    return of_share.rate_per_s * length_ms / 1_000.0


def tokens(owner, now_ms=0.0):
    return owner.token_counts(now_ms)[TEAM]


def test_a_transfer_subtracts_what_it_gives():
    giver, receiver = new_ledger(5.0), new_ledger(0.0)
    given_count = giver.give(TEAM, LIMIT, 3.0, 0.0)
    receiver.receive(TEAM, LIMIT, given_count, 0.0)
    assert (tokens(giver), tokens(receiver)) == (2.0, 3.0)
    receiver.receive(TEAM, LIMIT, 50.0, 0.0)
    assert tokens(receiver) == SHARE.capacity_count


def test_permits_given_back_do_not_exceed_the_capacity():
    owner = new_ledger(5.0)
    owner.take_back(TEAM, LIMIT, 2, 0.0)
    assert tokens(owner) == 7.0
    owner.take_back(TEAM, LIMIT, 8, 0.0)
    assert tokens(owner) == SHARE.capacity_count
    owner.take_back("none", LIMIT, 8, 0.0)
    assert not owner.owns("none")


def test_recent_demand_of_the_own_domain_is_kept_back():
    giver = new_ledger(10.0)
    for _ in range(4):
        giver.ask(TEAM, LIMIT, ask(), 0.0)
    # 4 requests within the average of 2 s are 2 per second.
    assert giver.give(TEAM, LIMIT, 50.0, 0.0) == pytest.approx(5.0)
    # One token is given although it is reserved.
    assert giver.give(TEAM, LIMIT, 50.0, 0.0) == pytest.approx(1.0)


@pytest.mark.parametrize("count", [math.nan, math.inf, -math.inf, -1.0, 1e12])
def test_absurd_counts_change_nothing(count):
    owner = new_ledger(5.0)
    owner.receive(TEAM, LIMIT, count, 0.0)
    owner.take_back(TEAM, LIMIT, count, 0.0)
    assert owner.give(TEAM, LIMIT, count, 0.0) == 0.0
    owner.begin(TEAM, LIMIT, 0.0, count)
    for wrong in (
        ask(wanted_count=count),
        ask(prefetch_count=count),
        ask(held_count=count),
    ):
        assert isinstance(owner.ask(TEAM, LIMIT, wrong, 0.0), ledger.Denied)
    limit = teams.RateLimit(rate_per_s=count, burst_count=30.0)
    owner.give(TEAM, limit, 0.0, 0.0)
    assert tokens(owner) == 5.0
    assert owner.ask(TEAM, LIMIT, ask(), 0.0).permit_count == 1


def test_a_new_owner_ignores_an_absurd_handover():
    owner = ledger.Ledger(BOUNDS, 3, random.Random(1))
    owner.begin(TEAM, LIMIT, 0.0, math.inf)
    assert tokens(owner) == 0.0
    owner.begin("none", teams.RateLimit(rate_per_s=0, burst_count=1), 0.0, 1.0)
    assert not owner.owns("none")


def test_a_clock_that_steps_back_creates_no_tokens():
    owner = new_ledger(0.0)
    created_count = created(100.0)
    assert tokens(owner, 100.0) == pytest.approx(created_count)
    for now_ms in (-60_000.0, 50.0, 100.0, -5.0, 100.0):
        assert tokens(owner, now_ms) == pytest.approx(created_count)


def test_a_lowered_limit_caps_at_once_and_a_raised_one_does_not_fill():
    owner = new_ledger(10.0)
    lower = teams.RateLimit(rate_per_s=3.0, burst_count=3.0)
    owner.give(TEAM, lower, 0.0, 0.0)
    low_count = share.domain_share(lower, BOUNDS, 3).capacity_count
    assert tokens(owner) == low_count
    owner.give(TEAM, LIMIT, 0.0, 0.0)
    assert tokens(owner) == low_count


def test_an_idle_team_returns_with_what_the_time_away_refilled():
    # Without a tolerated excess the slow rate is created, and no more.
    exact = share.LimitBounds(
        window_ms=5_000.0, overage_ratio=0.0, slack_count=0.0
    )
    slow = teams.RateLimit(rate_per_s=0.03, burst_count=30.0)
    slow_share = share.domain_share(slow, exact, 3)
    owner = ledger.Ledger(exact, 3, random.Random(1))
    owner.begin(TEAM, slow, 0.0, 0.0)
    owner.drop_idle(60_000.0)
    assert owner.active_count == 0
    assert owner.owns(TEAM)
    assert owner.owned_teams() == [TEAM]
    assert isinstance(owner.ask(TEAM, slow, ask(), 90_000.0), ledger.Short)
    created_count = created(90_000.0, slow_share)
    assert created_count == pytest.approx(0.9)
    assert tokens(owner, 90_000.0) == pytest.approx(created_count)


def test_an_idle_team_is_handed_over_and_emptied_like_others():
    owner = new_ledger(0.0)
    owner.drop_idle(60_000.0)
    owner.empty(60_000.0)
    assert owner.hand_over(TEAM, 60_100.0) == pytest.approx(created(100.0))
    assert not owner.owns(TEAM)
    assert owner.hand_over(TEAM, 60_100.0) == 0.0


def test_a_flapping_owner_gets_no_full_start_bucket_each_time():
    owner = ledger.Ledger(BOUNDS, 3, random.Random(1))
    total_count = 0.0
    for now_ms in range(0, 5_000, 100):
        owner.begin(TEAM, LIMIT, now_ms, None)
        total_count += owner.hand_over(TEAM, now_ms)
    assert total_count <= 2.0 * SHARE.start_count
    owner.drop_idle(20_000.0)
    owner.begin(TEAM, LIMIT, 20_000.0, None)
    assert tokens(owner, 20_000.0) == SHARE.start_count


def test_a_bucket_that_replaces_a_slow_owner_creates_no_tokens():
    owner = ledger.Ledger(BOUNDS, 3, random.Random(1))
    owner.begin(TEAM, LIMIT, 0.0, None, provisional=True)
    assert owner.is_provisional(TEAM)
    assert tokens(owner, 400.0) == SHARE.start_count
    owner.confirm(TEAM, 400.0)
    assert not owner.is_provisional(TEAM)
    assert tokens(owner, 400.0) == pytest.approx(
        SHARE.start_count + created(400.0)
    )
    owner.abandon(TEAM, 400.0)
    assert isinstance(owner.ask(TEAM, LIMIT, ask(), 400.0), ledger.NotOwned)


def test_a_bucket_handed_over_during_a_transfer_does_not_begin_again():
    owner = new_ledger()
    owner.hand_over(TEAM, 0.0)
    owner.receive(TEAM, LIMIT, 4.0, 0.0)
    assert owner.give(TEAM, LIMIT, 1.0, 0.0) == 0.0
    assert isinstance(owner.ask(TEAM, LIMIT, ask(), 0.0), ledger.NotOwned)
    assert isinstance(owner.deny(TEAM, LIMIT, 0.0), ledger.NotOwned)
    assert not owner.owns(TEAM)


def test_a_stopped_process_loses_its_tokens_and_the_time_of_the_stop():
    owner = new_ledger()
    owner.empty(10_000.0)
    assert tokens(owner, 10_000.0) == 0.0


def test_an_isolated_owner_creates_few_tokens():
    owner = new_ledger(0.0)
    owner.set_isolated(True, 0.0)
    assert tokens(owner, 1_000.0) == pytest.approx(SHARE.isolated_rate_per_s)
    owner.set_isolated(False, 1_000.0)
    assert tokens(owner, 1_100.0) == pytest.approx(
        SHARE.isolated_rate_per_s + created(100.0)
    )


def test_permits_ahead_are_bounded_over_all_askers():
    owner = new_ledger(10.0)
    granted = [
        owner.ask(TEAM, LIMIT, ask(0, 2, asker_id=str(number)), 0.0)
        for number in range(9)
    ]
    total_count = sum(each.permit_count for each in granted)
    assert 0 < total_count <= SHARE.prefetch_count
    # Lost replies count until the permits would have expired.
    assert tokens(owner, 2_900.0) == SHARE.capacity_count
    assert owner.ask(TEAM, LIMIT, ask(0, 1), 2_900.0).permit_count == 0
    assert owner.ask(TEAM, LIMIT, ask(0, 1), 3_000.0).permit_count == 1


def test_a_statement_of_held_permits_makes_room_for_others():
    owner = new_ledger(10.0)
    most_count = owner.ask(TEAM, LIMIT, ask(0, 8), 0.0).permit_count
    owner.ask(TEAM, LIMIT, ask(0, 0, held_count=most_count - 2), 1_000.0)
    other = ask(0, 8, asker_id="b")
    assert owner.ask(TEAM, LIMIT, other, 1_000.0).permit_count == 2


def test_an_empty_bucket_asks_other_domains_before_it_refuses():
    owner = new_ledger(0.5)
    short = owner.ask(TEAM, LIMIT, ask(), 0.0)
    assert short == ledger.Short(missing_count=0.5)
    denied = owner.deny(TEAM, LIMIT, 0.0, ask())
    assert denied.permit_count == 0
    assert not owner.may_transfer(TEAM, 99.0)
    assert isinstance(
        owner.ask(TEAM, LIMIT, ask(wanted_count=9), 40.0), ledger.Denied
    )
    assert owner.may_transfer(TEAM, 100.0)


def test_a_single_domain_asks_nobody():
    owner = new_ledger(0.0, domain_count=1)
    assert isinstance(owner.ask(TEAM, LIMIT, ask(), 0.0), ledger.Denied)
    assert owner.transfer_count(TEAM, 0.0) == 0.0


def test_a_refused_group_still_gets_the_tokens_that_there_are():
    owner = new_ledger(2.5)
    owner.record_failed_transfer(TEAM, 0.0)
    denied = owner.ask(TEAM, LIMIT, ask(wanted_count=4), 0.0)
    assert denied.permit_count == 2
    assert tokens(owner) == 0.5


def test_tokens_are_requested_before_the_bucket_is_empty():
    owner = new_ledger(10.0)
    assert owner.transfer_count(TEAM, 0.0) == 0.0
    for _ in range(8):
        owner.ask(TEAM, LIMIT, ask(), 0.0)
    wanted_count = owner.transfer_count(TEAM, 0.0)
    assert 1.0 <= wanted_count <= SHARE.capacity_count - 2.0
    owner.record_failed_transfer(TEAM, 0.0)
    assert owner.transfer_count(TEAM, 0.0) == 0.0


def test_refused_callers_return_one_after_the_other_at_the_rate():
    owner = new_ledger(0.0)
    owner.record_failed_transfer(TEAM, 0.0)
    delays_ms = [
        owner.ask(TEAM, LIMIT, ask(), 0.0).retry_after_ms for _ in range(20)
    ]
    token_ms = 1_000.0 / SHARE.rate_per_s
    for number, delay_ms in enumerate(delays_ms, 1):
        assert token_ms * number - 1e-6 <= delay_ms
        assert delay_ms <= 1.25 * token_ms * number + 1e-6
    many = owner.ask(TEAM, LIMIT, ask(wanted_count=1_000), 0.0)
    assert many.retry_after_ms >= 21 * token_ms - 1e-6
    last = owner.ask(TEAM, LIMIT, ask(), 0.0)
    assert 4_000.0 <= last.retry_after_ms <= retryslots.DELAY_MAX_MS


def test_refused_callers_do_not_return_at_once():
    owner = new_ledger(0.99)
    owner.record_failed_transfer(TEAM, 0.0)
    denied = owner.ask(TEAM, LIMIT, ask(), 0.0)
    assert denied.retry_after_ms >= retryslots.DELAY_MIN_MS


def test_debits_leave_a_debt_of_at_most_one_capacity():
    owner = new_ledger(5.0)
    assert owner.debit(TEAM, LIMIT, 7, 0.0)
    assert tokens(owner) == -2.0
    owner.debit(TEAM, LIMIT, 500, 0.0)
    assert tokens(owner) == -SHARE.capacity_count
    assert not owner.debit("none", LIMIT, 1, 0.0)
    for wrong_count in (-1, math.nan, math.inf, 10**9):
        owner.debit(TEAM, LIMIT, wrong_count, 0.0)
    assert tokens(owner) == -SHARE.capacity_count


def test_a_debt_is_no_gift_to_others_and_grants_nothing():
    owner = new_ledger(1.0)
    owner.debit(TEAM, LIMIT, 6, 0.0)
    assert owner.give(TEAM, LIMIT, 3.0, 0.0) == 0.0
    assert owner.ask(TEAM, LIMIT, ask(0, 4), 0.0).permit_count == 0
    owner.record_failed_transfer(TEAM, 0.0)
    assert owner.ask(TEAM, LIMIT, ask(2), 0.0).permit_count == 0
    assert tokens(owner) == -5.0
    owner.empty(0.0)
    assert tokens(owner) == -5.0
    assert owner.hand_over(TEAM, 0.0) == 0.0


def test_a_low_bucket_restricts_its_team_until_it_is_well_filled():
    capacity_count = SHARE.capacity_count
    owner = new_ledger(0.51 * capacity_count)
    assert owner.restriction_ms(TEAM, 0.0) == 0.0
    owner.debit(TEAM, LIMIT, 1, 0.0)
    assert owner.restriction_ms(TEAM, 0.0) == 2_000.0
    until_ms = (
        (0.75 * capacity_count - tokens(owner)) / SHARE.rate_per_s * 1_000.0
    )
    assert owner.restriction_ms(TEAM, until_ms - 1.0) == 2_000.0
    assert owner.restriction_ms(TEAM, until_ms + 1.0) == 0.0
    assert owner.restriction_ms("none", 0.0) == 0.0


def test_a_bucket_begins_with_the_tokens_of_the_time_as_owner():
    for led_ms, was_stopped, count in (
        (0.0, False, SHARE.start_count),
        (200.0, False, SHARE.start_count + created(200.0)),
        (200.0, True, created(200.0)),
        (60_000.0, True, SHARE.capacity_count),
    ):
        owner = ledger.Ledger(BOUNDS, 3, random.Random(1))
        owner.begin(
            TEAM, LIMIT, 0.0, None, led_ms=led_ms, was_stopped=was_stopped
        )
        assert tokens(owner) == pytest.approx(count)
