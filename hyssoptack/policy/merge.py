"""Merges upstream answers of one version into one answer, with exact coverage.

A key range counts once however many upstreams answered it: later answers give
only what is still missing, and only hits whose key lies in the part that was
taken.
"""

import bisect
import heapq

from hyssoptack.core import keyspace
from hyssoptack.core import message
from hyssoptack.core import query


class AnswerMerger:
    """The answers of one query at one index version."""

    def __init__(self, index_version: int, limit_count: int):
        self.index_version = index_version
        self._limit_count = limit_count
        self._ranges: list[keyspace.KeyRange] = []
        self._covered_count = 0
        self._hits: list[query.Hit] = []

    def add(self, reply: message.UpstreamReply) -> bool:
        """Takes an answer.

        Returns:
            False when it is of another version or names no range; nothing is
            taken then.
        """
        if reply.index_version != self.index_version or reply.key_range is None:
            return False
        fresh = keyspace.subtract(reply.key_range, self._near(reply.key_range))
        if not fresh:
            return True
        for part in fresh:
            bisect.insort(self._ranges, part)
        self._covered_count += keyspace.key_count(fresh)
        if fresh == (reply.key_range,):
            inside = reply.key_range
            self._hits.extend(
                hit for hit in reply.hits if inside.contains(hit.key)
            )
        else:
            self._hits.extend(
                hit
                for hit in reply.hits
                if any(part.contains(hit.key) for part in fresh)
            )
        return True

    def _near(self, wanted: keyspace.KeyRange) -> tuple[keyspace.KeyRange, ...]:
        """Returns the ranges answered so far that may overlap a range."""
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
        """Returns the ranges of the key space that nothing has answered yet."""
        whole = keyspace.KeyRange(0, keyspace.KEYSPACE_SIZE_COUNT)
        return keyspace.subtract(whole, tuple(self._ranges))

    def coverage_ratio(self) -> float:
        """Returns the share of the key space answered so far."""
        return self._covered_count / keyspace.KEYSPACE_SIZE_COUNT

    def best_hits(self) -> tuple[query.Hit, ...]:
        """Returns the best hits in order of score, then key."""
        return tuple(
            heapq.nsmallest(
                self._limit_count,
                self._hits,
                key=lambda hit: (-hit.score, hit.key, hit.title),
            )
        )
