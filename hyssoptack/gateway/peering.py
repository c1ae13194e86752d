"""Exchanges with neighbours what instances read from the store."""

import asyncio
import collections.abc
import dataclasses
import random

import expression

from hyssoptack.core import clock
from hyssoptack.core import gatewaymessage
from hyssoptack.core import listmessage
from hyssoptack.core import member
from hyssoptack.core import position
from hyssoptack.events import log
from hyssoptack.gateway import exceptionlog
from hyssoptack.gateway import replicatedview
from hyssoptack.gateway import viewnotice
from hyssoptack.membership import listdelta
from hyssoptack.membership import readerelection
from hyssoptack.membership import transit
from hyssoptack.peers import codec
from hyssoptack.peers import link
from hyssoptack.platform import storeformat
from hyssoptack.settings import gateway

LINK_IDLE_MS = 60_000.0
"""Time after which a link without messages is closed. Readers change seldom, so
links to former readers are not needed for long."""

LATENCY_NOTICE_PERIOD_S = 0.5
"""How often latency samples of slow upstreams are sent to neighbours. With 26
instances in a failure domain, each calls an upstream so seldom that it alone
would need 5 to 10 s to detect that the upstream is slow; 25 messages per period
cost an instance about 7 ms of processor time a second."""

LATENCY_NOTICE_PEER_COUNT = 32
"""Maximum number of neighbours that get each latency notice. They are sampled
at random, so that the cost of a round does not grow with the number of
instances in a failure domain."""

INSTANCES_NOTICE_PEER_COUNT = 32
"""Maximum number of neighbours that get the list of instances each time that it
was read (every 5 s). A neighbour that misses one gets it a few rounds later."""

FIRST_VIEW_PEER_COUNT = 3
"""Number of neighbours that a new instance asks for their views. Some of them
may have started as late as it has."""

RUN_ID_BITS = 32
"""Size of the random id of a process."""

OnInstances = collections.abc.Callable[[tuple[member.Peer, ...]], None]
"""Called with the gatherers of other domains for each new instance list."""

OnMessage = collections.abc.Callable[[gatewaymessage.Message], None]


def _ignore(_: object) -> None:
    """Ignores an event for which no handler is set."""


