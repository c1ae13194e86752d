"""Listening sockets for callers, readiness checks and metrics."""

import asyncio
import socket

from hyssoptack.core import clock
from hyssoptack.gateway import earlyport
from hyssoptack.gateway import replicatedview
from hyssoptack.http1 import httpserver

INITIAL_VIEW_WAIT_MS = 100.0
"""Maximum time after the start that callers wait for the first configuration
and upstream list. Both arrive within 20 ms if the store answers. A refusal
during that time would use up the caller's only retry."""

INITIAL_VIEW_CHECK_S = 0.005
"""Interval of checks for the first configuration and upstream list."""


class Listeners:
    """The listening servers of one gateway."""

    def __init__(self) -> None:
        self._servers: list[asyncio.Server] = []

    async def listen(self, address: str, server: httpserver.Server) -> None:
        """Opens a port and accepts connections.

        Raises:
            OSError: The address can't be bound.
        """
        await self._accept(earlyport.listening_socket(address), server)

    async def accept_callers(
        self,
        port: socket.socket,
        server: httpserver.Server,
        view: replicatedview.ReplicatedView,
    ) -> None:
        """Accepts callers once the view is complete or the wait has expired.

        If the store is down, callers are accepted after the wait and refused.

        Args:
            port: The listening socket for callers.
            server: The HTTP server for callers.
            view: The instance's view of configuration and upstreams.
        """
        wait_until_ms = clock.now_ms() + INITIAL_VIEW_WAIT_MS
        while not view.is_complete and clock.now_ms() < wait_until_ms:
            await asyncio.sleep(INITIAL_VIEW_CHECK_S)
        await self._accept(port, server)

    async def _accept(
        self, port: socket.socket, server: httpserver.Server
    ) -> None:
        loop = asyncio.get_running_loop()
        opened = await loop.create_server(
            server.new_connection, sock=port, backlog=earlyport.BACKLOG_COUNT
        )
        self._servers.append(opened)

    def close(self) -> None:
        """Closes all listening sockets."""
        for each in self._servers:
            each.close()
