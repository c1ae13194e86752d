"""Who reads the store: one a failure domain, and the next ones by rank."""

import pytest

from hyssoptack.core import member
from hyssoptack.policy import readership

NAMES = ("g1", "g2", "g3", "g4")
PACE = readership.pace(3_000.0)


def members(names=NAMES):
    peers = tuple(
        member.Peer(
            instance_id=name, failure_domain="north", address=f"{name}:1"
        )
        for name in names
    )
    ranked = sorted(
        names, key=lambda each: readership.rank("north", each), reverse=True
    )
    made = []
    for name in ranked:
        each = readership.Readership(name, "north", PACE)
        each.install(peers, len(peers))
        made.append((name, each))
    return made


def test_an_instance_that_hears_nobody_reads_at_once():
    assert all(each.wait_ms(0.0) == 0.0 for _, each in members())


def test_those_who_hear_the_first_wait_and_take_over_by_rank():
    (first, _), *others = members()
    for _, each in others:
        each.heard(first, 1_000.0)
    waits = [each.wait_ms(1_000.0) for _, each in others]
    assert waits == sorted(waits)
    assert waits[0] == pytest.approx(PACE.silence_ms)
    assert waits[-1] < 3_000.0


def test_the_first_is_not_held_up_by_lower_ones():
    (_, first), (second, _), *_ = members()
    first.heard(second, 1_000.0)
    assert first.wait_ms(1_000.0) == 0.0


def test_one_that_fails_to_read_listens_to_anybody():
    (_, first), (second, _), *_ = members()
    first.read(succeeded=False)
    first.heard(second, 1_000.0)
    assert first.wait_ms(1_000.0) > 0.0


def test_shares_go_by_the_most_instances_ever_seen():
    (_, each), *_ = members()
    each.install((), 0)
    assert each.most_count == len(NAMES)


@pytest.mark.parametrize("bound_ms", [3_000.0, 5_000.0])
def test_a_change_is_heeded_in_time_though_its_reader_dies(bound_ms):
    """Every second reading is exact, and the pauses vary by 15 in 100."""
    found = readership.pace(bound_ms)
    last_ms = (
        found.silence_ms
        + readership.SILENCE_STEPS_COUNT * found.silence_step_ms
    )
    assert last_ms < 0.8 * bound_ms
    assert 2 * 1.15 * found.list_period_ms < 0.8 * bound_ms
    assert found.watch_ms < bound_ms


def test_a_bound_out_of_the_usual_gives_a_usual_pace():
    assert readership.pace(1.0) == readership.pace(readership.BOUND_MIN_MS)
    assert readership.pace(1e9) == readership.pace(readership.BOUND_MAX_MS)
