"""The space of index keys, and arithmetic on ranges of it.

Coverage is a measure of key ranges, so all of it is exact integer arithmetic.
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
        """Tells whether a key lies in this range."""
        return self.low <= key < self.high


def key_of(text: str) -> int:
    """Maps any text to its index key.

    Args:
        text: What identifies a record, such as a programme code.

    Returns:
        A key from 0 to KEYSPACE_SIZE_COUNT - 1.
    """
    return xxhash.xxh32_intdigest(text.encode()) % KEYSPACE_SIZE_COUNT


def key_count(ranges: tuple[KeyRange, ...]) -> int:
    """Counts the keys in a tuple of disjoint ranges."""
    return sum(each.high - each.low for each in ranges)


def subtract(
    minuend: KeyRange, taken: tuple[KeyRange, ...]
) -> tuple[KeyRange, ...]:
    """Returns what is left of a range once other ranges are taken out of it.

    Args:
        minuend: The range to reduce.
        taken: Ranges already spoken for; they may touch but not overlap each
            other.

    Returns:
        The remaining disjoint ranges in order, empty ones left out.
    """
    left = []
    low = minuend.low
    for each in sorted(taken):
        if each.high <= low:
            continue
        if each.low >= minuend.high:
            break
        if each.low > low:
            left.append(KeyRange(low, each.low))
        low = max(low, each.high)
    if low < minuend.high:
        left.append(KeyRange(low, minuend.high))
    return tuple(left)


def merge_adjacent(ranges: tuple[KeyRange, ...]) -> tuple[KeyRange, ...]:
    """Returns disjoint ranges in order, with those that touch made one."""
    result: list[KeyRange] = []
    for each in sorted(ranges):
        if result and result[-1].high == each.low:
            result[-1] = KeyRange(result[-1].low, each.high)
        else:
            result.append(each)
    return tuple(result)


def coverage_ratio(answered: tuple[KeyRange, ...]) -> float:
    """Returns the share of the whole key space that disjoint ranges hold."""
    return key_count(answered) / KEYSPACE_SIZE_COUNT
