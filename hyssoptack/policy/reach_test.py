"""A cut is told from slow, silent and failing upstreams."""

import pytest

from hyssoptack.policy import reach


def tally(near=(10, 10), far=(8, 0)):
    return reach.Tally(
        near_sent_count=near[0],
        near_answered_count=near[1],
        far_sent_count=far[0],
        far_answered_count=far[1],
    )


def test_silence_in_queries_and_probes_together_show_a_cut():
    known = reach.Reach()
    known.note_query(tally(), 200.0)
    assert known.view is reach.View.DOUBTED
    assert not known.cut
    known.note_probe(False)
    assert known.cut
    known.note_probe(False)
    assert known.cut
    known.note_probe(True)
    assert known.view is reach.View.WELL


@pytest.mark.parametrize(
    ("seen", "waited_ms"),
    [
        (tally(far=(8, 1)), 200.0),
        (tally(far=(3, 0)), 200.0),
        (tally(near=(10, 4)), 200.0),
        (tally(near=(0, 0)), 200.0),
        (tally(), 5.0),
    ],
)
def test_other_troubles_raise_no_doubt(seen, waited_ms):
    known = reach.Reach()
    known.note_query(seen, waited_ms)
    assert known.view is reach.View.WELL


def test_a_probe_alone_shows_no_cut():
    known = reach.Reach()
    known.note_probe(False)
    assert known.view is reach.View.WELL


def test_one_answer_from_afar_ends_a_cut():
    known = reach.Reach()
    known.note_query(tally(), 200.0)
    known.note_probe(False)
    known.note_query(tally(far=(1, 1)), 10.0)
    assert not known.cut


def test_a_neighbours_word_raises_a_doubt_that_a_probe_settles():
    known = reach.Reach()
    known.note_told()
    assert not known.cut
    known.note_probe(True)
    assert known.view is reach.View.WELL
    known.note_told()
    known.note_probe(False)
    known.note_told()
    assert known.cut
