"""Chooses the upstream for a call, from what calls have shown.

Each upstream has a slowness: how long its calls take, relative to what calls of
the same route take elsewhere. The choice goes by slowness, by the calls that
this instance has out there, and by the price of crossing failure domains. A
belief fades towards "as fast as the others", so an upstream that was slow is
tried again without a separate probe.
"""

import collections
import collections.abc
import dataclasses

from hyssoptack.core import gatewaymessage
from hyssoptack.core import mechanism
from hyssoptack.core import traffic
from hyssoptack.policy import domaincover
from hyssoptack.policy import latencyestimate
from hyssoptack.policy import slowness
from hyssoptack.policy import upstreamstate
from hyssoptack.policy import warmup

DEFAULT_CALL_MS = 15.0
"""Assumed time of a call before any was measured."""

BASE_EJECTION_MS = 1_000.0
"""No calls for this long after a failure to connect; doubles up to the most."""

MAX_EJECTION_MS = 4_000.0
"""A crashed upstream's entry is gone after about this long."""

FAILURE_SLOWNESS_RATIO = 6.0
"""A failed call counts as one that took this many times the usual: upstreams
that fail part of their calls are then avoided like slow ones."""

COLD_RATIO = 1.6
"""How much slower an upstream is after its start."""

SHED_QUIET_MS = 150.0
"""An upstream that refused for want of room is left alone for about as long as
its queue takes to clear."""

SHED_SLOWNESS_RATIO = 6.0
"""A refused call counts as one that took this many times the usual, here and at
neighbours: an upstream that refuses time and again is worth avoiding across
failure domains, as each refusal costs an extra call of a scarce budget."""

CANCELLED_SLOWNESS_RATIO = 2.0
"""A call given up unanswered counts as one that took this many times as long as
it was waited for: half of those that last so long last longer still."""

SHARE_MAX_AGE_MS = 600.0
"""A call is told for about one round of telling; twice does no harm."""

LOCAL_FAULT_RATIO = 0.5
"""Where more than this part of the upstreams called of late looks slow, the
fault is more likely this instance's own, and nothing is told."""


