"""Tests of arithmetic on key ranges."""

from hypothesis import given
from hypothesis import strategies

from hyssoptack.core import keyspace

_KEYS = strategies.integers(0, 300)


@strategies.composite
def _ranges(draw) -> keyspace.KeyRange:
    low, high = sorted((draw(_KEYS), draw(_KEYS)))
    return keyspace.KeyRange(low, high)


@given(_ranges(), strategies.lists(_ranges(), max_size=8))
def test_subtract_leaves_exactly_the_keys_not_taken(minuend, raw):
    taken = []
    for each in raw:
        taken.extend(keyspace.subtract(each, tuple(taken)))
    left = keyspace.subtract(minuend, tuple(taken))
    for key in range(301):
        expected = minuend.contains(key) and not any(
            each.contains(key) for each in taken
        )
        assert expected == any(each.contains(key) for each in left)


def test_coverage_of_the_whole_space_is_one():
    whole = keyspace.KeyRange(0, keyspace.KEYSPACE_SIZE_COUNT)
    assert keyspace.coverage_ratio((whole,)) == 1.0
