"""Collects tokens from other instances: transfers and handovers."""

import asyncio
import collections.abc
import dataclasses

from hyssoptack.core import clock
from hyssoptack.core import member
from hyssoptack.core import ratelimitmessage
from hyssoptack.gateway import correlationids
from hyssoptack.http1 import message

TIMER_LATE_MS = 3.0
"""Lateness above which a timer was delayed by this process. Replies may already
be queued on the event loop, so they are handled before the time-out."""

Send = collections.abc.Callable[[str, ratelimitmessage.Message], None]
"""Sends a message to the instance at an address."""

TokenMessage = (
    ratelimitmessage.TransferRequest | ratelimitmessage.HandoverRequest
)


class Timeout:
    """A timer that lets the event loop handle replies before it fires."""

    def __init__(
        self, wait_ms: float, function: collections.abc.Callable[[], None]
    ):
        """Starts the timer.

        Args:
            wait_ms: Time until it fires.
            function: Called when it fires.
        """
        self._function = function
        self._due_ms = clock.now_ms() + wait_ms
        self._handle = self._start(wait_ms)

    def _start(self, wait_ms: float) -> asyncio.TimerHandle:
        loop = asyncio.get_running_loop()
        return loop.call_later(wait_ms / message.MS_PER_S, self._on_due)

    def _on_due(self) -> None:
        now_ms = clock.now_ms()
        if now_ms - self._due_ms > TIMER_LATE_MS:
            self._due_ms = now_ms + TIMER_LATE_MS
            self._handle = self._start(TIMER_LATE_MS)
            return
        self._function()

    def cancel(self) -> None:
        """Stops the timer."""
        self._handle.cancel()


@dataclasses.dataclass(kw_only=True)
class Collection:
    """Requests for tokens of one team that have not all been answered.

    Attributes:
        team: Name of the team.
        on_tokens: Called with the sender's id and the count of each reply;
            returns whether the other replies are still needed.
        on_end: Called once, when no further reply is needed or expected. Tokens
            that arrive after that still reach `on_tokens`.
        addresses: Address of each instance that has not answered, by ask id.
        timeout: Ends the collection.
        late_ms: Time after the time-out in which tokens are still accepted.
        has_ended: Whether `on_end` has been called.
    """

    team: str
    on_tokens: collections.abc.Callable[[str, float], bool]
    on_end: collections.abc.Callable[[], None]
    addresses: dict[int, str] = dataclasses.field(default_factory=dict)
    timeout: Timeout | None = None
    late_ms: float = 0.0
    has_ended: bool = False

    def end(self) -> None:
        """Calls `on_end` unless it has been called."""
        if not self.has_ended:
            self.has_ended = True
            self.on_end()


class TokenCollector:
    """Sends requests for tokens and matches the replies to them."""

    def __init__(self, send: Send):
        """Creates a collector.

        Args:
            send: Sends a message to an address.
        """
        self._send = send
        self._ask_ids = correlationids.new_sequence()
        self._pending: dict[int, Collection] = {}

    def collect(
        self,
        peers: collections.abc.Sequence[member.Peer],
        build: collections.abc.Callable[[int], TokenMessage],
        timeout_ms: float,
        collection: Collection,
    ) -> None:
        """Requests tokens from several instances.

        Args:
            peers: The instances.
            build: Returns the request with an ask id.
            timeout_ms: Time after which missing replies are not waited for.
            collection: Receives the replies.
        """
        if not peers:
            collection.end()
            return
        collection.timeout = Timeout(
            timeout_ms, lambda: self._on_timeout(collection)
        )
        for peer in peers:
            ask_id = next(self._ask_ids)
            collection.addresses[ask_id] = peer.address
            self._pending[ask_id] = collection
            self._send(peer.address, build(ask_id))

    def on_reply(self, reply: ratelimitmessage.TokenReply) -> bool:
        """Handles a reply; returns whether it was expected."""
        collection = self._pending.get(reply.ask_id)
        if collection is None or collection.team != reply.team:
            return False
        needs_more = collection.on_tokens(reply.sender_id, reply.token_count)
        self._remove(reply.ask_id, collection)
        if not needs_more:
            collection.end()
        return True

    def on_undelivered(self, ask_id: int) -> None:
        """Handles a request that could not be delivered."""
        collection = self._pending.get(ask_id)
        if collection is not None:
            self._remove(ask_id, collection)

    def on_link_lost(self, address: str) -> None:
        """Handles the loss of the connection to an instance."""
        for ask_id, collection in tuple(self._pending.items()):
            if collection.addresses.get(ask_id) == address:
                self.on_undelivered(ask_id)

    def _remove(self, ask_id: int, collection: Collection) -> None:
        del self._pending[ask_id]
        del collection.addresses[ask_id]
        if not collection.addresses:
            collection.timeout.cancel()
            collection.end()

    def _on_timeout(self, collection: Collection) -> None:
        collection.end()
        if collection.late_ms:
            late_ms, collection.late_ms = collection.late_ms, 0.0
            collection.timeout = Timeout(
                late_ms, lambda: self._on_timeout(collection)
            )
            return
        for ask_id in tuple(collection.addresses):
            self._remove(ask_id, collection)
