"""Requests that crash upstreams: what is found here, and what others find.

`policy.quarantine` holds the beliefs; here they are logged and told. News go to
some instances of the own failure domain and of others at once, who pass them on
when they are news to them, too. Each second a part of all that is held is told
to one of each: what was lost, or found while a domain was cut off, is made up
for. An instance that has just started asks. While nothing is held, nothing is
sent.
"""

import asyncio
import collections.abc
import random

from hyssoptack.core import clock
from hyssoptack.core import gatewaymessage
from hyssoptack.core import member
from hyssoptack.core import traffic
from hyssoptack.events import log
from hyssoptack.gateway import metrics
from hyssoptack.gateway import pool
from hyssoptack.policy import quarantine

ROUND_S = 1.0
"""How often a part of all is told: an instance that missed some has heard it
within 3 s in 399 of 400 cases, as each round all others tell two."""

NEWS_PAUSE_S = 0.02
"""News that come together are told together; a query's upstreams end within
some tens of milliseconds."""

NEAR_COUNT = 4
FAR_COUNT = 2
"""Instances of the own and of other failure domains that are told news. Each
tells on as many: 997 of 1,000 hear it so within some tens of milliseconds."""

NEWS_COUNT = 6
"""Most requests that are told of at once: at the pace below that is a second's
worth, so that the next one is told in time. Requests that crash upstreams are
few; where somebody makes up many, what others hold of them helps nobody."""

PART_COUNT = 16
"""Most requests that a round tells of again."""

ANSWER_COUNT = 256
"""Most requests that an instance is told of that has just started."""

SUSPECT_BYTES = 150
"""About what one request takes in a message (140 while it is blocked)."""

PACE_BYTES_PER_S = 6_000
"""What is told on the average at most: a third of what an instance may send
for control (19 KB a second), however many requests are suspected."""

ASK_ROUNDS_COUNT = 3
"""So many rounds after its start an instance asks what others hold: who it
asks first may have just started as well."""

IN_HAND_LOGGED_COUNT = 16
"""Most calls of a lost upstream that one line names: it has 3 to 6 slots, and
as many calls of this instance at most as that and its queue."""

EVENTS = {
    quarantine.ChangeKind.SUSPECTED: log.Event.SUSPICION_BEGAN,
    quarantine.ChangeKind.QUARANTINED: log.Event.REQUEST_BLOCKED,
    quarantine.ChangeKind.PROBED: log.Event.REQUEST_TRIED,
    quarantine.ChangeKind.CLEARED: log.Event.SUSPICION_ENDED,
    quarantine.ChangeKind.EXPIRED: log.Event.SUSPICION_ENDED,
}

Send = collections.abc.Callable[[str, gatewaymessage.Message], None]
Peers = collections.abc.Callable[[], collections.abc.Sequence[member.Peer]]


