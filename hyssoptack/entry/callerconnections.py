"""Connections of callers, and the timeouts that apply to them.

The HTTP library closes connections by the wall clock, whether or not a request
waits in them. A caller whose request is lost that way can't know whether it
was executed.
"""

import collections.abc
import socket

from cheroot import connections
from cheroot import makefile
from cheroot import server as cheroot_server
from cheroot import wsgi

from hyssoptack.core import clock
from hyssoptack.core import sockets
from hyssoptack.core import stops
from hyssoptack.core import timeouts
from hyssoptack.events import log

CHECK_PERIOD_MS = 100.0
"""Interval between checks for idle connections."""

# A check may come up to a period late: it follows the handling of requests.
_GAP_LIMIT_MS = 2 * CHECK_PERIOD_MS + timeouts.STOP_MIN_MS


class CallerConnections(connections.ConnectionManager):
    """Connections on which no request is in progress.

    One that is idle for longer than the server's timeout is closed, unless a
    request waits in it. Runs on the library's thread that selects readable
    connections; other threads only hand connections back.
    """

    def __init__(self, server: cheroot_server.HTTPServer):
        super().__init__(server)
        self._stops = stops.StopDetector(_GAP_LIMIT_MS, clock.now_ms())

    def put(self, conn: cheroot_server.HTTPConnection) -> None:
        """Takes a connection back after the response to its last request."""
        conn.idle_since_ms = clock.now_ms()
        super().put(conn)

    def _expire(self, threshold: float) -> None:
        """Closes idle connections; ignores the library's wall clock time."""
        now_ms = clock.now_ms()
        self._stops.check(now_ms)
        timeout_ms = self.server.timeout * timeouts.MS_PER_S
        for sock_fd, conn in list(self._selector.connections):
            if conn is self.server or sockets.has_input(sock_fd):
                continue
            idle_ms = self._stops.elapsed_ms(conn.idle_since_ms, now_ms)
            if idle_ms <= timeout_ms:
                continue
            self._selector.unregister(sock_fd)
            log.write(
                log.Event.CALLER_CONNECTION_CLOSED,
                caller=f"{conn.remote_addr}:{conn.remote_port}",
                idle_ms=round(idle_ms),
            )
            conn.close()


class CallerSocket(socket.socket):
    """A socket whose reads wait anew after a timeout that fell into a stop."""

    def recv_into(self, *args, **kwargs) -> int:
        """Reads as `socket.recv_into`.

        Raises:
            TimeoutError: The caller sent nothing for the timeout, in which this
                process was running.
        """
        started_ms = clock.now_ms()
        try:
            return super().recv_into(*args, **kwargs)
        except TimeoutError:
            late_ms = (
                clock.now_ms()
                - started_ms
                - self.gettimeout() * timeouts.MS_PER_S
            )
            if late_ms < timeouts.STOP_MIN_MS:
                raise
        return super().recv_into(*args, **kwargs)


class CallerConnection(cheroot_server.HTTPConnection):
    """A connection that is read through a `CallerSocket`."""

    def __init__(
        self,
        server: cheroot_server.HTTPServer,
        sock: socket.socket,
        new_file: collections.abc.Callable = makefile.MakeFile,
    ):
        timeout_s = sock.gettimeout()
        caller_socket = CallerSocket(fileno=sock.detach())
        caller_socket.settimeout(timeout_s)
        super().__init__(server, caller_socket, new_file)


class CallerHTTPServer(wsgi.Server):
    """The library's server with the timeouts of this module."""

    ConnectionClass = CallerConnection
    expiration_interval = CHECK_PERIOD_MS / timeouts.MS_PER_S

    def prepare(self) -> None:
        """Binds the port and starts the threads."""
        super().prepare()
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        # The library has no parameter for the connection manager.
        self._connections.close()
        self._connections = CallerConnections(self)