class Peering:
    """Sends and receives the messages between an instance and its peers."""

    def __init__(
        self,
        settings: gateway.GatewaySettings,
        view: replicatedview.ReplicatedView,
        reader_election: readerelection.ReaderElection,
        on_instances: OnInstances,
        on_partition_notice: collections.abc.Callable[[], None],
    ):
        """Creates the peering of one instance.

        Args:
            settings: The instance's settings.
            view: The instance's replicated view.
            reader_election: Decides which instances read the store.
            on_instances: Called for each new list of instances.
            on_partition_notice: Called when a neighbour reports that the
                failure domain seems to be cut off.
        """
        self._settings = settings
        self._view = view
        self.reader_election = reader_election
        self._on_instances = on_instances
        self._on_partition_notice = on_partition_notice
        self._instances_read_at = position.START
        self._has_requested_views = False
        self._sent_states: dict[str, _SentState] = {}
        self._history = listdelta.ListHistory()
        self._configuration = b""
        self._random = random.Random()
        self._run_id = self._random.getrandbits(RUN_ID_BITS)
        self._transit_times = transit.TransitTimes()
        self._links: link.Links | None = None
        self.on_message: OnMessage = _ignore
        self.on_undelivered: OnMessage = _ignore
        self.on_link_lost: collections.abc.Callable[[str], None] = _ignore

    def send(self, address: str, peer_message: gatewaymessage.Message) -> None:
        """Sends a message to a peer; drops it if there is no peer port."""
        if self._links is not None:
            self._links.send(address, peer_message)

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
        """Caches the stored form of the configuration for neighbours."""
        self._configuration = codec.compress(data)

    def publish_view(self) -> None:
        """Sends all neighbours what has changed since their last notice."""
        if self._links is None:
            return
        self._history.add(self._view.upstream_list.listed)
        for peer in self.reader_election.neighbours():
            sent_state = self._sent_states.get(peer.address, _NOTHING_SENT)
            is_current = sent_state.version == self._view.version
            self._send_view(
                peer.address,
                self._history.change_since(sent_state.digest),
                b""
                if is_current or not sent_state.version
                else self._configuration,
            )

    def _send_view(
        self,
        address: str,
        change: listmessage.ListChange,
        configuration: bytes,
    ) -> None:
        now_ms = clock.now_ms()
        known = self._view.upstream_list
        notice = gatewaymessage.ViewNotice(
            sender_id=self._settings.instance_id,
            sender_address=self._settings.peer_address,
            version=self._view.version,
            configuration=configuration,
            revision=known.read_at.revision,
            era=known.read_at.era,
            change=change,
            kept=tuple(
                viewnotice.kept_notice(each, now_ms)
                for each in known.kept.values()
            ),
            departures=viewnotice.departures_notice(known, now_ms),
            grace_ms=self._view.remaining_grace_ms(now_ms),
            list_age_ms=now_ms - known.read_ms,
            observed_age_ms=now_ms - known.observed_since_ms,
            exact_age_ms=self.reader_election.exact_age_ms(now_ms),
            evacuated=tuple(self._view.evacuations.evacuated_domains(now_ms)),
            evacuated_at=self._view.evacuations.store_position,
            run_id=self._run_id,
            sent_ms=now_ms,
        )
        self._sent_states[address] = _SentState(
            version=self._view.version, digest=change.digest
        )
        self._links.send(address, notice)

    def _on_view_request(self, request: gatewaymessage.ViewRequest) -> None:
        """Sends the whole view to a neighbour that could not use a change."""
        self._history.add(self._view.upstream_list.listed)
        is_current = request.version >= self._view.version
        self._send_view(
            request.address,
            self._history.full_change(),
            b"" if is_current else self._configuration,
        )

    def request_first_views(self) -> None:
        """Requests the views of some neighbours, once.

        An instance that starts after the store has returned from an older copy
        can't tell which of the listed upstreams have left.
        """
        peers = self._sample_neighbours(FIRST_VIEW_PEER_COUNT)
        if self._has_requested_views or not peers:
            return
        self._has_requested_views = True
        for each in peers:
            self._request_view(each.address)

    def publish_instances(
        self,
        neighbours: tuple[member.Peer, ...],
        total_count: int,
        far_gatherers: tuple[member.Peer, ...],
        read_at: position.Position,
    ) -> None:
        """Sends the list of instances to neighbours: only readers read it."""
        if self._links is None:
            return
        notice = gatewaymessage.InstancesNotice(
            sender_id=self._settings.instance_id,
            neighbours=neighbours,
            total_count=total_count,
            far_gatherers=far_gatherers,
            read_at=read_at,
        )
        for peer in self._sample_neighbours(INSTANCES_NOTICE_PEER_COUNT):
            self._links.send(peer.address, notice)

    def is_latest_instances(self, read_at: position.Position) -> bool:
        """Records a read of the list of instances, unless it is an older one.

        A stale read, and a notice that was held up, may be older than the list
        in use. Neighbours of an earlier release don't say when they read.

        Args:
            read_at: Position in the store's history of the read.

        Returns:
            Whether the list is to be used.
        """
        if position.START < read_at < self._instances_read_at:
            return False
        self._instances_read_at = max(self._instances_read_at, read_at)
        return True

    def publish_partition(self) -> None:
        """Notifies neighbours that other failure domains are unreachable."""
        if self._links is None:
            return
        notice = gatewaymessage.PartitionNotice(
            sender_id=self._settings.instance_id
        )
        for peer in self.reader_election.neighbours():
            self._links.send(peer.address, notice)

    def _sample_neighbours(self, max_count: int) -> list[member.Peer]:
        """Returns a random sample of at most `max_count` neighbours."""
        peers = self.reader_election.neighbours()
        return self._random.sample(peers, min(len(peers), max_count))

    async def publish_latencies_periodically(self) -> None:
        """Sends latencies of slow upstreams to neighbours until cancelled."""
        while True:
            await asyncio.sleep(LATENCY_NOTICE_PERIOD_S)
            calls = self._view.load_balancer.calls_to_share(clock.now_ms())
            if not calls or self._links is None:
                continue
            notice = gatewaymessage.LatencyNotice(
                sender_id=self._settings.instance_id, seen_calls=calls
            )
            for peer in self._sample_neighbours(LATENCY_NOTICE_PEER_COUNT):
                self._links.send(peer.address, notice)

    def _on_undelivered(
        self, address: str, body: gatewaymessage.Message
    ) -> None:
        match body:
            case gatewaymessage.ViewNotice():
                self._sent_states.pop(address, None)
            case _:
                self.on_undelivered(body)

    def _on_received(self, received: link.ReceivedFrame) -> None:
        for each in received.decoded.messages:
            try:
                self._on_message(each)
            except Exception as error:
                # The other messages of the frame are not affected.
                log.write(
                    log.Event.REQUEST_FAULT,
                    detail=f"message {type(each).__name__}",
                    trace=exceptionlog.trace(error),
                )
        if received.decoded.dropped_count:
            log.write(log.Event.PEER_UNREADABLE, reason=received.decoded.reason)

    def _on_message(self, received: gatewaymessage.Message) -> None:
        match received:
            case gatewaymessage.ViewNotice():
                self._receive_view(received)
            case gatewaymessage.InstancesNotice():
                self._receive_instances(received)
            case gatewaymessage.PartitionNotice():
                self._on_partition_notice()
            case gatewaymessage.ViewRequest():
                self._on_view_request(received)
            case gatewaymessage.LatencyNotice(seen_calls=seen_calls):
                self._view.load_balancer.merge_neighbour_calls(
                    seen_calls, clock.now_ms()
                )
            case _:
                self.on_message(received)

    def _receive_instances(
        self, notice: gatewaymessage.InstancesNotice
    ) -> None:
        if self.is_latest_instances(notice.read_at):
            self.reader_election.set_neighbours(
                notice.neighbours, notice.total_count
            )
            self._on_instances(notice.far_gatherers)

    def _receive_view(self, received: gatewaymessage.ViewNotice) -> None:
        notice = self._with_ages_at_arrival(received)
        self._view.replace_evacuations(
            frozenset(notice.evacuated),
            notice.evacuated_at,
            f"peer {notice.sender_id}",
            clock.now_ms(),
        )
        if notice.configuration and notice.version > self._view.version:
            self._apply_configuration(notice)
        behind = notice.read_at < self._view.upstream_list.read_at
        merged = self._merge_list(notice)
        if merged and not behind and notice.version <= self._view.version:
            self._record_read_of(received, notice)
        if notice.version > self._view.version:
            self._request_view(notice.sender_address)
        elif merged and not behind:
            self.reader_election.record_other_reader(
                notice.sender_id, clock.now_ms(), notice.exact_age_ms
            )
        elif not merged and (not behind or self._view.upstream_list.kept):
            # An older list may still show that a kept upstream has left.
            self._request_view(notice.sender_address)

    def _record_read_of(
        self,
        received: gatewaymessage.ViewNotice,
        notice: gatewaymessage.ViewNotice,
    ) -> None:
        """Records the exact read that a merged notice is based on.

        Args:
            received: The notice as it was sent.
            notice: The notice with its ages at arrival.
        """
        if not received.exact_age_ms:
            # The sender knows of no exact read.
            return
        self._view.gate.record_notice(
            clock.now_ms() - notice.exact_age_ms, notice.sender_id
        )

    def _with_ages_at_arrival(
        self, notice: gatewaymessage.ViewNotice
    ) -> gatewaymessage.ViewNotice:
        """Adds the time for which a notice was held up to its ages."""
        if not notice.run_id:
            return notice
        held_up_ms = self._transit_times.held_up_ms(
            notice.sender_id, notice.run_id, notice.sent_ms, clock.now_ms()
        )
        if not held_up_ms:
            return notice
        log.write(
            log.Event.PEER_HELD_UP,
            sender_id=notice.sender_id,
            held_up_ms=round(held_up_ms),
            era=notice.era,
            revision=notice.revision,
        )
        return viewnotice.aged(notice, held_up_ms)

    def _request_view(self, address: str) -> None:
        """Requests the whole view of the neighbour at an address."""
        request = gatewaymessage.ViewRequest(
            address=self._settings.peer_address, version=self._view.version
        )
        if self._links is not None:
            self._links.send(address, request)

    def _apply_configuration(self, notice: gatewaymessage.ViewNotice) -> None:
        stored = codec.decompress(notice.configuration)
        if stored is None:
            log.write(
                log.Event.CONFIG_REFUSED,
                errors=["configuration from a peer can't be decompressed"],
            )
            return
        match storeformat.parse_configuration(stored):
            case expression.Result(tag="ok", ok=offered):
                source = f"peer {notice.sender_id}"
                now_ms = clock.now_ms()
                if self._view.apply_configuration(offered, source, now_ms):
                    self.cache_configuration(stored)
            case expression.Result(error=detail):
                log.write(log.Event.CONFIG_REFUSED, errors=[detail])

    def _merge_list(self, notice: gatewaymessage.ViewNotice) -> bool:
        """Merges the list of a notice; returns whether it could be decoded."""
        known = self._view.upstream_list
        self._history.add(known.listed)
        listed = listdelta.apply_change(
            notice.change, known.listed, self._history.digest
        )
        if listed is None:
            return False
        now_ms = clock.now_ms()
        offered = viewnotice.offered_list(notice, listed, now_ms)
        self._view.merge_list(offered, f"peer {notice.sender_id}", now_ms)
        merged = self._view.upstream_list
        if merged.corrects(offered):
            self._correct_view(notice)
        is_reader = not self.reader_election.read_delay_ms(now_ms)
        if is_reader and merged.was_corrected_since(known):
            self.publish_view()
        return True

    def _correct_view(self, notice: gatewaymessage.ViewNotice) -> None:
        """Sends a neighbour what has left of the upstreams that it uses."""
        if self._links is not None:
            self._history.add(self._view.upstream_list.listed)
            change = self._history.change_since(notice.change.digest)
            self._send_view(notice.sender_address, change, b"")


@dataclasses.dataclass(frozen=True, kw_only=True)
class _SentState:
    """State of the view that a neighbour was last sent.

    Attributes:
        version: Version of the configuration; 0 if none was sent.
        digest: Digest of the list; None if none was sent.
    """

    version: int = 0
    digest: int | None = None


_NOTHING_SENT = _SentState()