class QuarantineSync:
    """One instance's part in what all hold against requests."""

    def __init__(
        self,
        known: quarantine.SuspectRegistry,
        own: member.Peer,
        near: Peers,
        far: Peers,
        send: Send,
        on_blocked: collections.abc.Callable[[str], None],
        counted: metrics.Metrics,
    ):
        """Makes the part of one instance.

        Args:
            known: What it holds.
            own: Its name and address.
            near: Returns the others of its failure domain.
            far: Returns some of other failure domains.
            send: Sends a message to an address.
            on_blocked: Told of a request that is refused from now on.
            counted: The instance's metrics.
        """
        self.suspicions = known
        self._own = own
        self._near = near
        self._far = far
        self._send = send
        self._on_blocked = on_blocked
        self._metrics = counted
        self._random = random.Random()
        self._ask_count = ASK_ROUNDS_COUNT
        self._news = asyncio.Event()
        known.on_change = self._on_change
        known.on_pending_notices = self._news.set

    # What is found.

    def on_upstream_exit(
        self, upstream: traffic.Upstream, in_hand: tuple[pool.Job, ...]
    ) -> None:
        """Takes that an upstream broke calls off and is gone."""
        self._metrics.upstream_exits.inc({"service": upstream.service})
        log.write(
            log.Event.UPSTREAM_ENDED,
            upstream=upstream.upstream_id,
            service=upstream.service,
            in_hand=[
                f"{each.fingerprint} {each.request_id.decode('latin-1')}"
                for each in in_hand[:IN_HAND_LOGGED_COUNT]
            ],
            in_hand_count=len(in_hand),
        )

    def _on_change(self, change: quarantine.SuspicionChange) -> None:
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
        if change.kind is quarantine.ChangeKind.QUARANTINED:
            # The plan that found so is not done with its own command yet.
            loop = asyncio.get_running_loop()
            loop.call_soon(self._on_blocked, change.fingerprint)

    # What is told.

    async def share_periodically(self) -> None:
        """Tells others what is held, for as long as it runs."""
        while True:
            if self._ask_count or self.suspicions.has_entries:
                await self._wait_for_news()
            else:
                await self._news.wait()
            if self._news.is_set():
                await asyncio.sleep(NEWS_PAUSE_S)
            await asyncio.sleep(self._round())

    async def _wait_for_news(self) -> None:
        try:
            async with asyncio.timeout(ROUND_S):
                await self._news.wait()
        except TimeoutError:
            # A part of all is told again.
            return

    def _round(self) -> float:
        """Tells and asks once; returns how long to pause after it, in s."""
        now_ms = clock.now_ms()
        self.suspicions.expire(now_ms)
        self._ask()
        if self._news.is_set():
            self._news.clear()
            news = self.suspicions.pop_new_notices(NEWS_COUNT, now_ms)
            told_count = self._tell(news, NEAR_COUNT, FAR_COUNT)
            self._log_shared(news)
        else:
            part = self.suspicions.sample_notices(PART_COUNT, now_ms)
            told_count = self._tell(part, 1, 1)
        return told_count * SUSPECT_BYTES / PACE_BYTES_PER_S

    def _tell(
        self, suspects: tuple[gatewaymessage.Suspect, ...], near: int, far: int
    ) -> int:
        """Tells some others; returns how often a request was told of."""
        if not suspects:
            return 0
        peers = self._some(self._near(), near) + self._some(self._far(), far)
        for peer in peers:
            self._send(peer.address, self._notice(suspects))
        return len(suspects) * len(peers)

    def _notice(
        self, suspects: tuple[gatewaymessage.Suspect, ...]
    ) -> gatewaymessage.SuspectsNotice:
        return gatewaymessage.SuspectsNotice(
            sender_id=self._own.instance_id, suspects=suspects
        )

    def _some(
        self, peers: collections.abc.Sequence[member.Peer], most_count: int
    ) -> list[member.Peer]:
        return self._random.sample(peers, min(len(peers), most_count))

    def _log_shared(self, news: tuple[gatewaymessage.Suspect, ...]) -> None:
        if news:
            log.write(
                log.Event.SUSPICION_SHARED,
                fingerprints=[each.fingerprint for each in news],
            )

    def _ask(self) -> None:
        if not self._ask_count:
            return
        peers = self._some(self._near(), 2) + self._some(self._far(), 1)
        if not peers:
            return
        self._ask_count -= 1
        wanted = gatewaymessage.SuspectsRequest(address=self._own.address)
        for peer in peers:
            self._send(peer.address, wanted)

    # What others tell.

    def on_message(
        self,
        each: gatewaymessage.SuspectsNotice | gatewaymessage.SuspectsRequest,
    ) -> None:
        """Takes another instance's word, or answers its question."""
        now_ms = clock.now_ms()
        match each:
            case gatewaymessage.SuspectsNotice(
                sender_id=sender_id, suspects=suspects
            ):
                for suspect in suspects:
                    self.suspicions.merge_notice(suspect, sender_id, now_ms)
            case gatewaymessage.SuspectsRequest(address=address):
                suspects = self.suspicions.sample_notices(ANSWER_COUNT, now_ms)
                if suspects:
                    self._send(address, self._notice(suspects))
