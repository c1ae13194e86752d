"""Who reads the store: one a failure domain, and the next ones by rank."""

from hyssoptack.policy import readership

NAMES = ("g1", "g2", "g3", "g4")


def members(names=NAMES):
    peers = {
        name: readership.Peer(
            instance_id=name, failure_domain="north", address=f"{name}:1"
        )
        for name in names
    }
    ranked = sorted(
        names, key=lambda each: readership.rank("north", each), reverse=True
    )
    made = []
    for name in ranked:
        each = readership.Readership(name, "north")
        each.install(peers)
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
    assert waits[0] == readership.SILENCE_MS
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
    each.install({})
    assert each.most_count == len(NAMES)
