"""The space of index keys and arithmetic on key ranges.

Coverage is computed from key ranges in exact integer arithmetic.
"""

import dataclasses

import xxhash

KEYSPACE_SIZE_COUNT = 65_536


@dataclasses.dataclass(frozen=True, order=True)
class KeyRange:
    """A half-open range of index keys.

    Attributes:
        low: The first key in the range.
        high: The first key after the range.
    """

    low: int
    high: int

    def contains(self, key: int) -> bool:
        """Returns whether a key lies in this range."""
        return self.low <= key < self.high


def key_of(text: str) -> int:
    """Returns the index key of a text.

    Args:
        text: Identifier of a record, such as a programme code.

    Returns:
        A key from 0 to KEYSPACE_SIZE_COUNT - 1.
    """
    return xxhash.xxh32_intdigest(text.encode()) % KEYSPACE_SIZE_COUNT


def key_count(ranges: tuple[KeyRange, ...]) -> int:
    """Returns the number of keys in disjoint ranges."""
    return sum(each.high - each.low for each in ranges)


def subtract(
    minuend: KeyRange, excluded: tuple[KeyRange, ...]
) -> tuple[KeyRange, ...]:
    """Returns the parts of a range that other ranges do not cover.

    Args:
        minuend: The range to reduce.
        excluded: Ranges to subtract; they may be adjacent but must not overlap
            each other.

    Returns:
        The rest as disjoint, non-empty ranges in order.
    """
    remaining = []
    low = minuend.low
    for each in sorted(excluded):
        if each.high <= low:
            continue
        if each.low >= minuend.high:
            break
        if each.low > low:
            remaining.append(KeyRange(low, each.low))
        low = max(low, each.high)
    if low < minuend.high:
        remaining.append(KeyRange(low, minuend.high))
    return tuple(remaining)


def merge_adjacent(ranges: tuple[KeyRange, ...]) -> tuple[KeyRange, ...]:
    """Returns disjoint ranges in order, with adjacent ranges merged."""
    result: list[KeyRange] = []
    for each in sorted(ranges):
        if result and result[-1].high == each.low:
            result[-1] = KeyRange(result[-1].low, each.high)
        else:
            result.append(each)
    return tuple(result)


def coverage_ratio(answered: tuple[KeyRange, ...]) -> float:
    """Returns the ratio of the key space that disjoint ranges cover."""
    return key_count(answered) / KEYSPACE_SIZE_COUNT
