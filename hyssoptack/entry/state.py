"""State shared by the tasks of one instance; used on the event loop only."""

import collections
import secrets

from hyssoptack.balancing import health
from hyssoptack.balancing import routing
from hyssoptack.budget import budget
from hyssoptack.charts import chart
from hyssoptack.core import catalog
from hyssoptack.core import clock
from hyssoptack.core import member
from hyssoptack.core import stops
from hyssoptack.core import timeouts
from hyssoptack.events import log
from hyssoptack.hedging import hedging
from hyssoptack.membership import membership
from hyssoptack.membership import ownership
from hyssoptack.membership import renewal
from hyssoptack.planning import queryplan
from hyssoptack.relay import relay
from hyssoptack.settings import instance

_CHART = chart.load("instance")
REFRESH_MS = 100.0
"""Period of `InstanceState.refresh`."""

OWNERSHIP_VALID_RATIO = 0.5
"""Fraction of `instance_list_lag_ms` for which ownership stays valid without
renewal."""

GONE_AFTER_LAGS_COUNT = 2.0
"""Multiple of `instance_list_lag_ms` after which an unseen instance counts as
gone, provided that the list is being read."""

RECENT_SENDER_LIMIT_COUNT = 16
"""Number of most recent senders from which a heartbeat selects the instances
to pass on."""

RETENTION_LAGS_COUNT = 10
"""Multiple of `instance_list_lag_ms` after which an unseen incarnation is
removed from the roster."""


