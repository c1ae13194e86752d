"""Allocation of loopback ports for stand-ins and processes under test."""

import fcntl
import os
import pathlib
import random
import socket
import tempfile

PORT_RANGE = (10_000, 19_000)
"""Range below the ephemeral ports of the system (32768 and up). The ports of
`bench.fleet` are outside this range."""

BLOCK_COUNT = 100
"""Number of ports in a block. A process draws ports from blocks that it has
locked, so that test runs at the same time don't draw each other's ports."""

_LOCKS = pathlib.Path(tempfile.gettempdir()) / "hyssoptack-ports"

_ALLOCATED: set[int] = set()
"""Allocated ports. A port without a listener yet would look free."""

_BLOCKS: dict[int, int] = {}
"""First ports of the locked blocks, with the descriptors that lock them."""


def free_port() -> int:
    """Returns a free port that the system does not give to client sockets.

    An ephemeral port may be taken by an outgoing connection before the process
    under test listens on it.
    """
    while True:
        port = _draw()
        if port in _ALLOCATED:
            continue
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                # The port is in use.
                continue
        _ALLOCATED.add(port)
        return port


def _draw() -> int:
    """Returns a random port of a block that is at most half allocated."""
    first = next(reversed(_BLOCKS), None)
    if first is None or _allocated_count(first) > BLOCK_COUNT // 2:
        first = _lock_block()
    if first is None:
        # All blocks are locked, most likely by other processes.
        return random.randrange(*PORT_RANGE)
    return random.randrange(first, first + BLOCK_COUNT)


def _allocated_count(first: int) -> int:
    """Returns the number of allocated ports in a block."""
    return sum(first <= each < first + BLOCK_COUNT for each in _ALLOCATED)


def _lock_block() -> int | None:
    """Locks another block of ports until the process ends.

    Returns:
        The first port of the block; None if none is left.
    """
    _LOCKS.mkdir(exist_ok=True)
    firsts = [*range(*PORT_RANGE, BLOCK_COUNT)]
    for first in random.sample(firsts, len(firsts)):
        if first in _BLOCKS:
            continue
        lock = os.open(_LOCKS / str(first), os.O_CREAT | os.O_RDWR, 0o666)
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(lock)
            continue
        _BLOCKS[first] = lock
        return first
    return None
