"""Checks of sockets."""

import select


def has_input(sock_fd: int) -> bool:
    """Returns whether a socket has unread bytes, or was closed by its peer."""
    poller = select.poll()
    poller.register(sock_fd, select.POLLIN)
    return bool(poller.poll(0))
