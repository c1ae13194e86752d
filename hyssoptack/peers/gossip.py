"""Gossip: spreads heartbeats and the configuration between instances.

In each period an instance sends a heartbeat with its member record and its
configuration revision to a few random peers. A peer with an older revision
requests the parts that it lacks; a new revision is sent at once. The cost per
instance does not grow with the number of instances, and a revision reaches all
of them in a number of rounds that grows with the logarithm of that number
(Demers et al., "Epidemic Algorithms for Replicated Database Maintenance",
section 1.4).
"""

import asyncio
import collections.abc
import random

from hyssoptack.core import clock
from hyssoptack.core import member
from hyssoptack.core import message
from hyssoptack.entry import state
from hyssoptack.revisions import configuration

MS_PER_S = 1000.0
RECENT_SENDER_COUNT = 6
"""Maximum number of recent senders that a heartbeat passes on."""

CONFIG_REQUEST_INTERVAL_MS = 300.0
"""Minimum time between two requests for the configuration."""

BROADCAST_LIMIT_COUNT = 64
"""Maximum number of peers to which a heartbeat is broadcast."""

PARTNER_COUNT = 12
"""Peers from which the receivers of heartbeats are drawn."""

PARTNER_REDRAW_MS = 60_000.0
"""Longest time until the partners are drawn again."""

Send = collections.abc.Callable[[str, message.Message], None]
OnConfig = collections.abc.Callable[[configuration.NewConfiguration], None]


class Gossip:
    """Sends and handles heartbeats and configuration offers."""

    def __init__(
        self,
        instance_state: state.InstanceState,
        config: configuration.ActiveConfiguration,
        send: Send,
        on_config: OnConfig,
    ):
        self._state = instance_state
        self._config = config
        self._send = send
        self._on_config = on_config
        self._random = random.Random()
        self._beat_number = 0
        self._last_request_ms = 0.0
        self._partners: list[str] = []
        self._next_redraw_ms = 0.0

    async def run(self) -> None:
        """Sends heartbeats periodically until it is cancelled."""
        period_ms = self._state.settings.peers.period_ms
        while True:
            self.send_heartbeat()
            jitter = self._random.uniform(0.8, 1.2)
            await asyncio.sleep(period_ms * jitter / MS_PER_S)

    def send_heartbeat(self) -> None:
        """Sends a heartbeat to a few random peers."""
        settings = self._state.settings.peers
        self._beat_number += 1
        beat = message.Heartbeat(
            sender=self._state.own_member(),
            revision=self._config.revision(),
            beat_number=self._beat_number,
            fresh=self._sample_recent_senders(),
        )
        for address in self._targets(settings.fanout_count):
            self._send(address, beat)

    def broadcast_heartbeat(self) -> None:
        """Sends a heartbeat to many peers, for example when leaving.

        Peers beyond `BROADCAST_LIMIT_COUNT` receive it from the instance list.
        """
        beat = message.Heartbeat(
            sender=self._state.own_member(),
            revision=self._config.revision(),
            beat_number=self._beat_number,
        )
        addresses = list(self._state.peer_addresses.values())
        count = min(BROADCAST_LIMIT_COUNT, len(addresses))
        for address in self._random.sample(addresses, count):
            self._send(address, beat)

    def _targets(self, count: int) -> list[str]:
        """Returns the addresses of a few of this instance's partners.

        Partners are redrawn only now and then, see `PARTNER_REDRAW_MS`: a link
        to a new peer costs far more than a message on an open one.
        """
        now_ms = clock.now_ms()
        addresses = self._state.peer_addresses
        partners = [each for each in self._partners if each in addresses]
        if now_ms >= self._next_redraw_ms or len(partners) < count:
            own = self._state.settings.instance_id
            names = [name for name in addresses if name != own]
            drawn = min(PARTNER_COUNT, len(names))
            partners = self._partners = self._random.sample(names, drawn)
            self._next_redraw_ms = (
                now_ms + PARTNER_REDRAW_MS * self._random.uniform(0.5, 1)
            )
        if not partners:
            return list(self._state.settings.peers.seed_addresses)[:count]
        sample = self._random.sample(partners, min(count, len(partners)))
        return [addresses[name] for name in sample]

    def _sample_recent_senders(self) -> tuple[member.Member, ...]:
        """Returns a random sample of recent senders."""
        recent = {each.incarnation: each for each in self._state.recent_senders}
        senders = list(recent.values())
        return tuple(
            self._random.sample(senders, min(RECENT_SENDER_COUNT, len(senders)))
        )

    def on_heartbeat(self, beat: message.Heartbeat) -> None:
        """Records a heartbeat; requests the configuration if it is newer."""
        now_ms = clock.now_ms()
        self._state.record_message(beat.sender, now_ms)
        for each in beat.fresh:
            if each.incarnation not in self._state.roster.sightings:
                self._state.record_message(each, now_ms)
        behind = beat.revision > self._config.revision()
        if (
            behind
            and now_ms - self._last_request_ms > CONFIG_REQUEST_INTERVAL_MS
        ):
            self._last_request_ms = now_ms
            wanted = message.ConfigWanted(
                sender=self._state.own_member(),
                have_digests=self._config.part_digests(),
            )
            self._send(self._address_of(beat.sender), wanted)

    def _address_of(self, sender: member.Member) -> str:
        address = self._state.peer_address(sender.instance_id)
        return address or sender.peer_address

    def on_config_wanted(self, wanted: message.ConfigWanted) -> None:
        """Sends a peer the parts of the configuration that it lacks."""
        manifest = self._config.manifest
        if manifest is None:
            return
        offer = message.ConfigOffer(
            manifest_text=configuration.encode_manifest(manifest),
            parts=self._config.parts_for_peer(wanted.have_digests),
        )
        self._state.record_message(wanted.sender, clock.now_ms())
        self._send(self._address_of(wanted.sender), offer)

    def on_config_offer(self, offer: message.ConfigOffer) -> None:
        """Merges a configuration offered by a peer."""
        applied = self._config.merge_offer(offer.manifest_text, offer.parts)
        if isinstance(applied, configuration.NewConfiguration):
            self._on_config(applied)
