"""Tells neighbours what was read from the store, and takes what they read."""

import asyncio
import collections.abc
import dataclasses
import random

import expression

from hyssoptack.core import clock
from hyssoptack.core import gatewaymessage
from hyssoptack.core import member
from hyssoptack.events import log
from hyssoptack.gateway import replicatedview
from hyssoptack.peers import codec
from hyssoptack.peers import link
from hyssoptack.platform import storeformat
from hyssoptack.policy import listdelta
from hyssoptack.policy import readerelection
from hyssoptack.settings import gateway

LINK_IDLE_MS = 60_000.0
"""A link without a message is closed after this: readers change seldom."""

CALLS_PERIOD_S = 0.5
"""How often calls to slow upstreams are told of. With 26 instances in a failure
domain each sees an upstream too seldom to learn of it alone while it is slow (5
to 10 s); 25 messages in this time cost it about 7 ms of processor a second."""

CALLS_PEERS_COUNT = 32
"""Most neighbours that are told each time, chosen at random: what one round
costs stays the same however many instances a failure domain has."""

INSTANCES_PEERS_COUNT = 32
"""The same for the list of instances, each time that it was read (5 s): what a
neighbour misses, it hears a few rounds later."""


OnInstances = collections.abc.Callable[[tuple[member.Peer, ...]], None]
"""Told of each new list of instances, and of who may gather elsewhere."""

OnMessage = collections.abc.Callable[[gatewaymessage.Message], None]


def _ignore(_: object) -> None:
    """Takes what nobody waits for yet."""


