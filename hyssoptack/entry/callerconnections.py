"""Connections of callers on which no request is in progress."""

import select

from cheroot import connections
from cheroot import server as cheroot_server

from hyssoptack.core import clock
from hyssoptack.events import log


class CallerConnections(connections.ConnectionManager):
    """Logs each connection that the HTTP library closes for idleness.

    Runs on the library's thread that selects readable connections; other
    threads only hand connections back.
    """

    def put(self, conn: cheroot_server.HTTPConnection) -> None:
        """Takes a connection back after the response to its last request."""
        conn.idle_since_ms = clock.now_ms()
        super().put(conn)

    def _expire(self, threshold: float) -> None:
        now_ms = clock.now_ms()
        for sock_fd, conn in list(self._selector.connections):
            if conn is self.server or conn.last_used >= threshold:
                continue
            self._selector.unregister(sock_fd)
            log.write(
                log.Event.CALLER_CONNECTION_CLOSED,
                caller=f"{conn.remote_addr}:{conn.remote_port}",
                idle_ms=round(now_ms - conn.idle_since_ms),
                request_waits=has_input(sock_fd),
            )
            conn.close()


def has_input(sock_fd: int) -> bool:
    """Returns whether a socket has unread bytes, or was closed by its peer."""
    poller = select.poll()
    poller.register(sock_fd, select.POLLIN)
    return bool(poller.poll(0))
