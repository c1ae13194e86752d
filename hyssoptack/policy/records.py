"""Merges the records of several shards into one ordered list."""

import heapq

RECORD_BYTES = 16


def greatest(bodies: tuple[bytes, ...], top_count: int) -> bytes:
    """Returns the greatest records of all bodies, greatest first.

    Args:
        bodies: Records of `RECORD_BYTES` each, in any order; a shorter rest at
            the end of a body is no record.
        top_count: How many to return at most.

    Returns:
        The records, joined. Equal records all count.
    """
    records = [
        body[start : start + RECORD_BYTES]
        for body in bodies
        for start in range(0, len(body) - RECORD_BYTES + 1, RECORD_BYTES)
    ]
    return b"".join(heapq.nlargest(top_count, records))
