"""Merges the records of several shards into one ordered list."""

import heapq

RECORD_BYTES = 16
"""Length of a record in bytes."""


def merge_greatest(bodies: tuple[bytes, ...], top_count: int) -> bytes:
    """Returns the greatest records of all bodies, greatest first.

    Args:
        bodies: Records of `RECORD_BYTES` each, in any order. A shorter
            remainder at the end of a body is ignored.
        top_count: Largest number of records to return.

    Returns:
        The records, concatenated. Duplicates are kept.
    """
    records = [
        body[start : start + RECORD_BYTES]
        for body in bodies
        for start in range(0, len(body) - RECORD_BYTES + 1, RECORD_BYTES)
    ]
    return b"".join(heapq.nlargest(top_count, records))
