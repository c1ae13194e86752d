"""The time as owner counts only while nobody else can have been the owner."""

import pytest

from hyssoptack.core import member
from hyssoptack.gateway import ownerranking
from hyssoptack.ratelimit import ownership

TEAM = "team"
BEST, OWN, WORST = ownership.ranking(TEAM, ["a", "b", "c"])
SETTLED_MS = ownerranking.JOIN_WINDOW_MS


def peer(name):
    return member.Peer(
        instance_id=name, failure_domain="north", address=f"{name}:1"
    )


def peers(*names):
    return tuple(map(peer, names))


@pytest.fixture
def ranking():
    found = ownerranking.OwnerRanking(peer(OWN))
    found.set_neighbours(peers(BEST, WORST), 1_000.0)
    return found


def lead_ms(ranking, now_ms):
    return ranking.lead(TEAM, now_ms).lead_ms


def test_a_removed_first_instance_may_have_created_tokens_until_then(ranking):
    ranking.set_neighbours(peers(WORST), 40_000.0)
    assert lead_ms(ranking, 40_500.0) == 500.0


def test_a_lost_first_instance_may_have_created_tokens_until_then(ranking):
    ranking.record_lost(f"{BEST}:1", 40_000.0)
    assert lead_ms(ranking, 40_500.0) == 500.0


def test_a_removed_lower_instance_does_not_matter():
    # A change of the list for one team must not empty the buckets of others.
    ranking = ownerranking.OwnerRanking(peer(BEST))
    ranking.set_neighbours(peers(OWN, WORST), 1_000.0)
    ranking.set_neighbours(peers(OWN), 40_000.0)
    assert lead_ms(ranking, 40_500.0) == 39_500.0


def test_a_removed_lower_instance_may_have_led_before_the_others_knew():
    ranking = ownerranking.OwnerRanking(peer(BEST))
    ranking.set_neighbours(peers(OWN, WORST), 1_000.0)
    ranking.set_neighbours(peers(WORST), 5_000.0)
    assert lead_ms(ranking, 5_500.0) == 500.0


def test_a_stop_ends_the_time_and_leaves_no_start_bucket(ranking):
    ranking.set_neighbours(peers(WORST), 30_000.0)
    ranking.record_stop(40_000.0)
    lead = ranking.lead(TEAM, 40_500.0)
    assert lead == ownerranking.Lead(lead_ms=500.0, was_stopped=True)
    ranking.set_neighbours(peers(BEST, WORST), 41_000.0)
    ranking.set_neighbours(peers(WORST), 42_000.0)
    lead = ranking.lead(TEAM, 42_500.0)
    assert lead == ownerranking.Lead(lead_ms=500.0, was_stopped=False)


def test_removals_that_are_forgotten_count_for_all_teams(ranking):
    ranking.set_neighbours(peers(WORST), 30_000.0)
    for number in range(ownerranking.REMOVAL_LIMIT_COUNT):
        now_ms = 40_000.0 + 10.0 * number
        ranking.set_neighbours(peers(WORST, f"x{number}"), now_ms)
        ranking.set_neighbours(peers(WORST), now_ms + 5.0)
    assert lead_ms(ranking, 50_000.0) <= 20_000.0


def test_without_a_list_there_is_no_time():
    assert lead_ms(ownerranking.OwnerRanking(peer(OWN)), 9_000.0) == 0.0
