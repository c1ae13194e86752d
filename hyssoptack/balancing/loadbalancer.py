"""Chooses the upstream for each call from the results of earlier calls.

Each upstream has a slowness ratio: the time of its calls divided by the typical
time of calls on the same route. The score of an upstream combines this ratio,
the number of calls that this instance has in flight to it, and the cost of
crossing failure domains. Without new calls the ratio decays towards 1, so a
slow upstream is tried again without a separate probe.
"""

import collections
import collections.abc
import dataclasses

from hyssoptack.balancing import domaincover
from hyssoptack.balancing import latencyestimate
from hyssoptack.balancing import slowness
from hyssoptack.balancing import upstreamstate
from hyssoptack.balancing import warmup
from hyssoptack.core import gatewaymessage
from hyssoptack.core import mechanism
from hyssoptack.core import traffic
from hyssoptack.planning import backoff

DEFAULT_CALL_MS = 15.0
"""Assumed time of a call before any call of the route was answered."""

BASE_EJECTION_MS = 1_000.0
"""Duration of the first ejection after a failure to connect. Each further
failure in a row doubles it, up to `MAX_EJECTION_MS`."""

MAX_EJECTION_MS = 4_000.0
"""Longest ejection: the entry of a crashed upstream expires after about this
long."""

_EJECTION = backoff.Backoff(min_ms=BASE_EJECTION_MS, max_ms=MAX_EJECTION_MS)

FAILURE_SLOWNESS_RATIO = 6.0
"""A failed call counts as one that took this many times the typical time, so
that upstreams that fail some of their calls are avoided like slow ones."""

COLD_RATIO = 1.6
"""How many times slower an upstream is while it warms up after a start."""

SHED_PENALTY_MS = 150.0
"""Time added to the score of an upstream that shed a call, and how long it is
added: about the time that the upstream's queue takes to clear."""

SHED_SLOWNESS_RATIO = 6.0
"""A shed call counts as one that took this many times the typical time, at this
instance and its neighbours. Each shed call costs an extra call from a small
budget, so an upstream that sheds repeatedly is avoided even where that means
calling another failure domain."""

CANCELLED_SLOWNESS_RATIO = 2.0
"""A call cancelled before its answer counts as one that took this many times
the time waited: half of the calls that last so long last longer still."""

SHARE_MAX_AGE_MS = 600.0
"""Maximum age of a call that is shared with neighbours: about one sharing
interval. Sharing a call twice does no harm."""

LOCAL_FAULT_RATIO = 0.5
"""Largest share of the recently called upstreams that may look slow. Above it
the fault is more likely in this instance, and no calls are shared."""


