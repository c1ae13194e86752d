"""Merges upstream answers of one index version and counts exact coverage.

A key range counts once, even if several upstreams answered for it: a later
answer adds only the ranges that are still missing, and only the hits whose key
lies in those ranges.
"""

import bisect
import heapq

from hyssoptack.core import keyspace
from hyssoptack.core import message
from hyssoptack.core import query


class AnswerMerger:
    """Collects the upstream answers of one query at one index version."""

    def __init__(self, index_version: int, limit_count: int):
        self.index_version = index_version
        self._limit_count = limit_count
        self._ranges: list[keyspace.KeyRange] = []
        self._covered_count = 0
        self._hits: list[query.Hit] = []

    def add(self, reply: message.UpstreamReply) -> bool:
        """Adds an answer's missing ranges and their hits.

        Returns:
            False if the answer has another index version or no key range; it
            is then ignored.
        """
        if reply.index_version != self.index_version or reply.key_range is None:
            return False
        added_ranges = keyspace.subtract(
            reply.key_range, self._ranges_near(reply.key_range)
        )
        if not added_ranges:
            return True
        for part in added_ranges:
            bisect.insort(self._ranges, part)
        self._covered_count += keyspace.key_count(added_ranges)
        if added_ranges == (reply.key_range,):
            key_range = reply.key_range
            self._hits.extend(
                hit for hit in reply.hits if key_range.contains(hit.key)
            )
        else:
            self._hits.extend(
                hit
                for hit in reply.hits
                if any(part.contains(hit.key) for part in added_ranges)
            )
        return True

    def _ranges_near(
        self, wanted: keyspace.KeyRange
    ) -> tuple[keyspace.KeyRange, ...]:
        """Returns the answered ranges that may overlap a range."""
        first = bisect.bisect_left(self._ranges, wanted)
        if first and self._ranges[first - 1].high > wanted.low:
            first -= 1
        last = bisect.bisect_left(
            self._ranges, keyspace.KeyRange(wanted.high, wanted.high)
        )
        return tuple(self._ranges[first:last])

    def covered_ranges(self) -> tuple[keyspace.KeyRange, ...]:
        """Returns the disjoint ranges answered so far, in order."""
        return tuple(self._ranges)

    def missing_ranges(self) -> tuple[keyspace.KeyRange, ...]:
        """Returns the ranges of the key space that are not answered yet."""
        whole = keyspace.KeyRange(0, keyspace.KEYSPACE_SIZE_COUNT)
        return keyspace.subtract(whole, tuple(self._ranges))

    def coverage_ratio(self) -> float:
        """Returns the share of the key space answered so far."""
        return self._covered_count / keyspace.KEYSPACE_SIZE_COUNT

    def best_hits(self) -> tuple[query.Hit, ...]:
        """Returns the best hits by falling score, then by key and title."""
        return tuple(
            heapq.nsmallest(
                self._limit_count,
                self._hits,
                key=lambda hit: (-hit.score, hit.key, hit.title),
            )
        )
