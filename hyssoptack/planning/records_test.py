"""Tests the merge of records against a naive implementation."""

import hypothesis
import hypothesis.strategies

from hyssoptack.planning import records

_bodies = hypothesis.strategies.lists(
    hypothesis.strategies.binary(max_size=70), max_size=5
)


@hypothesis.given(_bodies, hypothesis.strategies.integers(1, 9))
def test_the_greatest_records_come_first(bodies, top_count):
    whole_records = [
        body[start : start + 16]
        for body in bodies
        for start in range(0, len(body), 16)
        if len(body[start : start + 16]) == 16
    ]
    expected = b"".join(sorted(whole_records, reverse=True)[:top_count])
    assert records.merge_greatest(tuple(bodies), top_count) == expected


def test_duplicate_records_are_kept():
    assert records.merge_greatest((b"a" * 16, b"a" * 16), 5) == b"a" * 32
