"""Enforces the rate limits of teams, together with the other instances.

`hyssoptack.ratelimit` decides; this module and those beside it own the
messages, timers, log lines and metrics. Requests obtain permits from
`permitasker`; `bucketowner` answers the requests of other instances for the
teams whose buckets this instance owns.
"""

import asyncio
import random

from hyssoptack.core import clock
from hyssoptack.core import member
from hyssoptack.core import ratelimitmessage
from hyssoptack.core import teams
from hyssoptack.gateway import bucketowner
from hyssoptack.gateway import correlationids
from hyssoptack.gateway import derivedsettings
from hyssoptack.gateway import isolationwatch
from hyssoptack.gateway import metrics
from hyssoptack.gateway import ownerranking
from hyssoptack.gateway import permitasker
from hyssoptack.gateway import permitdecision
from hyssoptack.gateway import ratelimitcheck
from hyssoptack.gateway import ratelimitcontext
from hyssoptack.gateway import ratelimitreport
from hyssoptack.gateway import replicatedview
from hyssoptack.gateway import tokencollection
from hyssoptack.http1 import message
from hyssoptack.ratelimit import ledger
from hyssoptack.ratelimit import permits
from hyssoptack.ratelimit import share
from hyssoptack.settings import gateway

CHECK_PERIOD_MS = 100.0
"""Period of the checks for stops of this process; one costs some 10 us while no
team is in use."""

STOP_MS = 300.0
"""Stop of this process after which its tokens and permits are dropped
(specified). Others have used tokens in its place meanwhile."""

GIVE_BACK_PERIOD_MS = 500.0
"""How often permits that were not used are given back to their owners."""

IDLE_PERIOD_MS = 5_000.0
"""How often the state of idle teams is removed."""

Permitted = permitdecision.Permitted
OverLimit = permitdecision.OverLimit
Undecided = permitdecision.Undecided


