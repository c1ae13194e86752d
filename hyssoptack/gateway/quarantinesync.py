"""Shares records of requests that crash upstreams between instances (gossip).

`quarantine.quarantine` holds the records of suspected and quarantined requests;
this module logs and sends them. New records go at once to some instances of the
own failure domain and of others, which forward those that are new to them.
Each second, a sample of all records goes to one instance of the own failure
domain and to one of another, which makes up for lost messages and for records
made during a partition. An instance that has just started requests the records
of others. While there are no records, nothing is sent.
"""

import asyncio
import collections.abc
import random

from hyssoptack.core import clock
from hyssoptack.core import gatewaymessage
from hyssoptack.core import member
from hyssoptack.core import traffic
from hyssoptack.events import log
from hyssoptack.gateway import callrequest
from hyssoptack.gateway import metrics
from hyssoptack.quarantine import quarantine
from hyssoptack.quarantine import suspicionchange

ROUND_PERIOD_S = 1.0
"""How often a sample of all records is sent. As each of the other instances
sends to two instances in each round, one that missed a record gets it within
3 s in 399 of 400 cases."""

NEW_RECORDS_DELAY_S = 0.02
"""Delay before new records are sent, so that they share a message. The
upstreams that one query crashes exit within some tens of milliseconds."""

DOMAIN_PEER_COUNT = 4
REMOTE_PEER_COUNT = 2
"""Number of instances of the own (`DOMAIN_PEER_COUNT`) and of other failure
domains (`REMOTE_PEER_COUNT`) that get new records. Each forwards them to as
many, so that 997 of 1,000 instances get them within some tens of
milliseconds."""

NEW_RECORDS_COUNT = 6
"""Maximum number of new records in one message. At `MAX_BYTES_PER_S`, sending
them to six instances takes about a second, so that the next new record is sent
in time. Requests that crash upstreams are few; if a caller fabricates many of
them, sharing their records is of no use."""

SAMPLE_COUNT = 16
"""Maximum number of records that a round sends again."""

ANSWER_COUNT = 256
"""Maximum number of records in the reply to an instance that has just started.
"""

RECORD_BYTES = 150
"""Approximate size of one record in a message (140 bytes while the request is
quarantined)."""

MAX_BYTES_PER_S = 6_000
"""Maximum average rate at which records are sent: a third of what an instance
may send for control (19 KB a second), however many requests are suspected."""

REQUEST_ROUNDS_COUNT = 3
"""Number of rounds after its start in which an instance requests the records of
others: the instances it asks first may have just started as well."""

LOGGED_CALLS_COUNT = 16
"""Maximum number of calls in progress that the log line of an upstream's exit
names. An upstream has 3 to 6 slots, and this instance has at most as many calls
there as fit in the slots and the queue."""

EVENTS = {
    suspicionchange.ChangeKind.SUSPECTED: log.Event.SUSPICION_BEGAN,
    suspicionchange.ChangeKind.QUARANTINED: log.Event.REQUEST_BLOCKED,
    suspicionchange.ChangeKind.PROBED: log.Event.REQUEST_TRIED,
    suspicionchange.ChangeKind.CLEARED: log.Event.SUSPICION_ENDED,
    suspicionchange.ChangeKind.EXPIRED: log.Event.SUSPICION_ENDED,
}
"""Log event of each kind of change."""

Send = collections.abc.Callable[[str, gatewaymessage.Message], None]
Peers = collections.abc.Callable[[], collections.abc.Sequence[member.Peer]]


