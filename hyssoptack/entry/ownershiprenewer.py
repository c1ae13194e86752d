"""Exchanges the messages by which instances renew ownership after a stop."""

import asyncio
import collections.abc

from hyssoptack.core import clock
from hyssoptack.core import message
from hyssoptack.entry import state
from hyssoptack.relay import relay

MS_PER_S = 1000.0
CALL_CHECK_MS = 20.0
"""Interval of checks whether calls to upstreams of other owners have ended."""

Send = collections.abc.Callable[[str, message.Message], None]
"""Sends a message to an address."""

RequestInstances = collections.abc.Callable[[], None]
"""Has the instance list read at once."""


class OwnershipRenewer:
    """Asks peers to confirm this instance's ownership, and confirms theirs."""

    def __init__(
        self,
        instance_state: state.InstanceState,
        own_relay: relay.Relay,
        send: Send,
        request_instances: RequestInstances,
    ):
        self._state = instance_state
        self._relay = own_relay
        self._send = send
        self._request_instances = request_instances
        self._requested_number = 0
        self._claims: dict[str, message.OwnershipClaim] = {}
        self._confirming: asyncio.Task[None] | None = None

    def advance(self) -> None:
        """Takes the next step of the current renewal, if there is one.

        Has the instance list read once after the stop, and then asks the peers
        that have not confirmed yet.
        """
        current = self._state.renewal
        if current is None or not self._state.is_renewing:
            return
        if current.number != self._requested_number:
            self._requested_number = current.number
            self._request_instances()
        if not current.awaited:
            return
        claim = message.OwnershipClaim(
            sender=self._state.own_member(), number=current.number
        )
        for peer in current.awaited.values():
            self._send(peer.peer_address, claim)

    def on_claim(self, claim: message.OwnershipClaim) -> None:
        """Counts the sender among the owners; confirms it once that is safe."""
        self._state.record_message(claim.sender, clock.now_ms())
        self._claims[claim.sender.incarnation] = claim
        if self._confirming is None:
            self._confirming = asyncio.ensure_future(self._confirm())

    async def _confirm(self) -> None:
        try:
            while self._claims:
                # Gives up the upstreams that the senders own.
                self._state.refresh(self._relay, clock.now_ms())
                owned = self._state.owned_upstream_ids
                if self._relay.called_upstream_ids() <= owned:
                    self._send_confirmations()
                else:
                    await asyncio.sleep(CALL_CHECK_MS / MS_PER_S)
        finally:
            self._confirming = None

    def _send_confirmations(self) -> None:
        claims, self._claims = self._claims, {}
        for claim in claims.values():
            address = self._state.peer_address(claim.sender.instance_id)
            confirmation = message.OwnershipConfirmation(
                sender=self._state.own_member(),
                claimant=claim.sender.incarnation,
                number=claim.number,
            )
            self._send(address or claim.sender.peer_address, confirmation)

    def on_confirmation(
        self, confirmation: message.OwnershipConfirmation
    ) -> None:
        """Records a peer's confirmation; owns upstreams again after the last.

        The last confirmation takes effect at once.
        """
        now_ms = clock.now_ms()
        self._state.record_message(confirmation.sender, now_ms)
        # A predecessor of this process had renewals of the same numbers.
        if confirmation.claimant != self._state.incarnation:
            return
        if self._state.record_confirmation(
            confirmation.number, confirmation.sender.incarnation
        ):
            self._state.refresh(self._relay, now_ms)
