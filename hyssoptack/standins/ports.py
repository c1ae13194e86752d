"""Allocation of loopback ports for stand-ins and processes under test."""

import random
import socket

PORT_RANGE = (10_000, 19_000)
"""Range below the ephemeral ports of the system (32768 and up). The ports of
`bench.fleet` are outside this range."""

_ALLOCATED: set[int] = set()
"""Allocated ports. A port without a listener yet would look free."""


def free_port() -> int:
    """Returns a free port that the system does not give to client sockets.

    An ephemeral port may be taken by an outgoing connection before the process
    under test listens on it.
    """
    while True:
        port = random.randrange(*PORT_RANGE)
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
