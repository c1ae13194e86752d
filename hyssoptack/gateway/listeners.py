"""The ports of one gateway: for callers, the balancer, and readings."""

import asyncio
import socket

from hyssoptack.core import clock
from hyssoptack.gateway import earlyport
from hyssoptack.gateway import replicatedview
from hyssoptack.http1 import httpserver

FIRST_VIEWS_WAIT_MS = 100.0
"""Longest that callers wait for the first configuration and list after the
start: both are there after 20 ms where the store answers. A refusal meanwhile
would cost a caller its only other try."""

FIRST_VIEWS_CHECK_S = 0.005


class Listeners:
    """The servers that listen."""

    def __init__(self) -> None:
        self._servers: list[asyncio.Server] = []

    async def listen(self, address: str, server: httpserver.Server) -> None:
        """Opens a port and accepts what comes.

        Raises:
            OSError: The address can't be listened on.
        """
        await self._accept(earlyport.listening_socket(address), server)

    async def accept_callers(
        self,
        port: socket.socket,
        server: httpserver.Server,
        view: replicatedview.ReplicatedView,
    ) -> None:
        """Accepts callers once there is something to serve them from.

        A store that is down does not keep them waiting: they are refused then.

        Args:
            port: The callers' port, open already.
            server: What serves them.
            believed: What they are served from.
        """
        limit_ms = clock.now_ms() + FIRST_VIEWS_WAIT_MS
        while not view.is_complete and clock.now_ms() < limit_ms:
            await asyncio.sleep(FIRST_VIEWS_CHECK_S)
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
        """Accepts nothing any more."""
        for each in self._servers:
            each.close()