class Peering:
    """The links of one instance, and the views that travel over them."""

    def __init__(
        self,
        settings: gateway.GatewaySettings,
        believed: replicatedview.ReplicatedView,
        readers: readerelection.ReaderElection,
        on_instances: OnInstances,
        on_cut: collections.abc.Callable[[], None],
    ):
        """Makes the peering of one instance.

        Args:
            settings: The instance's settings.
            believed: What it believes.
            readers: Who reads the store.
            on_instances: Told of each new list of instances.
            on_cut: Told that a neighbour takes the failure domain as cut off.
        """
        self._settings = settings
        self._beliefs = believed
        self.reader_election = readers
        self._on_instances = on_instances
        self._on_cut = on_cut
        self._told: dict[str, _Told] = {}
        self._history = listdelta.ListHistory()
        self._configuration = b""
        self._random = random.Random()
        self._links: link.Links | None = None
        self.on_message: OnMessage = _ignore
        self.on_undelivered: OnMessage = _ignore
        self.on_link_lost: collections.abc.Callable[[str], None] = _ignore

    def send(self, address: str, each: gatewaymessage.Message) -> None:
        """Sends a message to a neighbour; without a port, to nobody."""
        if self._links is not None:
            self._links.send(address, each)

    def start(self) -> None:
        """Opens the port for peers."""
        if not self._settings.peer_address:
            return
        self._links = link.Links(
            self._settings.peer_address,
            LINK_IDLE_MS,
            asyncio.get_running_loop(),
            codec.Codec(gatewaymessage.KINDS),
            self._on_received,
            self._on_undelivered,
            lambda address: self.on_link_lost(address),
        )
        self._links.start()

    def stop(self) -> None:
        """Closes the port and all links."""
        if self._links is not None:
            self._links.stop()

    def cache_configuration(self, data: bytes) -> None:
        """Keeps the configuration in force as it is stored, for neighbours."""
        self._configuration = codec.compress(data)

    def publish_view(self) -> None:
        """Tells all neighbours what has changed since they were last told."""
        if self._links is None:
            return
        self._history.add(self._beliefs.upstreams)
        for peer in self.reader_election.neighbours():
            told = self._told.get(peer.address, _NOTHING_TOLD)
            fresh = told.version == self._beliefs.version
            self._send_view(
                peer.address,
                self._history.change_since(told.digest),
                b"" if fresh or not told.version else self._configuration,
            )

    def _send_view(
        self,
        address: str,
        change: gatewaymessage.ListChange,
        configuration: bytes,
    ) -> None:
        now_ms = clock.now_ms()
        made = gatewaymessage.ViewNotice(
            sender_id=self._settings.instance_id,
            sender_address=self._settings.peer_address,
            version=self._beliefs.version,
            configuration=configuration,
            revision=self._beliefs.list_revision,
            change=change,
            grace_ms=self._beliefs.remaining_grace_ms(now_ms),
            list_age_ms=now_ms - self._beliefs.list_read_ms,
            exact_age_ms=self.reader_election.exact_age_ms(now_ms),
            evacuated=tuple(
                self._beliefs.evacuations.evacuated_domains(now_ms)
            ),
            evacuated_at=self._beliefs.evacuations.store_position,
        )
        self._told[address] = _Told(
            version=self._beliefs.version, digest=change.digest
        )
        self._links.send(address, made)

    def _answer_wanted(self, wanted: gatewaymessage.ViewRequest) -> None:
        """Sends everything to one who could not use the last view."""
        self._history.add(self._beliefs.upstreams)
        fresh = wanted.version >= self._beliefs.version
        self._send_view(
            wanted.address,
            self._history.full_change(),
            b"" if fresh else self._configuration,
        )

    def publish_instances(
        self,
        neighbours: tuple[member.Peer, ...],
        total_count: int,
        far_gatherers: tuple[member.Peer, ...],
    ) -> None:
        """Tells neighbours who else there is: only readers read that list."""
        if self._links is None:
            return
        made = gatewaymessage.InstancesNotice(
            sender_id=self._settings.instance_id,
            neighbours=neighbours,
            total_count=total_count,
            far_gatherers=far_gatherers,
        )
        for peer in self._some(INSTANCES_PEERS_COUNT):
            self._links.send(peer.address, made)

    def publish_partition(self) -> None:
        """Tells neighbours that other failure domains show no life."""
        if self._links is None:
            return
        made = gatewaymessage.PartitionNotice(
            sender_id=self._settings.instance_id
        )
        for peer in self.reader_election.neighbours():
            self._links.send(peer.address, made)

    def _some(self, most_count: int) -> list[member.Peer]:
        """Returns at most so many neighbours, chosen at random."""
        peers = self.reader_election.neighbours()
        return self._random.sample(peers, min(len(peers), most_count))

    async def publish_calls_periodically(self) -> None:
        """Tells neighbours of calls that matter, for as long as it runs."""
        while True:
            await asyncio.sleep(CALLS_PERIOD_S)
            calls = self._beliefs.load_balancer.calls_to_share(clock.now_ms())
            if not calls or self._links is None:
                continue
            made = gatewaymessage.LatencyNotice(
                sender_id=self._settings.instance_id, seen_calls=calls
            )
            for peer in self._some(CALLS_PEERS_COUNT):
                self._links.send(peer.address, made)

    def _on_undelivered(
        self, address: str, body: gatewaymessage.Message
    ) -> None:
        match body:
            case gatewaymessage.ViewNotice():
                self._told.pop(address, None)
            case _:
                self.on_undelivered(body)

    def _on_received(self, received: link.ReceivedFrame) -> None:
        for each in received.decoded.messages:
            match each:
                case gatewaymessage.ViewNotice():
                    self._take(each)
                case gatewaymessage.InstancesNotice():
                    self.reader_election.install(
                        each.neighbours, each.total_count
                    )
                    self._on_instances(each.far_gatherers)
                case gatewaymessage.PartitionNotice():
                    self._on_cut()
                case gatewaymessage.ViewRequest():
                    self._answer_wanted(each)
                case gatewaymessage.LatencyNotice(seen_calls=seen_calls):
                    self._beliefs.load_balancer.merge_neighbour_calls(
                        seen_calls, clock.now_ms()
                    )
                case _:
                    self.on_message(each)
        if received.decoded.dropped_count:
            log.write(log.Event.PEER_UNREADABLE, reason=received.decoded.reason)

    def _take(self, view: gatewaymessage.ViewNotice) -> None:
        self._beliefs.replace_evacuations(
            frozenset(view.evacuated),
            view.evacuated_at,
            f"peer {view.sender_id}",
            clock.now_ms(),
        )
        if view.configuration and view.version > self._beliefs.version:
            self._take_configuration(view)
        behind = view.revision < self._beliefs.list_revision
        listed = not behind and self._take_list(view)
        if view.version > self._beliefs.version:
            self._ask(view)
        elif listed:
            self.reader_election.record_other_reader(
                view.sender_id, clock.now_ms(), view.exact_age_ms
            )
        elif not behind:
            self._ask(view)

    def _ask(self, view: gatewaymessage.ViewNotice) -> None:
        """Asks a reader for what its notice left out."""
        wanted = gatewaymessage.ViewRequest(
            address=self._settings.peer_address, version=self._beliefs.version
        )
        if self._links is not None:
            self._links.send(view.sender_address, wanted)

    def _take_configuration(self, view: gatewaymessage.ViewNotice) -> None:
        stored = codec.decompress(view.configuration)
        if stored is None:
            log.write(log.Event.CONFIG_REFUSED, errors=["can't be expanded"])
            return
        match storeformat.parse_configuration(stored):
            case expression.Result(tag="ok", ok=offered):
                source = f"peer {view.sender_id}"
                self.cache_configuration(stored)
                now_ms = clock.now_ms()
                self._beliefs.apply_configuration(offered, source, now_ms)
            case expression.Result(error=detail):
                log.write(log.Event.CONFIG_REFUSED, errors=[detail])

    def _take_list(self, view: gatewaymessage.ViewNotice) -> bool:
        """Takes the list; tells whether the own one is as new now."""
        self._history.add(self._beliefs.upstreams)
        taken = listdelta.apply_change(
            view.change, self._beliefs.upstreams, self._history.digest
        )
        if taken is None:
            return False
        now_ms = clock.now_ms()
        self._beliefs.extend_grace(view.grace_ms, now_ms)
        read_ms = now_ms - view.list_age_ms
        if taken is self._beliefs.upstreams:
            self._beliefs.confirm_list(view.revision, read_ms)
        else:
            self._beliefs.apply_list(taken, view.revision, now_ms, read_ms)
        return True


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Told:
    """What a neighbour was last told.

    Attributes:
        version: Version of the configuration; 0 for nothing.
        digest: Digest of the list; None for nothing.
    """

    version: int = 0
    digest: int | None = None


_NOTHING_TOLD = _Told()
