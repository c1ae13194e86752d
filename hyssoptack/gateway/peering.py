"""Tells neighbours what was read from the store, and takes what they read."""

import asyncio

import expression
import msgspec
import xxhash

from hyssoptack.core import clock
from hyssoptack.core import message
from hyssoptack.core import traffic
from hyssoptack.events import log
from hyssoptack.gateway import beliefs
from hyssoptack.peers import link
from hyssoptack.platform import wire
from hyssoptack.policy import readership
from hyssoptack.settings import gateway

LINK_IDLE_MS = 60_000.0
"""A link without a message is closed after this: readers change seldom."""

REPEAT_COUNT = 8
"""Every so many notices the list is sent again unasked, for those who missed
it: some 10 s, in which they read for themselves."""

SLOW_PERIOD_S = 0.5
"""How often slow upstreams are told of. With 26 instances in a failure domain
each sees an upstream too seldom to learn of it alone while it is slow (5 to
10 s); 25 messages in this time cost it about 7 ms of processor a second."""

_ENCODER = msgspec.msgpack.Encoder()


class Peering:
    """The links of one instance, and the views that travel over them."""

    def __init__(
        self,
        settings: gateway.GatewaySettings,
        believed: beliefs.Beliefs,
        readers: readership.Readership,
    ):
        self._settings = settings
        self._beliefs = believed
        self.readers = readers
        self._told: dict[str, tuple[int, int]] = {}
        self._notice_count = 0
        self._configuration = b""
        self._links: link.Links | None = None

    def start(self) -> None:
        """Opens the port for peers."""
        if not self._settings.peer_address:
            return
        self._links = link.Links(
            self._settings.peer_address,
            LINK_IDLE_MS,
            asyncio.get_running_loop(),
            self._on_received,
            self._on_undelivered,
        )
        self._links.start()

    def stop(self) -> None:
        """Closes the port and all links."""
        if self._links is not None:
            self._links.stop()

    def keep_configuration(self, data: bytes) -> None:
        """Keeps the configuration in force as it is stored, for neighbours."""
        self._configuration = data

    def tell(self) -> None:
        """Sends the own views to all neighbours."""
        if self._links is None:
            return
        upstreams = tuple(self._beliefs.upstreams.values())
        digest = digest_of(upstreams)
        self._notice_count += 1
        if self._notice_count % REPEAT_COUNT == 0:
            self._told.clear()
        for peer in self.readers.neighbours():
            known = self._told.get(peer.address, (0, 0))
            notice = message.ViewNotice(
                sender_id=self._settings.instance_id,
                version=self._beliefs.version,
                configuration=(
                    b""
                    if known[0] == self._beliefs.version
                    else self._configuration
                ),
                revision=self._beliefs.list_revision,
                upstreams=None if known[1] == digest else upstreams,
                digest=digest,
            )
            self._told[peer.address] = (self._beliefs.version, digest)
            self._links.send(peer.address, notice)

    async def tell_slow(self) -> None:
        """Tells neighbours of slow upstreams, for as long as it runs."""
        while True:
            await asyncio.sleep(SLOW_PERIOD_S)
            ratios = self._beliefs.placing.slow(clock.now_ms())
            if not ratios or self._links is None:
                continue
            notice = message.SlowNotice(
                sender_id=self._settings.instance_id, slowness_ratios=ratios
            )
            for peer in self.readers.neighbours():
                self._links.send(peer.address, notice)

    def _on_undelivered(self, address: str, body: message.Message) -> None:
        self._told.pop(address, None)

    def _on_received(self, received: link.Received) -> None:
        for each in received.decoded.messages:
            match each:
                case message.ViewNotice():
                    self._take(each)
                case message.SlowNotice(slowness_ratios=slowness_ratios):
                    now_ms = clock.now_ms()
                    self._beliefs.placing.told(slowness_ratios, now_ms)
        if received.decoded.dropped_count:
            log.write(log.Event.PEER_UNREADABLE, reason=received.decoded.reason)

    def _take(self, notice: message.ViewNotice) -> None:
        if notice.configuration and notice.version > self._beliefs.version:
            self._take_configuration(notice)
        if not self._take_list(notice):
            # The list was missed: only reading will tell.
            return
        if notice.version <= self._beliefs.version:
            self.readers.heard(notice.sender_id, clock.now_ms())

    def _take_configuration(self, notice: message.ViewNotice) -> None:
        match wire.configuration(notice.configuration):
            case expression.Result(tag="ok", ok=offered):
                source = f"peer {notice.sender_id}"
                self.keep_configuration(notice.configuration)
                now_ms = clock.now_ms()
                self._beliefs.take_configuration(offered, source, now_ms)
            case expression.Result(error=detail):
                log.write(log.Event.CONFIG_REFUSED, errors=[detail])

    def _take_list(self, notice: message.ViewNotice) -> bool:
        """Takes the list; tells whether the own one is as new now."""
        if notice.revision < self._beliefs.list_revision:
            return False
        if notice.upstreams is not None:
            listed = {each.upstream_id: each for each in notice.upstreams}
            self._beliefs.take_list(
                listed, notice.revision, clock.now_ms(), relayed=True
            )
            return True
        own = tuple(self._beliefs.upstreams.values())
        if digest_of(own) != notice.digest:
            return False
        self._beliefs.confirm_list(notice.revision, clock.now_ms())
        return True


def digest_of(upstreams: tuple[traffic.Upstream, ...]) -> int:
    """Returns a digest of a list, whatever its order."""
    ordered = sorted(upstreams, key=lambda each: each.upstream_id)
    return xxhash.xxh64_intdigest(_ENCODER.encode(ordered))
