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
def test_subtract_returns_exactly_the_keys_not_excluded(minuend, raw):
    excluded = []
    for each in raw:
        excluded.extend(keyspace.subtract(each, tuple(excluded)))
    remaining = keyspace.subtract(minuend, tuple(excluded))
    for key in range(301):
        expected = minuend.contains(key) and not any(
            each.contains(key) for each in excluded
        )
        assert expected == any(each.contains(key) for each in remaining)


def test_coverage_of_the_whole_space_is_one():
    whole = keyspace.KeyRange(0, keyspace.KEYSPACE_SIZE_COUNT)
    assert keyspace.coverage_ratio((whole,)) == 1.0