class RateLimiter:
    """Decides on the requests of teams that have a rate limit."""

    def __init__(
        self,
        settings: gateway.RateLimitSettings,
        own: member.Peer,
        domain_count: int,
        configured: ratelimitcheck.Configured,
        send: tokencollection.Send,
        far_peers: ratelimitcontext.FarPeers,
    ):
        """Creates the rate limiter of one instance.

        Args:
            settings: How operators check the limits.
            own: This instance.
            domain_count: Number of failure domains.
            configured: Returns the version and teams in force.
            send: Sends a message to an address.
            far_peers: Returns some instances of the other failure domains.
        """
        bounds = share.LimitBounds(
            window_ms=settings.window_ms,
            overage_ratio=settings.overage_ratio,
            slack_count=settings.slack_count,
        )
        self.report = ratelimitreport.RateLimitReport()
        self._ranking = ownerranking.OwnerRanking(own)
        self._limits = ratelimitcheck.LimitVersions(configured)
        self._ledger = ledger.Ledger(bounds, domain_count, random.Random())
        context = ratelimitcontext.RateLimitContext(
            own=own,
            bounds=bounds,
            domain_count=domain_count,
            send=send,
            far_peers=far_peers,
            ask_ids=correlationids.new_sequence(),
            ranking=self._ranking,
            limits=self._limits,
            ledger=self._ledger,
            report=self.report,
        )
        self._send = send
        self._owner = bucketowner.BucketOwner(context)
        self._cache = permits.PermitCache(random.Random(), clock.now_ms())
        self._asker = permitasker.PermitAsker(
            context, self._cache, self._owner.on_permit_request
        )
        self._isolation = isolationwatch.IsolationWatch(context)
        self._alive_ms: float | None = None

    # Requests of callers.

    def acquire(
        self, team: teams.Team, on_decision: permitdecision.OnDecision
    ) -> None:
        """Decides whether a request of a team may run.

        Args:
            team: The team.
            on_decision: Called with the decision, at once or within about 100
                ms.
        """
        now_ms = clock.now_ms()
        self._observe(now_ms)
        self.report.labels.record(team.name, now_ms)
        self._asker.acquire(team, on_decision)

    def refund(self, team: teams.Team) -> None:
        """Takes back the permit of a request that no upstream has run."""
        self.report.count("refunds")
        self._asker.refund(team)

    # Events of the instance.

    def set_neighbours(self, neighbours: tuple[member.Peer, ...]) -> None:
        """Replaces the list of the other instances of the domain."""
        self._ranking.set_neighbours(neighbours, clock.now_ms())
        self._asker.on_list()

    def on_configuration(self) -> None:
        """Applies the limits of a new configuration to the owned buckets.

        A bucket would otherwise fill at the old rate until the next request,
        which a raised limit should already allow.
        """
        now_ms = clock.now_ms()
        for name in self._ledger.token_counts(now_ms):
            newest = self._limits.newest(name, now_ms)
            if isinstance(newest, ratelimitcheck.UnknownTeam):
                continue
            if newest.limit is not None:
                self._ledger.receive(name, newest.limit, 0.0, now_ms)

    def on_message(self, received: object) -> bool:
        """Handles a message; returns whether it was for rate limiting."""
        if not isinstance(received, ratelimitmessage.Message):
            return False
        now_ms = clock.now_ms()
        self._observe(now_ms)
        if not ratelimitcheck.is_plausible(received):
            self.report.log_ignored(
                received.team, received.sender_id, "implausible", now_ms
            )
            return True
        self._isolation.record_received(now_ms)
        self._ranking.record_received(received.sender_id, now_ms)
        match received:
            case ratelimitmessage.PermitRequest(sender_address=address):
                self._owner.on_permit_request(
                    received, lambda reply: self._send(address, reply)
                )
            case ratelimitmessage.RestrictionNotice():
                self._owner.restrictions.on_notice(
                    received, self._cache, now_ms
                )
            case ratelimitmessage.PermitReply():
                if not self._owner.on_reply(received):
                    self._asker.on_reply(received)
            case ratelimitmessage.TransferRequest():
                self._owner.transfers.on_request(received)
            case ratelimitmessage.HandoverRequest():
                self._owner.changes.on_handover_request(received, now_ms)
            case ratelimitmessage.TokenReply():
                self._owner.on_token_reply(received)
        return True

    def on_undelivered(self, undelivered: object) -> None:
        """Handles a message of this instance that could not be delivered."""
        if not isinstance(undelivered, ratelimitmessage.Message):
            return
        self._owner.on_undelivered(undelivered)
        if isinstance(undelivered, ratelimitmessage.PermitRequest):
            self._asker.on_undelivered(undelivered.ask_id)

    def on_link_lost(self, address: str) -> None:
        """Handles the loss of the connection to an instance."""
        self._ranking.record_lost(address, clock.now_ms())
        self._owner.on_link_lost(address)
        self._asker.on_link_lost(address)

    # Periodic work.

    async def run_periodically(self) -> None:
        """Detects stops of this process and removes outdated state."""
        idle_due_ms = give_back_due_ms = 0.0
        self._alive_ms = clock.now_ms()
        while True:
            now_ms = clock.now_ms()
            self._observe(now_ms)
            self._owner.changes.check(now_ms)
            self._owner.restrictions.check(now_ms)
            self._isolation.check(now_ms)
            if now_ms >= give_back_due_ms and self._ranking.has_list:
                give_back_due_ms = now_ms + GIVE_BACK_PERIOD_MS
                self._give_back(now_ms)
            if now_ms >= idle_due_ms:
                idle_due_ms = now_ms + IDLE_PERIOD_MS
                self._drop_idle(now_ms)
            await asyncio.sleep(CHECK_PERIOD_MS / message.MS_PER_S)

    def _give_back(self, now_ms: float) -> None:
        """Gives permits that were not used back to their owners."""
        own_id = self._ranking.own.instance_id
        for name, permit_count in self._cache.take_unused(now_ms).items():
            owner = self._ranking.peer(self._ranking.ids(name)[0])
            if owner.instance_id == own_id:
                self._owner.take_back(name, permit_count)
                continue
            reply = ratelimitmessage.TokenReply(
                sender_id=own_id,
                ask_id=bucketowner.UNUSED_PERMITS_ID,
                team=name,
                token_count=permit_count,
            )
            self._send(owner.address, reply)

    def _observe(self, now_ms: float) -> None:
        """Empties the buckets if this process was stopped until now.

        Called before any other work, as messages and requests that arrived
        during the stop are handled before the next periodic check.
        """
        if self._alive_ms is None:
            # The periodic checks have not begun.
            return
        before_ms, self._alive_ms = self._alive_ms, now_ms
        if now_ms - before_ms <= STOP_MS:
            return
        self._ledger.empty(now_ms)
        self._cache.clear(now_ms)
        self._ranking.record_stop(now_ms)
        self._isolation.record_received(now_ms)
        self.report.log_emptied(now_ms - before_ms)

    def _drop_idle(self, now_ms: float) -> None:
        self._ledger.drop_idle(now_ms)
        self._limits.drop_outdated(now_ms)
        self._owner.drop_idle(now_ms)
        self._asker.drop_idle(now_ms)

    def render(self, collectors: metrics.Metrics) -> None:
        """Copies the counts and levels of teams to the metric collectors."""
        now_ms = clock.now_ms()
        self.report.render(
            collectors, self._ledger.token_counts(now_ms), self._held(now_ms)
        )

    def _held(self, now_ms: float) -> dict[str, float]:
        return {
            each: self._cache.held_count(each, now_ms)
            for each in self._asker.team_names()
        }


def for_instance(
    settings: gateway.GatewaySettings,
    view: replicatedview.ReplicatedView,
    send: tokencollection.Send,
    far_peers: ratelimitcontext.FarPeers,
) -> RateLimiter:
    """Creates the rate limiter of a gateway.

    Args:
        settings: The gateway's settings; `rate_limit` is set.
        view: The configuration in force.
        send: Sends a message to an address.
        far_peers: Returns some instances of the other failure domains.
    """

    def configured() -> tuple[int, teams.Directory | None]:
        configuration = view.route_table.configuration
        if configuration is None:
            return 0, None
        return configuration.version, configuration.team_directory

    return RateLimiter(
        settings.rate_limit,
        derivedsettings.own_peer(settings),
        len(settings.failure_domains),
        configured,
        send,
        far_peers,
    )
