"""A cut is told from slow, silent, refusing and failing upstreams."""

import pytest

from hyssoptack.policy import reach

DARK = reach.Look(far_alive=False, store_alive=False)
LIFE = reach.Look(far_alive=True, store_alive=False)


def doubted():
    known = reach.Reach()
    known.note_waited(reach.Tally(sent_count=8), 200.0)
    assert known.view is reach.View.DOUBTED
    return known


def test_silence_in_queries_and_looks_together_show_a_cut():
    known = doubted()
    known.note_look(DARK, 1.0)
    assert not known.cut
    known.note_look(DARK, 2.0)
    assert known.cut
    assert known.cut_since_ms == 2.0
    known.note_look(DARK, 3.0)
    assert known.cut_since_ms == 2.0
    known.note_look(LIFE, 4.0)
    assert known.view is reach.View.WELL


def test_refused_calls_in_a_row_raise_a_doubt():
    # A cut by resets: every query ended within 6 ms, and no doubt ever came up.
    known = reach.Reach()
    for _ in range(reach.FAR_MIN_COUNT):
        assert known.view is reach.View.WELL
        known.note_lost()
    assert known.view is reach.View.DOUBTED


def test_a_sign_of_life_between_refused_calls_leaves_no_doubt():
    known = reach.Reach()
    for _ in range(reach.FAR_MIN_COUNT):
        known.note_lost()
        known.note_alive()
    assert known.view is reach.View.WELL


@pytest.mark.parametrize(
    ("seen", "waited_ms"),
    [
        (reach.Tally(sent_count=8, alive_count=1), 200.0),
        (reach.Tally(sent_count=3), 200.0),
        (reach.Tally(sent_count=8), 5.0),
    ],
)
def test_other_troubles_raise_no_doubt(seen, waited_ms):
    known = reach.Reach()
    known.note_waited(seen, waited_ms)
    assert known.view is reach.View.WELL


def test_looks_alone_show_no_cut():
    known = reach.Reach()
    for _ in range(3):
        known.note_look(DARK, 1.0)
    assert known.view is reach.View.WELL


def test_one_answer_from_afar_ends_a_cut():
    known = doubted()
    known.note_look(DARK, 1.0)
    known.note_look(DARK, 2.0)
    known.note_alive()
    assert not known.cut


def test_a_doubt_settled_by_life_starts_anew():
    known = doubted()
    known.note_look(DARK, 1.0)
    known.note_look(LIFE, 2.0)
    known.note_waited(reach.Tally(sent_count=8), 200.0)
    known.note_look(DARK, 3.0)
    assert not known.cut


def test_a_neighbours_word_raises_a_doubt_that_a_look_settles():
    known = reach.Reach()
    known.note_told()
    assert not known.found_here
    known.note_look(LIFE, 1.0)
    assert known.view is reach.View.WELL
    known.note_told()
    known.note_look(DARK, 2.0)
    known.note_look(DARK, 3.0)
    assert known.cut


def test_who_still_reaches_the_store_stays_in_rotation():
    # It is the other domains that are lost: callers sent there get nothing.
    known = doubted()
    alone = reach.Look(far_alive=False, store_alive=True)
    known.note_look(alone, 1.0)
    known.note_look(alone, 2.0)
    assert known.cut
    assert not known.leaves_rotation
    known.note_look(DARK, 3.0)
    assert known.leaves_rotation


def test_who_has_an_upstream_for_every_service_stays_in_rotation():
    # Its callers overloaded what was left elsewhere: a window of all callers
    # fell from 0.69 to 0.41.
    known = doubted()
    whole = reach.Look(far_alive=False, store_alive=False, covered=True)
    known.note_look(whole, 1.0)
    known.note_look(whole, 2.0)
    assert known.cut
    assert not known.leaves_rotation
    # The last near upstream of a shard was lost meanwhile.
    known.note_look(DARK, 3.0)
    assert known.leaves_rotation
