"""What one instance knows; owned by the event loop's thread."""

import collections
import secrets

from hyssoptack.charts import chart
from hyssoptack.core import catalog
from hyssoptack.core import clock
from hyssoptack.core import member
from hyssoptack.events import log
from hyssoptack.policy import budget
from hyssoptack.policy import health
from hyssoptack.policy import hedging
from hyssoptack.policy import membership
from hyssoptack.policy import ownership
from hyssoptack.policy import queryplan
from hyssoptack.policy import routing
from hyssoptack.relay import relay
from hyssoptack.settings import instance

_CHART = chart.load("instance")
OWNERSHIP_VALID_RATIO = 0.5
"""Ownership not renewed for this part of the list's lag is over."""

GONE_AFTER_LAGS_COUNT = 2.0
"""Unseen for this many lags while the list is read: gone."""

RECENT_SENDER_LIMIT_COUNT = 16
"""Instances heard from last that heartbeats choose from to pass on."""

RETENTION_LAGS_COUNT = 10
"""Unseen incarnations are forgotten after this many lags."""


class InstanceState:
    """The shared knowledge of an instance's tasks."""

    def __init__(
        self,
        settings: instance.InstanceSettings,
        hedges: hedging.HedgePolicy,
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
            retry_budgets=self.retry_budgets,
            hedge_policy=hedges,
            current_service=lambda name: self.catalog.services.get(name),
        )
        self.visible_since_ms = 0.0
        self._refreshed_ms = clock.now_ms()
        self._view: routing.RoutingView | None = None
        self._owned: frozenset[str] = frozenset()

    def apply_event(self, event: str) -> None:
        """Steps the instance's state chart and logs the step."""
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
        """Tells whether the balancer may send new requests."""
        return self.chart_state == "serving"

    def accepts_requests(self) -> bool:
        """Tells whether a request that arrives is still served."""
        return self.chart_state in ("serving", "leaving", "draining")

    def is_leaving(self) -> bool:
        """Tells whether this instance has said that it leaves."""
        return self.chart_state in ("leaving", "draining", "stopped")

    def own_member(self) -> member.Member:
        """Returns this instance as others should know it."""
        return member.Member(
            instance_id=self.settings.instance_id,
            incarnation=self.incarnation,
            failure_domain=self.settings.failure_domain,
            peer_address=self.settings.peer_address,
            operator_address=self.settings.operator_address,
            leaving=self.is_leaving(),
        )

    def peer_address(self, instance_id: str) -> str | None:
        """Finds where to send messages for an instance."""
        return self.peer_addresses.get(instance_id)

    def instance_id_at(self, peer_address: str) -> str:
        """Finds whose address this is; empty when nobody's."""
        for name, address in self.peer_addresses.items():
            if address == peer_address:
                return name
        return ""

    def owners_of(self, upstream_id: str) -> set[str]:
        """Returns the instances that call an upstream."""
        for service in self.catalog.services.values():
            if upstream_id in service.upstreams:
                lanes = self.router.paths(service, upstream_id)
                return {lane.instance_id for lane in lanes}
        return set()

    def merge_listed(
        self, members: tuple[member.Member, ...], now_ms: float
    ) -> None:
        """Takes the platform's list."""
        self.roster = membership.merge_listed(self.roster, members, now_ms)
        mine = any(each.incarnation == self.incarnation for each in members)
        if mine and not self.visible_since_ms:
            self.visible_since_ms = now_ms
        self.peer_addresses = membership.addresses(self.roster)

    def record_message(self, sender: member.Member, now_ms: float) -> None:
        """Takes a sign of life of a peer."""
        if sender.incarnation == self.incarnation:
            return
        known = sender.incarnation in self.roster.sightings
        self.roster = membership.record_message(self.roster, sender, now_ms)
        self.pending_answers.record_response(sender.instance_id)
        self.recent_senders.append(sender)
        if not known:
            self.peer_addresses = membership.addresses(self.roster)

    def usable_members(self, now_ms: float) -> dict[str, member.Member]:
        """Returns the instances that may get new work."""
        return membership.usable(
            self.roster,
            self.pending_answers,
            self.settings.peers.suspect_after_ms,
            GONE_AFTER_LAGS_COUNT * self.settings.platform.instance_list_lag_ms,
            now_ms,
        )

    def refresh(self, owner: relay.Relay, now_ms: float) -> None:
        """Computes owners anew where the view changed; renews what is owned.

        Called often. A process that was stopped for long finds its view out of
        date and drops its shares until it has been visible anew.
        """
        lag_ms = self.settings.platform.instance_list_lag_ms
        valid_ms = OWNERSHIP_VALID_RATIO * lag_ms
        paused_ms = now_ms - self._refreshed_ms
        self._refreshed_ms = now_ms
        if paused_ms > valid_ms:
            log.write(log.Event.THAWED, paused_ms=paused_ms)
            self.visible_since_ms = now_ms
        self.roster = membership.pruned(
            self.roster, RETENTION_LAGS_COUNT * max(lag_ms, 1.0), now_ms
        )
        self._install_view(now_ms)
        settled = bool(self.visible_since_ms) and ownership.may_use_shares(
            self.visible_since_ms, lag_ms, now_ms
        )
        owned = self._owned if settled else frozenset()
        owner.set_owned_upstreams(
            self.catalog, owned, now_ms + max(valid_ms, 100.0)
        )
        if settled:
            self.apply_event("settled")

    def _install_view(self, now_ms: float) -> None:
        lag_ms = self.settings.platform.instance_list_lag_ms
        domains = {each.failure_domain for each in self._members()}
        domains.add(self.settings.failure_domain)
        assumed = {
            domain: membership.recently_seen(
                self.roster, domain, lag_ms, now_ms
            )
            for domain in domains
        }
        view = routing.RoutingView(
            catalog=self.catalog,
            recently_seen=assumed,
            usable=self.usable_members(now_ms),
            owner_count=self.settings.relay.owner_count,
            column_size_count=self.settings.relay.column_size_count,
        )
        if self._view is not None and _same_view(view, self._view):
            return
        self._view = view
        self.router.install(view)
        self._owned = self._upstreams_owned(view)
        log.write(
            log.Event.VIEW_CHANGED,
            usable_count=len(view.usable),
            owned_count=len(self._owned),
            revision=self.catalog.revision,
        )

    def _members(self) -> list[member.Member]:
        return [each.member for each in self.roster.sightings.values()]

    def _upstreams_owned(self, view: routing.RoutingView) -> frozenset[str]:
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
        """Replaces the configuration by a later revision.

        Raises:
            chart.BrokenInvariant: The revision is not later.
        """
        if current.revision <= self.catalog.revision:
            raise chart.BrokenInvariant("a revision would step down")
        self.catalog = current
        self.catalog_applied_ms = now_ms
        self.apply_event("configured")


def _same_view(one: routing.RoutingView, other: routing.RoutingView) -> bool:
    """Compares views cheaply: catalogs by identity."""
    return (
        one.catalog is other.catalog
        and one.recently_seen == other.recently_seen
        and one.usable == other.usable
    )
