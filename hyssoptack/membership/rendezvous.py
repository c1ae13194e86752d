"""Ranks instances for a name by rendezvous hashing; the highest own it."""

import xxhash


def rank(name: str, instance_id: str) -> int:
    """Returns an instance's rank for a name."""
    return xxhash.xxh64_intdigest(f"{name}|{instance_id}".encode())
