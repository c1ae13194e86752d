"""Instances agree on the owner of a bucket, and few can replace it."""

from hyssoptack.ratelimit import ownership

INSTANCES = [f"i{number}" for number in range(30)]


def test_a_lost_instance_moves_only_its_own_teams():
    names = [f"team-{number}" for number in range(200)]
    before = {each: ownership.ranking(each, INSTANCES) for each in names}
    after = {each: ownership.ranking(each, INSTANCES[1:]) for each in names}
    for each in names:
        kept = [name for name in before[each] if name != "i0"]
        assert after[each] == kept
    assert len({ranked[0] for ranked in before.values()}) > 20


def test_a_sender_that_is_not_listed_yet_can_be_ranked():
    ranked = ownership.ranking("atlas", INSTANCES)
    assert ownership.ranks_above("atlas", ranked[0], ranked[1])
    assert not ownership.ranks_above("atlas", ranked[1], ranked[0])


def test_slow_instances_are_not_replaced_one_after_the_other():
    # The third, and then each further instance, owned a bucket of the team.
    candidates = ("first", "second", "third")
    assert ownership.replaced_ids(candidates, "second", ("first",)) == (
        "first",
    )
    assert not ownership.replaced_ids(candidates, "third", ("first",))
    assert not ownership.replaced_ids(candidates, "first", ())
    assert not ownership.replaced_ids(candidates, "other", ("first",))


def test_an_instance_asks_all_that_it_may_replace():
    candidates = ("first", "second", "third")
    assert ownership.replaced_ids(
        candidates, "third", ("second", "first", "gone")
    ) == ("first", "second")


def test_candidates_follow_the_list_of_instances():
    candidates = ownership.OwnerCandidates()
    assert candidates.set_instances(INSTANCES)
    first = candidates.of("atlas")[0]
    assert not candidates.set_instances(reversed(INSTANCES))
    assert candidates.set_instances(set(INSTANCES) - {first})
    assert candidates.of("atlas")[0] != first


def test_many_teams_do_not_take_more_and_more_memory():
    candidates = ownership.OwnerCandidates()
    candidates.set_instances(INSTANCES[:3])
    for number in range(ownership.CACHED_TEAM_LIMIT_COUNT + 100):
        candidates.of(f"team-{number}")
    assert len(candidates._by_team) == ownership.CACHED_TEAM_LIMIT_COUNT