PREFERRED_RATIO = 0.2
"""What a call to the preferred failure domain gains, in typical times: enough
to choose among upstreams that look alike, less than one slow call shows."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class LoadBalancerSettings:
    """How upstreams are weighed.

    Attributes:
        failure_domain: Where this instance runs.
        crossing_ratio: What a call to another failure domain must gain to be
            worth its network price, as a multiple of the route's typical time.
        mechanisms: What is at work.
    """

    failure_domain: str
    crossing_ratio: float
    mechanisms: mechanism.Mechanisms = mechanism.ALL_ENABLED


class LoadBalancer:
    """Standings of all listed upstreams."""

    def __init__(
        self,
        settings: LoadBalancerSettings,
        warmups: warmup.WarmupLimiter | None = None,
    ):
        """Makes the placing of one instance.

        Args:
            settings: How upstreams are weighed.
            warmups: What cold upstreams may get from here; None for no limit.
        """
        self.settings = settings
        self._warmups = warmups
        self.upstream_states: dict[str, upstreamstate.UpstreamState] = {}
        self._by_service: dict[str, list[upstreamstate.UpstreamState]] = {}
        self._typical: dict[str, latencyestimate.LatencyEstimate] = {}
        self._preferred: dict[tuple[str, ...], dict[str, str]] = {}

    def set_upstreams(
        self,
        upstreams: dict[str, traffic.Upstream],
        now_ms: float,
        restored_domains: frozenset[str] = frozenset(),
    ) -> None:
        """Replaces the list of upstreams; what calls have shown is kept.

        Args:
            upstreams: The upstreams that may be called.
            now_ms: The time now.
            restored_domains: Failure domains whose upstreams got nothing
                before: they may be cold, whatever their entries said then.
        """
        known = self.upstream_states
        self.upstream_states = {}
        self._by_service = {}
        self._preferred = {}
        for upstream_id, upstream in upstreams.items():
            standing = known.get(upstream_id)
            if standing is None:
                standing = upstreamstate.UpstreamState(upstream=upstream)
                standing.cold_until_ms = now_ms + self._cold_ms(
                    upstream, upstream.failure_domain in restored_domains
                )
            elif upstream.cold_ms != standing.upstream.cold_ms:
                self._note_cold(standing, upstream, now_ms)
            standing.upstream = upstream
            self.upstream_states[upstream_id] = standing
            listed = self._by_service.setdefault(upstream.service, [])
            listed.append(standing)

    def _cold_ms(self, upstream: traffic.Upstream, returning: bool) -> float:
        """Returns how much longer an upstream that is new here is cold."""
        if not returning or self._warmups is None:
            return upstream.cold_ms
        return max(upstream.cold_ms, self._warmups.warmup_ms(upstream.service))

    def _note_cold(
        self,
        standing: upstreamstate.UpstreamState,
        upstream: traffic.Upstream,
        now_ms: float,
    ) -> None:
        """Takes how much longer an upstream in use says that it is cold."""
        was_cold = standing.cold_until_ms > now_ms
        standing.cold_until_ms = now_ms + upstream.cold_ms
        if upstream.cold_ms and not was_cold and self._warmups is not None:
            self._warmups.on_upstream_cold(upstream, now_ms)

    def latency_of(self, route_name: str) -> latencyestimate.LatencyEstimate:
        """Returns what is known of a route's calls."""
        found = self._typical.get(route_name)
        if found is None:
            found = self._typical[route_name] = (
                latencyestimate.LatencyEstimate()
            )
        return found

    def choose(
        self,
        route_name: str,
        service: str,
        excluded_ids: frozenset[str],
        now_ms: float,
        own_domain_only: bool = False,
        preferred_domain: str = "",
        prefer_idle: bool = False,
        priority: int = 0,
    ) -> traffic.Upstream | None:
        """Returns the best upstream for a call.

        Args:
            route_name: The route, whose typical time is used.
            service: The service to call.
            excluded_ids: Upstreams that this request was sent to already.
            now_ms: The time now.
            own_domain_only: Whether only the own failure domain can be reached.
            preferred_domain: Among upstreams that look alike, one there.
            prefer_idle: Rather one that has no call of this instance in hand.
            priority: The request's urgency, 0 the most urgent.

        Returns:
            The upstream, or None if there is none left.
        """
        staying = [
            each
            for each in self._by_service.get(service, ())
            if each.upstream.upstream_id not in excluded_ids
            and not each.upstream.draining
            and not (own_domain_only and self._is_far(each))
            and self._bears(each, priority, now_ms)
        ]
        well = [each for each in staying if each.ejected_until_ms <= now_ms]
        # Where none looks well, the fault may be ours: any will do.
        candidates = well or staying
        if prefer_idle:
            quiet = [each for each in candidates if not each.in_flight_count]
            candidates = quiet or candidates
        if not candidates:
            return None
        typical_ms = self.latency_of(route_name).median_ms or DEFAULT_CALL_MS
        best = min(
            candidates,
            key=lambda each: (
                self._score(each, typical_ms, now_ms)
                - PREFERRED_RATIO
                * typical_ms
                * (each.upstream.failure_domain == preferred_domain)
            ),
        )
        return best.upstream

    def preferred_domains(self, services: tuple[str, ...]) -> dict[str, str]:
        """Returns the failure domain that each service's calls prefer.

        So that a query's calls into other domains go to few of them. Kept until
        the list changes: a query of 63 shards would look at 189 upstreams.
        """
        found = self._preferred.get(services)
        if found is None:
            domains = {
                service: {
                    each.upstream.failure_domain
                    for each in self._by_service.get(service, ())
                    if not each.upstream.draining
                }
                for service in services
            }
            found = domaincover.preferred_domains(
                self.settings.failure_domain, domains
            )
            self._preferred[services] = found
        return found

    def own_domain_covers(
        self, services: collections.abc.Iterable[str]
    ) -> bool:
        """Whether the own failure domain has an upstream for each service.

        Services that no upstream serves anywhere don't count.
        """
        staying = [
            [
                self._is_far(each)
                for each in self._by_service.get(service, ())
                if not each.upstream.draining
            ]
            for service in services
        ]
        return not any(far and all(far) for far in staying)

    def _score(
        self,
        standing: upstreamstate.UpstreamState,
        typical_ms: float,
        now_ms: float,
    ) -> float:
        upstream = standing.upstream
        at_work = self.settings.mechanisms
        expected_ms = typical_ms
        if at_work.slowness:
            expected_ms *= slowness.decayed_ratio(standing, now_ms)
        if at_work.cold_starts and standing.cold_until_ms > now_ms:
            expected_ms *= COLD_RATIO
        queue = max(0, standing.in_flight_count + 1 - upstream.slot_count)
        own_load = standing.in_flight_count / upstream.slot_count
        expected_ms *= 1.0 + 0.5 * own_load + queue / upstream.slot_count
        if at_work.shed_quiet and standing.shed_until_ms > now_ms:
            expected_ms += SHED_QUIET_MS
        if at_work.crossing_price and self._is_far(standing):
            expected_ms += self.settings.crossing_ratio * typical_ms
        return expected_ms

    def _is_far(self, standing: upstreamstate.UpstreamState) -> bool:
        own = self.settings.failure_domain
        return standing.upstream.failure_domain != own

    def _bears(
        self, standing: upstreamstate.UpstreamState, rank: int, now_ms: float
    ) -> bool:
        """Whether an upstream bears a request more from here."""
        if self._warmups is None or standing.cold_until_ms <= now_ms:
            return True
        return self._warmups.allows(standing.upstream, rank, now_ms)

    def usable_upstream(
        self, upstream_id: str, rank: int, now_ms: float
    ) -> traffic.Upstream | None:
        """Returns an upstream by its id; None if it may get nothing now."""
        standing = self.upstream_states.get(upstream_id)
        if standing is None or standing.upstream.draining:
            return None
        if not self._bears(standing, rank, now_ms):
            return None
        return standing.upstream

    def calls_to_share(
        self, now_ms: float
    ) -> dict[str, gatewaymessage.LatencySample]:
        """Returns the calls that neighbours should know of.

        Only this instance's own: what it was told would else go round for ever.
        """
        fresh = {
            upstream_id: standing.sample_to_share
            for upstream_id, standing in self.upstream_states.items()
            if now_ms - standing.last_sample_ms < SHARE_MAX_AGE_MS
        }
        news = {
            upstream_id: seen
            for upstream_id, seen in fresh.items()
            if seen is not None and now_ms - seen.end_ms < SHARE_MAX_AGE_MS
        }
        slow_count = sum(
            each.ratio > slowness.SLOW_RATIO and not each.was_shed
            for each in news.values()
        )
        if slow_count > max(1, LOCAL_FAULT_RATIO * len(fresh)):
            return {}
        return {
            upstream_id: gatewaymessage.LatencySample(
                ratio=round(seen.ratio, 1), age_ms=round(now_ms - seen.end_ms)
            )
            for upstream_id, seen in news.items()
        }

    def merge_neighbour_calls(
        self, seen_calls: dict[str, gatewaymessage.LatencySample], now_ms: float
    ) -> None:
        """Takes a neighbour's calls as if they were its own.

        With many instances each sees an upstream seldom: two slow calls show a
        slow upstream rather than a pause, whoever made them.
        """
        for upstream_id, call in seen_calls.items():
            standing = self.upstream_states.get(upstream_id)
            if standing is not None:
                end_ms = now_ms - call.age_ms
                slowness.record_call(standing, call.ratio, end_ms, now_ms)

    # What calls show.

    def begin_call(self, upstream_id: str, now_ms: float) -> None:
        """Notes a call that goes out."""
        standing = self.upstream_states.get(upstream_id)
        if standing is None:
            return
        standing.in_flight_count += 1
        if self._warmups is not None and standing.cold_until_ms > now_ms:
            self._warmups.record_sent(standing.upstream, now_ms)

    def end_call(self, upstream_id: str) -> None:
        """Notes that a call is over."""
        standing = self.upstream_states.get(upstream_id)
        if standing is not None and standing.in_flight_count:
            standing.in_flight_count -= 1

    def record_answer(
        self,
        route_name: str,
        upstream_id: str,
        elapsed_ms: float,
        now_ms: float,
    ) -> None:
        """Takes the time of an answered call."""
        typical = self.latency_of(route_name)
        typical.record(elapsed_ms)
        standing = self.upstream_states.get(upstream_id)
        if standing is None:
            return
        standing.failure_count = 0
        standing.ejected_until_ms = 0.0
        slowness.record_own_call(
            standing, elapsed_ms / typical.median_ms, now_ms
        )

    def record_cancelled(
        self,
        route_name: str,
        upstream_id: str,
        elapsed_ms: float,
        now_ms: float,
    ) -> None:
        """Takes a call given up unanswered; too early, it shows nothing."""
        standing = self.upstream_states.get(upstream_id)
        typical_ms = self.latency_of(route_name).median_ms
        if standing is None or not typical_ms:
            return
        ratio = CANCELLED_SLOWNESS_RATIO * elapsed_ms / typical_ms
        if ratio > slowness.SLOW_RATIO:
            slowness.record_own_call(standing, ratio, now_ms)

    def record_failure(self, upstream_id: str, now_ms: float) -> None:
        """Takes a call that the upstream failed."""
        standing = self.upstream_states.get(upstream_id)
        if standing is not None:
            slowness.record_own_call(standing, FAILURE_SLOWNESS_RATIO, now_ms)

    def record_connect_failure(self, upstream_id: str, now_ms: float) -> bool:
        """Takes a failure to connect; tells whether it ejects anew."""
        standing = self.upstream_states.get(upstream_id)
        if standing is None or not self.settings.mechanisms.ejection:
            return False
        anew = standing.ejected_until_ms <= now_ms
        if anew:
            standing.failure_count += 1
            wait_ms = BASE_EJECTION_MS * 2 ** (standing.failure_count - 1)
            standing.ejected_until_ms = now_ms + min(MAX_EJECTION_MS, wait_ms)
        return anew

    def record_shed(self, upstream_id: str, now_ms: float) -> None:
        """Takes a refusal for want of room."""
        standing = self.upstream_states.get(upstream_id)
        if standing is not None:
            standing.shed_until_ms = now_ms + SHED_QUIET_MS
            standing.sample_to_share = upstreamstate.CallSample(
                ratio=SHED_SLOWNESS_RATIO, end_ms=now_ms, was_shed=True
            )
            slowness.update_average(standing, SHED_SLOWNESS_RATIO, now_ms)