class InstanceState:
    """State that the tasks of an instance share.

    Attributes:
        settings: Settings of the instance.
        chart_state: Current state in the `instance` chart.
        incarnation: Unique identifier of this process.
        catalog: Configuration in force.
        catalog_applied_ms: Time at which it came into force; 0 if none did.
        roster: Known instances and when each was last seen.
        pending_answers: Instances that have not answered a message yet.
        peer_addresses: Addresses for messages, by instance id.
        recent_senders: Most recent senders of messages, newest last.
        upstream_health: Health of the upstreams.
        retry_budgets: Budgets of extra calls, by service.
        router: Selects paths to upstreams.
        plan_context: State that query plans use.
        visible_since_ms: Time at which this process was first in the
            platform's instance list, or at which its last long pause ended, if
            later; 0 before both.
        renewal: Renewal of the ownership after the last long pause; None before
            the first one.
        is_renewing: Whether this instance owns nothing since that pause.
    """

    def __init__(
        self,
        settings: instance.InstanceSettings,
        hedge_policy: hedging.HedgePolicy,
    ):
        self.settings = settings
        self.chart_state = _CHART.initial
        self.incarnation = f"{settings.instance_id}-{secrets.token_hex(4)}"
        self.catalog = catalog.EMPTY
        self.catalog_applied_ms = 0.0
        self.roster = membership.Roster()
        self.pending_answers = membership.PendingAnswers()
        self.peer_addresses: dict[str, str] = {}
        self.recent_senders: collections.deque[member.Member] = (
            collections.deque(maxlen=RECENT_SENDER_LIMIT_COUNT)
        )
        self.upstream_health = health.HealthTracker()
        self.retry_budgets = budget.ServiceBudgets()
        self.router = routing.Router(settings.instance_id, self.upstream_health)
        self.plan_context = queryplan.QueryPlanContext(
            router=self.router,
            upstream_health=self.upstream_health,
            extra_call_budgets=self.retry_budgets,
            hedge_policy=hedge_policy,
            current_service=lambda name: self.catalog.services.get(name),
        )
        self.visible_since_ms = 0.0
        self.renewal: renewal.Renewal | None = None
        self.is_renewing = False
        self._last_refresh_ms = clock.now_ms()
        self._stops = stops.StopDetector(
            REFRESH_MS + timeouts.STOP_MIN_MS, self._last_refresh_ms
        )
        self._view: routing.RoutingView | None = None
        self._owned: frozenset[str] = frozenset()

    def apply_event(self, event: str) -> None:
        """Applies an event to the state chart and logs a change of state."""
        before = self.chart_state
        self.chart_state = _CHART.step(before, event)
        if self.chart_state != before:
            log.write(
                log.Event.INSTANCE_STATE,
                instance=self.settings.instance_id,
                before=before,
                after=self.chart_state,
                cause=event,
            )

    def is_ready(self) -> bool:
        """Returns whether the load balancer may send new requests."""
        return self.chart_state == "serving"

    def accepts_requests(self) -> bool:
        """Returns whether an arriving request is served."""
        return self.chart_state in ("serving", "leaving", "draining")

    def is_leaving(self) -> bool:
        """Returns whether this instance has announced that it is leaving."""
        return self.chart_state in ("leaving", "draining", "stopped")

    def own_member(self) -> member.Member:
        """Returns the member record that describes this instance to others."""
        return member.Member(
            instance_id=self.settings.instance_id,
            incarnation=self.incarnation,
            failure_domain=self.settings.failure_domain,
            peer_address=self.settings.peer_address,
            operator_address=self.settings.operator_address,
            leaving=self.is_leaving(),
        )

    def peer_address(self, instance_id: str) -> str | None:
        """Returns the address for messages to an instance, or None."""
        return self.peer_addresses.get(instance_id)

    def instance_id_at(self, peer_address: str) -> str:
        """Returns the id of the instance at an address, or an empty string."""
        for name, address in self.peer_addresses.items():
            if address == peer_address:
                return name
        return ""

    def owners_of(self, upstream_id: str) -> set[str]:
        """Returns the ids of the instances that call an upstream."""
        for service in self.catalog.services.values():
            if upstream_id in service.upstreams:
                paths = self.router.paths(service, upstream_id)
                return {path.instance_id for path in paths}
        return set()

    def merge_listed(
        self,
        members: tuple[member.Member, ...],
        read_started_ms: float,
        now_ms: float,
    ) -> None:
        """Merges the platform's instance list into the roster.

        Args:
            members: Instances on the list.
            read_started_ms: Time at which the read of the list began.
            now_ms: Current time.
        """
        self.roster = membership.merge_listed(self.roster, members, now_ms)
        self_listed = any(
            each.incarnation == self.incarnation for each in members
        )
        if self_listed and not self.visible_since_ms:
            self.visible_since_ms = now_ms
        self.peer_addresses = membership.addresses(self.roster)
        if self.is_renewing:
            self.renewal = renewal.with_listing(
                self.renewal,
                self.incarnation,
                members,
                self._domain_peers(now_ms),
                read_started_ms,
            )

    def _domain_peers(self, now_ms: float) -> dict[str, member.Member]:
        lag_ms = self.settings.platform.instance_list_lag_ms
        found = membership.latest(
            self.roster, self.settings.failure_domain, lag_ms, now_ms
        )
        found.pop(self.incarnation, None)
        return found

    def record_confirmation(self, number: int, incarnation: str) -> bool:
        """Records a peer's confirmation of this instance's ownership.

        Returns:
            Whether all peers have confirmed.
        """
        if self.renewal is None:
            return False
        self.renewal = renewal.with_confirmation(
            self.renewal, number, incarnation
        )
        return self.renewal.is_confirmed

    def record_message(self, sender: member.Member, now_ms: float) -> None:
        """Records that a message arrived from a peer."""
        if sender.incarnation == self.incarnation:
            return
        known = sender.incarnation in self.roster.sightings
        self.roster = membership.record_message(self.roster, sender, now_ms)
        self.pending_answers.record_response(sender.instance_id)
        self.recent_senders.append(sender)
        if not known:
            self.peer_addresses = membership.addresses(self.roster)

    def usable_members(self, now_ms: float) -> dict[str, member.Member]:
        """Returns the instances that may receive new work, by instance id."""
        return membership.usable(
            self.roster,
            self.pending_answers,
            self.settings.peers.suspect_after_ms,
            GONE_AFTER_LAGS_COUNT * self.settings.platform.instance_list_lag_ms,
            now_ms,
        )

    def refresh(self, own_relay: relay.Relay, now_ms: float) -> None:
        """Updates the routing view and renews the ownership of upstreams.

        Runs periodically. After the process was paused for longer than its
        ownership is valid, its routing view may be out of date: the instance
        then owns no upstream until its peers have confirmed its ownership, or
        for `instance_list_lag_ms`.

        Args:
            own_relay: Relay that receives the owned upstreams.
            now_ms: Current time.
        """
        lag_ms = self.settings.platform.instance_list_lag_ms
        valid_ms = OWNERSHIP_VALID_RATIO * lag_ms
        paused_ms = now_ms - self._last_refresh_ms
        self._last_refresh_ms = now_ms
        if stop_ms := self._stops.check(now_ms):
            self.roster = membership.delayed(self.roster, stop_ms, now_ms)
            self.pending_answers.delay(stop_ms, now_ms)
        if paused_ms > valid_ms:
            self._begin_renewal(paused_ms, now_ms)
        self.roster = membership.pruned(
            self.roster, RETENTION_LAGS_COUNT * max(lag_ms, 1.0), now_ms
        )
        self._update_view(now_ms)
        may_own = self._may_own(now_ms)
        if may_own and self.is_renewing:
            self._log_renewal(now_ms)
        owned = self._owned if may_own else frozenset()
        # Ownership is valid for at least 100 ms, whatever the lag of the list.
        own_relay.set_owned_upstreams(
            self.catalog, owned, now_ms + max(valid_ms, 100.0)
        )
        if may_own:
            self.apply_event("settled")

    def _begin_renewal(self, paused_ms: float, now_ms: float) -> None:
        log.write(log.Event.THAWED, paused_ms=paused_ms)
        if self.visible_since_ms:
            # An instance that was never listed is still invisible.
            self.visible_since_ms = now_ms
        number = self.renewal.number + 1 if self.renewal is not None else 1
        self.renewal = renewal.Renewal(number=number, resumed_ms=now_ms)
        self.is_renewing = True

    def _log_renewal(self, now_ms: float) -> None:
        self.is_renewing = False
        log.write(
            log.Event.OWNERSHIP_RENEWED,
            after_ms=round(now_ms - self.renewal.resumed_ms, 1),
            confirmed=self.renewal.is_confirmed,
        )

    def _may_own(self, now_ms: float) -> bool:
        """Returns whether this instance may use its shares of upstreams."""
        if self.renewal is not None and self.renewal.is_confirmed:
            return True
        lag_ms = self.settings.platform.instance_list_lag_ms
        return bool(self.visible_since_ms) and ownership.may_use_shares(
            self.visible_since_ms, lag_ms, now_ms
        )

    @property
    def owned_upstream_ids(self) -> frozenset[str]:
        """Upstreams that this instance owns once it may use its shares."""
        return self._owned

    def _update_view(self, now_ms: float) -> None:
        lag_ms = self.settings.platform.instance_list_lag_ms
        domains = {each.failure_domain for each in self._members()}
        domains.add(self.settings.failure_domain)
        recently_seen_by_domain = {
            domain: membership.recently_seen(
                self.roster, domain, lag_ms, now_ms
            )
            for domain in domains
        }
        view = routing.RoutingView(
            catalog=self.catalog,
            recently_seen=recently_seen_by_domain,
            usable=self.usable_members(now_ms),
            owner_count=self.settings.relay.owner_count,
            column_size_count=self.settings.relay.column_size_count,
        )
        if self._view is not None and _views_equal(view, self._view):
            return
        self._view = view
        self.router.set_view(view)
        self._owned = self._compute_owned_upstreams(view)
        log.write(
            log.Event.VIEW_CHANGED,
            usable_count=len(view.usable),
            owned_count=len(self._owned),
            revision=self.catalog.revision,
        )

    def _members(self) -> list[member.Member]:
        return [each.member for each in self.roster.sightings.values()]

    def _compute_owned_upstreams(
        self, view: routing.RoutingView
    ) -> frozenset[str]:
        domain = self.settings.failure_domain
        names = {*view.recently_seen.get(domain, ()), self.settings.instance_id}
        candidates = tuple(sorted(names))
        owned: set[str] = set()
        for service in self.catalog.services.values():
            for column in ownership.columns(service, view.column_size_count):
                if column.failure_domain != domain:
                    continue
                first = service.upstreams[column.upstream_ids[0]]
                count = ownership.owner_count_of(first, view.owner_count)
                owning = ownership.owners(column.column_id, candidates, count)
                if self.settings.instance_id in owning:
                    owned.update(column.upstream_ids)
        return frozenset(owned)

    def apply_catalog(self, current: catalog.Catalog, now_ms: float) -> None:
        """Replaces the configuration with a later revision.

        Raises:
            chart.BrokenInvariant: The revision is not later than the current
                one.
        """
        if current.revision <= self.catalog.revision:
            raise chart.BrokenInvariant(
                "a configuration revision must be later than the one in force"
            )
        self.catalog = current
        self.catalog_applied_ms = now_ms
        self.apply_event("configured")


def _views_equal(one: routing.RoutingView, other: routing.RoutingView) -> bool:
    """Returns whether two views are equal; compares catalogs by identity."""
    return (
        one.catalog is other.catalog
        and one.recently_seen == other.recently_seen
        and one.usable == other.usable
    )
