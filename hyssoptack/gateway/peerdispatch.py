"""Passes messages of peers to the component that handles them."""

import collections.abc
import dataclasses
import typing

from hyssoptack.core import gatewaymessage
from hyssoptack.gateway import callrelay
from hyssoptack.gateway import gathererservice
from hyssoptack.gateway import quarantinesync
from hyssoptack.gateway import querydelegation
from hyssoptack.gateway import requesthandler

if typing.TYPE_CHECKING:
    from hyssoptack.gateway import ratelimiter


@dataclasses.dataclass(frozen=True, kw_only=True)
class PeerDispatch:
    """The components that handle messages of peers.

    Attributes:
        is_serving: Returns whether the instance accepts work of others.
        request_handler: Serves delegated queries.
        delegator: Handles messages about delegated queries.
        call_relay: Handles the outcomes of relayed calls.
        gatherer_service: Makes calls for others.
        quarantine_sync: Handles records of suspected requests.
        rate_limiter: Handles messages about rate limits; None if the platform
            checks none.
    """

    is_serving: collections.abc.Callable[[], bool]
    request_handler: requesthandler.RequestHandler
    delegator: querydelegation.Delegator
    call_relay: callrelay.CallRelay
    gatherer_service: gathererservice.GathererService
    quarantine_sync: quarantinesync.QuarantineSync
    rate_limiter: "ratelimiter.RateLimiter | None"

    def on_message(self, peer_message: gatewaymessage.Message) -> None:
        """Handles a message of a peer."""
        match peer_message:
            case gatewaymessage.DelegationRequest():
                self.request_handler.serve_delegated(
                    peer_message, self.is_serving()
                )
            case gatewaymessage.RelayRequest():
                self.gatherer_service.accept(peer_message, self.is_serving())
            case gatewaymessage.RelayBatch():
                self.call_relay.on_batch(peer_message)
            case gatewaymessage.RelayCancel():
                self.gatherer_service.on_cancel(peer_message)
            case (
                gatewaymessage.SuspectsNotice()
                | gatewaymessage.SuspectsRequest()
            ):
                self.quarantine_sync.on_message(peer_message)
            case _:
                if not self._is_for_rate_limiter(peer_message):
                    self.delegator.on_message(peer_message)

    def _is_for_rate_limiter(
        self, peer_message: gatewaymessage.Message
    ) -> bool:
        return self.rate_limiter is not None and self.rate_limiter.on_message(
            peer_message
        )

    def on_undelivered(self, peer_message: gatewaymessage.Message) -> None:
        """Handles a message that could not be delivered to a peer."""
        match peer_message:
            case gatewaymessage.RelayRequest():
                self.call_relay.on_undelivered(peer_message)
            case gatewaymessage.DelegationRequest():
                self.delegator.on_undelivered(peer_message)
            case _:
                if self.rate_limiter is not None:
                    self.rate_limiter.on_undelivered(peer_message)

    def on_link_lost(self, address: str) -> None:
        """Handles the loss of the connection to a peer."""
        self.delegator.on_link_lost(address)
        self.call_relay.on_link_lost(address)
        if self.rate_limiter is not None:
            self.rate_limiter.on_link_lost(address)
