"""Opens the callers' port before the rest of the process is loaded.

A small machine takes 0.4 to 0.8 s from power to its first line of log, most of
it imports. Callers that connect meanwhile would be refused, and their only try
again as well, within some milliseconds. A port that is open lets them wait: a
caller gives an instance a third of its time, 85 to 500 ms, to read its request.

Imports next to nothing itself. Whatever is wrong with the settings is left for
their check to say.
"""

import json
import socket

BACKLOG_COUNT = 1_024
"""Connections that may wait to be accepted: a burst of all callers at once."""


def open_callers_port(path: str) -> socket.socket | None:
    """Opens the callers' port of a settings file.

    Args:
        path: The file, as JSON.

    Returns:
        The listening socket; None where the file or its address won't do.
    """
    try:
        with open(path, "rb") as file:
            return listening_socket(json.load(file)["callers_address"])
    except (OSError, ValueError, TypeError, KeyError, AttributeError):
        # The daemon reads the file again, and says what is wrong.
        return None


def listening_socket(address: str) -> socket.socket:
    """Returns a socket that listens on HOST:PORT and accepts nothing yet.

    Raises:
        OSError: The address can't be listened on.
        ValueError: It is no address.
    """
    host, _, port = address.rpartition(":")
    made = socket.socket()
    made.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    made.bind((host, int(port)))
    made.listen(BACKLOG_COUNT)
    made.setblocking(False)
    return made
