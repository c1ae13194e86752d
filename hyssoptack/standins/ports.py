"""Ports on loopback for stand-ins and for processes under test."""

import random
import socket

PORT_RANGE = (10_000, 19_000)
"""Below the system's own range (32768 and up), and off the fleets' ports."""

_GIVEN: set[int] = set()
"""Ports given out: one that is not listened on yet looks free."""


def free_port() -> int:
    """Returns a port that is free now, and that no client socket will take.

    Ports that the system hands out are also those of outgoing connections: one
    of these may take such a port before a gateway listens there.
    """
    while True:
        port = random.randrange(*PORT_RANGE)
        if port in _GIVEN:
            continue
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                # Somebody listens there.
                continue
        _GIVEN.add(port)
        return port
