"""Opens the callers' port before the rest of the process is loaded.

A small machine takes 0.4 to 0.8 s from power-on to its first log line, most of
it for imports. Without an open port, callers that connect in this time would be
refused, and their only retry as well, within a few milliseconds. With an open
port they wait: a caller gives an instance a third of its time, 85 to 500 ms, to
read its request.

This module imports only small standard modules. It reports no errors in the
settings: the daemon checks them when it loads the file.
"""

import json
import socket

BACKLOG_COUNT = 1_024
"""Length of the listen queue: enough for a burst of all callers at once."""


def open_callers_port(path: str) -> socket.socket | None:
    """Opens the callers' port of a settings file.

    Args:
        path: Path of the settings file, which is JSON.

    Returns:
        The listening socket; None if the file can't be read or its address
        can't be listened on.
    """
    try:
        with open(path, "rb") as file:
            return listening_socket(json.load(file)["callers_address"])
    except (OSError, ValueError, TypeError, KeyError, AttributeError):
        # The daemon reads the file again and reports the error.
        return None


def listening_socket(address: str) -> socket.socket:
    """Returns a socket that listens on HOST:PORT and accepts nothing yet.

    Raises:
        OSError: The address can't be listened on.
        ValueError: The address has no valid port.
    """
    host, _, port = address.rpartition(":")
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, int(port)))
    listener.listen(BACKLOG_COUNT)
    listener.setblocking(False)
    return listener