class QuarantineSync:
    """Sends and receives one instance's records of suspected requests."""

    def __init__(
        self,
        registry: quarantine.SuspectRegistry,
        own: member.Peer,
        domain_peers: Peers,
        remote_peers: Peers,
        send: Send,
        on_quarantined: collections.abc.Callable[[str], None],
        instance_metrics: metrics.Metrics,
    ):
        """Creates the sync of one instance.

        Args:
            registry: The instance's records of suspected requests.
            own: The instance's id and address.
            domain_peers: Returns the other instances of its failure domain.
            remote_peers: Returns some instances of other failure domains.
            send: Sends a message to an address.
            on_quarantined: Called with the fingerprint of a request that is
                refused from now on.
            instance_metrics: The instance's metrics.
        """
        self.registry = registry
        self._own = own
        self._domain_peers = domain_peers
        self._remote_peers = remote_peers
        self._send = send
        self._on_quarantined = on_quarantined
        self._metrics = instance_metrics
        self._random = random.Random()
        self._remaining_request_count = REQUEST_ROUNDS_COUNT
        self._has_new_records = asyncio.Event()
        registry.on_change = self._on_change
        registry.on_pending_notices = self._has_new_records.set

    # Changes on this instance.

    def on_upstream_exit(
        self,
        upstream: traffic.Upstream,
        broken_jobs: tuple[callrequest.CallRequest, ...],
    ) -> None:
        """Counts and logs an upstream that exited with calls in progress."""
        self._metrics.upstream_exits.inc({"service": upstream.service})
        log.write(
            log.Event.UPSTREAM_ENDED,
            upstream=upstream.upstream_id,
            service=upstream.service,
            in_hand=[
                f"{each.fingerprint} {each.request_id.decode('latin-1')}"
                for each in broken_jobs[:LOGGED_CALLS_COUNT]
            ],
            in_hand_count=len(broken_jobs),
        )

    def _on_change(self, change: suspicionchange.SuspicionChange) -> None:
        self._metrics.suspicion_events.inc({"what": change.kind.value})
        log.write(
            EVENTS[change.kind],
            fingerprint=change.fingerprint,
            what=change.kind.value,
            upstreams=list(change.upstream_ids),
            blocked_count=change.quarantine_count,
            for_ms=round(change.quarantine_ms),
            source=change.source,
        )
        if change.kind is suspicionchange.ChangeKind.QUARANTINED:
            # Deferred, as the call plan that caused the change is still running
            # a command.
            loop = asyncio.get_running_loop()
            loop.call_soon(self._on_quarantined, change.fingerprint)

    # Records that are sent.

    async def share_periodically(self) -> None:
        """Sends records to other instances until cancelled."""
        while True:
            if self._remaining_request_count or self.registry.has_entries:
                await self._wait_for_new_records()
            else:
                await self._has_new_records.wait()
            if self._has_new_records.is_set():
                await asyncio.sleep(NEW_RECORDS_DELAY_S)
            await asyncio.sleep(self._run_round())

    async def _wait_for_new_records(self) -> None:
        try:
            async with asyncio.timeout(ROUND_PERIOD_S):
                await self._has_new_records.wait()
        except TimeoutError:
            # The round then sends a sample of all records.
            return

    def _run_round(self) -> float:
        """Runs one round; returns the pause after it in seconds."""
        now_ms = clock.now_ms()
        self.registry.expire(now_ms)
        self._request_records()
        if self._has_new_records.is_set():
            self._has_new_records.clear()
            new_records = self.registry.pop_new_notices(
                NEW_RECORDS_COUNT, now_ms
            )
            sent_count = self._send_records(
                new_records, DOMAIN_PEER_COUNT, REMOTE_PEER_COUNT
            )
            self._log_shared(new_records)
        else:
            sample = self.registry.sample_notices(SAMPLE_COUNT, now_ms)
            sent_count = self._send_records(sample, 1, 1)
        return sent_count * RECORD_BYTES / MAX_BYTES_PER_S

    def _send_records(
        self,
        suspects: tuple[gatewaymessage.Suspect, ...],
        domain_count: int,
        remote_count: int,
    ) -> int:
        """Sends records to a random sample of instances.

        Args:
            suspects: The records.
            domain_count: Number of instances of the own failure domain.
            remote_count: Number of instances of other failure domains.

        Returns:
            Number of records sent, over all instances.
        """
        if not suspects:
            return 0
        peers = self._sample(self._domain_peers(), domain_count) + self._sample(
            self._remote_peers(), remote_count
        )
        for peer in peers:
            self._send(peer.address, self._notice(suspects))
        return len(suspects) * len(peers)

    def _notice(
        self, suspects: tuple[gatewaymessage.Suspect, ...]
    ) -> gatewaymessage.SuspectsNotice:
        return gatewaymessage.SuspectsNotice(
            sender_id=self._own.instance_id, suspects=suspects
        )

    def _sample(
        self, peers: collections.abc.Sequence[member.Peer], max_count: int
    ) -> list[member.Peer]:
        return self._random.sample(peers, min(len(peers), max_count))

    def _log_shared(
        self, new_records: tuple[gatewaymessage.Suspect, ...]
    ) -> None:
        if new_records:
            log.write(
                log.Event.SUSPICION_SHARED,
                fingerprints=[each.fingerprint for each in new_records],
            )

    def _request_records(self) -> None:
        if not self._remaining_request_count:
            return
        peers = self._sample(self._domain_peers(), 2) + self._sample(
            self._remote_peers(), 1
        )
        if not peers:
            return
        self._remaining_request_count -= 1
        request = gatewaymessage.SuspectsRequest(address=self._own.address)
        for peer in peers:
            self._send(peer.address, request)

    # Messages that are received.

    def on_message(
        self,
        each: gatewaymessage.SuspectsNotice | gatewaymessage.SuspectsRequest,
    ) -> None:
        """Merges the records of another instance, or answers its request."""
        now_ms = clock.now_ms()
        match each:
            case gatewaymessage.SuspectsNotice(
                sender_id=sender_id, suspects=suspects
            ):
                for suspect in suspects:
                    self.registry.merge_notice(suspect, sender_id, now_ms)
            case gatewaymessage.SuspectsRequest(address=address):
                suspects = self.registry.sample_notices(ANSWER_COUNT, now_ms)
                if suspects:
                    self._send(address, self._notice(suspects))
