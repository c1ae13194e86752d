"""Exchanges of queries that neighbours have delegated to this instance."""

import collections.abc
import dataclasses

from hyssoptack.http1 import message


@dataclasses.dataclass(kw_only=True)
class PeerExchange:
    """The exchange of a query that a neighbour has delegated.

    Attributes:
        request: The request as the neighbour's caller sent it.
        send_reply: Sends the answer to the neighbour.
        on_abandoned: Called when the neighbour cancels the query.
        on_commit: Called on confirmation that the query is not taken back.
    """

    request: message.Request
    send_reply: collections.abc.Callable[[message.Reply], None]
    on_abandoned: collections.abc.Callable[[], None] | None = None
    on_commit: collections.abc.Callable[[], None] | None = None

    def answer(self, reply: message.Reply) -> None:
        """Sends the answer to the neighbour and clears the callbacks."""
        self.on_abandoned = self.on_commit = None
        self.send_reply(reply)