PREFERRED_RATIO = 0.2
"""Bonus in the score for the preferred failure domain, as a multiple of the
typical time: enough to choose among upstreams with similar scores, less than
the effect of one slow call."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class LoadBalancerSettings:
    """Settings for the choice of an upstream.

    Attributes:
        failure_domain: The failure domain of this instance.
        crossing_ratio: Time that a call to another failure domain must save
            to be worth its network cost, as a multiple of the route's typical
            time.
        mechanisms: The mechanisms that are enabled.
    """

    failure_domain: str
    crossing_ratio: float
    mechanisms: mechanism.Mechanisms = mechanism.ALL_ENABLED


class LoadBalancer:
    """Keeps the state of all listed upstreams and chooses among them.

    Attributes:
        settings: The settings for the choice of an upstream.
        upstream_states: The state of each listed upstream, by its id.
    """

    def __init__(
        self,
        settings: LoadBalancerSettings,
        warmups: warmup.WarmupLimiter | None = None,
    ):
        """Creates the load balancer of one instance.

        Args:
            settings: The settings for the choice of an upstream.
            warmups: Limits the requests to cold upstreams; None for no limit.
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
        """Replaces the list of upstreams, keeping the state of known ones.

        Args:
            upstreams: The upstreams that may be called.
            now_ms: The time now.
            restored_domains: Failure domains whose upstreams received no
                calls until now. Their upstreams may be cold, whatever their
                entries say.
        """
        known = self.upstream_states
        self.upstream_states = {}
        self._by_service = {}
        self._preferred = {}
        for upstream_id, upstream in upstreams.items():
            state = known.get(upstream_id)
            if state is None:
                state = upstreamstate.UpstreamState(upstream=upstream)
                state.cold_until_ms = now_ms + self._cold_ms(
                    upstream, upstream.failure_domain in restored_domains
                )
            elif upstream.cold_ms != state.upstream.cold_ms:
                self._update_cold(state, upstream, now_ms)
            state.upstream = upstream
            self.upstream_states[upstream_id] = state
            listed = self._by_service.setdefault(upstream.service, [])
            listed.append(state)

    def _cold_ms(self, upstream: traffic.Upstream, restored: bool) -> float:
        """Returns the remaining warm-up time of a newly listed upstream."""
        if not restored or self._warmups is None:
            return upstream.cold_ms
        return max(upstream.cold_ms, self._warmups.warmup_ms(upstream.service))

    def _update_cold(
        self,
        state: upstreamstate.UpstreamState,
        upstream: traffic.Upstream,
        now_ms: float,
    ) -> None:
        """Updates the warm-up end of a known upstream from its new entry."""
        was_cold = state.cold_until_ms > now_ms
        state.cold_until_ms = now_ms + upstream.cold_ms
        if upstream.cold_ms and not was_cold and self._warmups is not None:
            self._warmups.on_upstream_cold(upstream, now_ms)

    def latency_of(self, route_name: str) -> latencyestimate.LatencyEstimate:
        """Returns the latency estimate of a route, creating it if needed."""
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
        local_domain_only: bool = False,
        preferred_domain: str = "",
        prefer_idle: bool = False,
        priority: int = 0,
    ) -> traffic.Upstream | None:
        """Returns the best upstream for a call.

        Args:
            route_name: The route whose typical call time is used.
            service: The service to call.
            excluded_ids: Ids of upstreams that must not be chosen, such as
                those that this request was already sent to.
            now_ms: The time now.
            local_domain_only: Whether only upstreams in the failure domain of
                this instance may be chosen.
            preferred_domain: The failure domain to prefer among upstreams with
                similar scores; empty for none.
            prefer_idle: Whether to prefer upstreams without a call of this
                instance in flight.
            priority: The priority of the request, 0 the most urgent.

        Returns:
            The upstream, or None if none may be called.
        """
        eligible = [
            each
            for each in self._by_service.get(service, ())
            if each.upstream.upstream_id not in excluded_ids
            and not each.upstream.draining
            and not (local_domain_only and self._is_cross_domain(each))
            and self._may_send(each, priority, now_ms)
        ]
        available = [
            each for each in eligible if each.ejected_until_ms <= now_ms
        ]
        # If all are ejected, the fault may be in this instance: use any.
        candidates = available or eligible
        if prefer_idle:
            idle = [each for each in candidates if not each.in_flight_count]
            candidates = idle or candidates
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
        """Returns the preferred failure domain for calls to each service.

        The preference concentrates a query's calls to other domains on few of
        them. The result is cached until the list of upstreams changes, because
        a query of 63 shards would otherwise examine 189 upstreams.
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

    def local_domain_covers(
        self, services: collections.abc.Iterable[str]
    ) -> bool:
        """Returns whether the local failure domain serves all given services.

        Services without an upstream in any failure domain are ignored.
        """
        cross_domain_flags = [
            [
                self._is_cross_domain(each)
                for each in self._by_service.get(service, ())
                if not each.upstream.draining
            ]
            for service in services
        ]
        return not any(each and all(each) for each in cross_domain_flags)

    def _score(
        self,
        state: upstreamstate.UpstreamState,
        typical_ms: float,
        now_ms: float,
    ) -> float:
        upstream = state.upstream
        mechanisms = self.settings.mechanisms
        expected_ms = typical_ms
        if mechanisms.slowness:
            expected_ms *= slowness.decayed_ratio(state, now_ms)
        if mechanisms.cold_starts and state.cold_until_ms > now_ms:
            expected_ms *= COLD_RATIO
        queue = max(0, state.in_flight_count + 1 - upstream.slot_count)
        own_load = state.in_flight_count / upstream.slot_count
        expected_ms *= 1.0 + 0.5 * own_load + queue / upstream.slot_count
        if mechanisms.shed_quiet and state.shed_until_ms > now_ms:
            expected_ms += SHED_PENALTY_MS
        if mechanisms.crossing_price and self._is_cross_domain(state):
            expected_ms += self.settings.crossing_ratio * typical_ms
        return expected_ms

    def _is_cross_domain(self, state: upstreamstate.UpstreamState) -> bool:
        own = self.settings.failure_domain
        return state.upstream.failure_domain != own

    def _may_send(
        self, state: upstreamstate.UpstreamState, priority: int, now_ms: float
    ) -> bool:
        """Returns whether the warm-up limit allows one more request."""
        if self._warmups is None or state.cold_until_ms <= now_ms:
            return True
        return self._warmups.allows(state.upstream, priority, now_ms)

    def usable_upstream(
        self, upstream_id: str, priority: int, now_ms: float
    ) -> traffic.Upstream | None:
        """Returns an upstream by its id; None if it may not be called now."""
        state = self.upstream_states.get(upstream_id)
        if state is None or state.upstream.draining:
            return None
        if not self._may_send(state, priority, now_ms):
            return None
        return state.upstream

    def calls_to_share(
        self, now_ms: float
    ) -> dict[str, gatewaymessage.LatencySample]:
        """Returns the recent calls to share with neighbours, by upstream id.

        Only calls of this instance are shared; calls reported by neighbours
        would otherwise circulate forever.
        """
        recently_called = {
            upstream_id: state.sample_to_share
            for upstream_id, state in self.upstream_states.items()
            if now_ms - state.last_sample_ms < SHARE_MAX_AGE_MS
        }
        recent = {
            upstream_id: seen
            for upstream_id, seen in recently_called.items()
            if seen is not None and now_ms - seen.end_ms < SHARE_MAX_AGE_MS
        }
        slow_count = sum(
            each.ratio > slowness.SLOW_RATIO and not each.was_shed
            for each in recent.values()
        )
        if slow_count > max(1, LOCAL_FAULT_RATIO * len(recently_called)):
            return {}
        return {
            upstream_id: gatewaymessage.LatencySample(
                ratio=round(seen.ratio, 1), age_ms=round(now_ms - seen.end_ms)
            )
            for upstream_id, seen in recent.items()
        }

    def merge_neighbour_calls(
        self, seen_calls: dict[str, gatewaymessage.LatencySample], now_ms: float
    ) -> None:
        """Records calls of a neighbour as if this instance had made them.

        With many instances each one calls an upstream rarely. Two slow calls
        indicate a slow upstream rather than a pause, whichever instance made
        them.
        """
        for upstream_id, call in seen_calls.items():
            state = self.upstream_states.get(upstream_id)
            if state is not None:
                end_ms = now_ms - call.age_ms
                slowness.record_call(state, call.ratio, end_ms, now_ms)

    # Results of calls.

    def begin_call(self, upstream_id: str, now_ms: float) -> None:
        """Counts a call that is sent to an upstream."""
        state = self.upstream_states.get(upstream_id)
        if state is None:
            return
        state.in_flight_count += 1
        if self._warmups is not None and state.cold_until_ms > now_ms:
            self._warmups.record_sent(state.upstream, now_ms)

    def end_call(self, upstream_id: str) -> None:
        """Ends a call that `begin_call` counted."""
        state = self.upstream_states.get(upstream_id)
        if state is not None and state.in_flight_count:
            state.in_flight_count -= 1

    def record_answer(
        self,
        route_name: str,
        upstream_id: str,
        elapsed_ms: float,
        now_ms: float,
    ) -> None:
        """Records the time of an answered call."""
        typical = self.latency_of(route_name)
        typical.record(elapsed_ms)
        state = self.upstream_states.get(upstream_id)
        if state is None:
            return
        state.failure_count = 0
        state.ejected_until_ms = 0.0
        slowness.record_own_call(state, elapsed_ms / typical.median_ms, now_ms)

    def record_cancelled(
        self,
        route_name: str,
        upstream_id: str,
        elapsed_ms: float,
        now_ms: float,
    ) -> None:
        """Records a call that was cancelled before its answer.

        It counts only if the time waited already indicates a slow call.
        """
        state = self.upstream_states.get(upstream_id)
        typical_ms = self.latency_of(route_name).median_ms
        if state is None or not typical_ms:
            return
        ratio = CANCELLED_SLOWNESS_RATIO * elapsed_ms / typical_ms
        if ratio > slowness.SLOW_RATIO:
            slowness.record_own_call(state, ratio, now_ms)

    def record_failure(self, upstream_id: str, now_ms: float) -> None:
        """Records a call that failed at the upstream."""
        state = self.upstream_states.get(upstream_id)
        if state is not None:
            slowness.record_own_call(state, FAILURE_SLOWNESS_RATIO, now_ms)

    def record_connect_failure(self, upstream_id: str, now_ms: float) -> bool:
        """Records a failure to connect.

        Returns:
            Whether the failure starts an ejection.
        """
        state = self.upstream_states.get(upstream_id)
        if state is None or not self.settings.mechanisms.ejection:
            return False
        newly_ejected = state.ejected_until_ms <= now_ms
        if newly_ejected:
            state.failure_count += 1
            wait_ms = _EJECTION.wait_ms(state.failure_count - 1)
            state.ejected_until_ms = now_ms + wait_ms
        return newly_ejected

    def record_shed(self, upstream_id: str, now_ms: float) -> None:
        """Records a call that the upstream shed because it was full."""
        state = self.upstream_states.get(upstream_id)
        if state is not None:
            state.shed_until_ms = now_ms + SHED_PENALTY_MS
            state.sample_to_share = upstreamstate.CallSample(
                ratio=SHED_SLOWNESS_RATIO, end_ms=now_ms, was_shed=True
            )
            slowness.update_average(state, SHED_SLOWNESS_RATIO, now_ms)
