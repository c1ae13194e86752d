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

from hyssoptack.core import mechanism
from hyssoptack.core import notice
from hyssoptack.core import traffic
from hyssoptack.policy import covering
from hyssoptack.policy import slowness
from hyssoptack.policy import standings
from hyssoptack.policy import typicals
from hyssoptack.policy import warmup

PRIOR_MS = 15.0
"""Assumed time of a call before any was measured."""

EJECTION_MS = 1_000.0
"""No calls for this long after a failure to connect; doubles up to the most."""

EJECTION_MAX_MS = 4_000.0
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

OUTLASTED_RATIO = 2.0
"""A call given up unanswered counts as one that took this many times as long as
it was waited for: half of those that last so long last longer still."""

TELL_FRESH_MS = 600.0
"""A call is told for about one round of telling; twice does no harm."""

OWN_FAULT_RATIO = 0.5
"""Where more than this part of the upstreams called of late looks slow, the
fault is more likely this instance's own, and nothing is told."""


PREFERRED_RATIO = 0.2
"""What a call to the preferred failure domain gains, in typical times: enough
to choose among upstreams that look alike, less than one slow call shows."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class PlacingSettings:
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


class Placing:
    """Standings of all listed upstreams."""

    def __init__(
        self, settings: PlacingSettings, warmups: warmup.Warmups | None = None
    ):
        """Makes the placing of one instance.

        Args:
            settings: How upstreams are weighed.
            warmups: What cold upstreams may get from here; None for no limit.
        """
        self.settings = settings
        self._warmups = warmups
        self.standings: dict[str, standings.Standing] = {}
        self._by_service: dict[str, list[standings.Standing]] = {}
        self._typical: dict[str, typicals.Typical] = {}
        self._preferred: dict[tuple[str, ...], dict[str, str]] = {}

    def install(
        self,
        upstreams: dict[str, traffic.Upstream],
        now_ms: float,
        returning: frozenset[str] = frozenset(),
    ) -> None:
        """Replaces the list of upstreams; what calls have shown is kept.

        Args:
            upstreams: The upstreams that may be called.
            now_ms: The time now.
            returning: Failure domains whose upstreams got nothing before: they
                may be cold, whatever their entries said then.
        """
        known = self.standings
        self.standings = {}
        self._by_service = {}
        self._preferred = {}
        for upstream_id, upstream in upstreams.items():
            standing = known.get(upstream_id)
            if standing is None:
                standing = standings.Standing(upstream=upstream)
                standing.cold_until_ms = now_ms + self._cold_ms(
                    upstream, upstream.failure_domain in returning
                )
            elif upstream.cold_ms != standing.upstream.cold_ms:
                self._note_cold(standing, upstream, now_ms)
            standing.upstream = upstream
            self.standings[upstream_id] = standing
            listed = self._by_service.setdefault(upstream.service, [])
            listed.append(standing)

    def _cold_ms(self, upstream: traffic.Upstream, returning: bool) -> float:
        """Returns how much longer an upstream that is new here is cold."""
        if not returning or self._warmups is None:
            return upstream.cold_ms
        return max(upstream.cold_ms, self._warmups.warmup_ms(upstream.service))

    def _note_cold(
        self,
        standing: standings.Standing,
        upstream: traffic.Upstream,
        now_ms: float,
    ) -> None:
        """Takes how much longer an upstream in use says that it is cold."""
        was_cold = standing.cold_until_ms > now_ms
        standing.cold_until_ms = now_ms + upstream.cold_ms
        if upstream.cold_ms and not was_cold and self._warmups is not None:
            self._warmups.note_cold(upstream, now_ms)

    def typical(self, route_name: str) -> typicals.Typical:
        """Returns what is known of a route's calls."""
        found = self._typical.get(route_name)
        if found is None:
            found = self._typical[route_name] = typicals.Typical()
        return found

    def choose(
        self,
        route_name: str,
        service: str,
        tried: frozenset[str],
        now_ms: float,
        near_only: bool = False,
        preferred_domain: str = "",
        idle: bool = False,
        rank: int = 0,
    ) -> traffic.Upstream | None:
        """Returns the best upstream for a call.

        Args:
            route_name: The route, whose typical time is used.
            service: The service to call.
            tried: Upstreams that this request was sent to already.
            now_ms: The time now.
            near_only: Whether only the own failure domain can be reached.
            preferred_domain: Among upstreams that look alike, one there.
            idle: Rather one that has no call of this instance in hand.
            rank: The request's urgency, 0 the most urgent.

        Returns:
            The upstream, or None if there is none left.
        """
        staying = [
            each
            for each in self._by_service.get(service, ())
            if each.upstream.upstream_id not in tried
            and not each.upstream.draining
            and not (near_only and self._is_far(each))
            and self._bears(each, rank, now_ms)
        ]
        well = [each for each in staying if each.ejected_until_ms <= now_ms]
        # Where none looks well, the fault may be ours: any will do.
        candidates = well or staying
        if idle:
            quiet = [each for each in candidates if not each.in_flight_count]
            candidates = quiet or candidates
        if not candidates:
            return None
        typical_ms = self.typical(route_name).median_ms or PRIOR_MS
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

    def preferred(self, services: tuple[str, ...]) -> dict[str, str]:
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
            found = covering.preferred(self.settings.failure_domain, domains)
            self._preferred[services] = found
        return found

    def covers_near(self, services: collections.abc.Iterable[str]) -> bool:
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
        self, standing: standings.Standing, typical_ms: float, now_ms: float
    ) -> float:
        upstream = standing.upstream
        at_work = self.settings.mechanisms
        expected_ms = typical_ms
        if at_work.slowness:
            expected_ms *= slowness.of(standing, now_ms)
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

    def _is_far(self, standing: standings.Standing) -> bool:
        own = self.settings.failure_domain
        return standing.upstream.failure_domain != own

    def _bears(
        self, standing: standings.Standing, rank: int, now_ms: float
    ) -> bool:
        """Whether an upstream bears a request more from here."""
        if self._warmups is None or standing.cold_until_ms <= now_ms:
            return True
        return self._warmups.allows(standing.upstream, rank, now_ms)

    def usable(
        self, upstream_id: str, rank: int, now_ms: float
    ) -> traffic.Upstream | None:
        """Returns an upstream by its id; None if it may get nothing now."""
        standing = self.standings.get(upstream_id)
        if standing is None or standing.upstream.draining:
            return None
        if not self._bears(standing, rank, now_ms):
            return None
        return standing.upstream

    def seen_calls(self, now_ms: float) -> dict[str, notice.LatencySample]:
        """Returns the calls that neighbours should know of.

        Only this instance's own: what it was told would else go round for ever.
        """
        fresh = {
            upstream_id: standing.own_call
            for upstream_id, standing in self.standings.items()
            if now_ms - standing.measured_ms < TELL_FRESH_MS
        }
        news = {
            upstream_id: seen
            for upstream_id, seen in fresh.items()
            if seen is not None and now_ms - seen.end_ms < TELL_FRESH_MS
        }
        slow_count = sum(
            each.ratio > slowness.SLOW_RATIO and not each.refused
            for each in news.values()
        )
        if slow_count > max(1, OWN_FAULT_RATIO * len(fresh)):
            return {}
        return {
            upstream_id: notice.LatencySample(
                ratio=round(seen.ratio, 1), age_ms=round(now_ms - seen.end_ms)
            )
            for upstream_id, seen in news.items()
        }

    def told(
        self, seen_calls: dict[str, notice.LatencySample], now_ms: float
    ) -> None:
        """Takes a neighbour's calls as if they were its own.

        With many instances each sees an upstream seldom: two slow calls show a
        slow upstream rather than a pause, whoever made them.
        """
        for upstream_id, call in seen_calls.items():
            standing = self.standings.get(upstream_id)
            if standing is not None:
                end_ms = now_ms - call.age_ms
                slowness.take(standing, call.ratio, end_ms, now_ms)

    # What calls show.

    def sent(self, upstream_id: str, now_ms: float) -> None:
        """Notes a call that goes out."""
        standing = self.standings.get(upstream_id)
        if standing is None:
            return
        standing.in_flight_count += 1
        if self._warmups is not None and standing.cold_until_ms > now_ms:
            self._warmups.note_sent(standing.upstream, now_ms)

    def ended(self, upstream_id: str) -> None:
        """Notes that a call is over."""
        standing = self.standings.get(upstream_id)
        if standing is not None and standing.in_flight_count:
            standing.in_flight_count -= 1

    def answered(
        self,
        route_name: str,
        upstream_id: str,
        elapsed_ms: float,
        now_ms: float,
    ) -> None:
        """Takes the time of an answered call."""
        typical = self.typical(route_name)
        typical.note(elapsed_ms)
        standing = self.standings.get(upstream_id)
        if standing is None:
            return
        standing.failure_count = 0
        standing.ejected_until_ms = 0.0
        slowness.measure(standing, elapsed_ms / typical.median_ms, now_ms)

    def outlasted(
        self,
        route_name: str,
        upstream_id: str,
        elapsed_ms: float,
        now_ms: float,
    ) -> None:
        """Takes a call given up unanswered; too early, it shows nothing."""
        standing = self.standings.get(upstream_id)
        typical_ms = self.typical(route_name).median_ms
        if standing is None or not typical_ms:
            return
        ratio = OUTLASTED_RATIO * elapsed_ms / typical_ms
        if ratio > slowness.SLOW_RATIO:
            slowness.measure(standing, ratio, now_ms)

    def failed(self, upstream_id: str, now_ms: float) -> None:
        """Takes a call that the upstream failed."""
        standing = self.standings.get(upstream_id)
        if standing is not None:
            slowness.measure(standing, FAILURE_SLOWNESS_RATIO, now_ms)

    def unreachable(self, upstream_id: str, now_ms: float) -> bool:
        """Takes a failure to connect; tells whether it ejects anew."""
        standing = self.standings.get(upstream_id)
        if standing is None or not self.settings.mechanisms.ejection:
            return False
        anew = standing.ejected_until_ms <= now_ms
        if anew:
            standing.failure_count += 1
            wait_ms = EJECTION_MS * 2 ** (standing.failure_count - 1)
            standing.ejected_until_ms = now_ms + min(EJECTION_MAX_MS, wait_ms)
        return anew

    def shed(self, upstream_id: str, now_ms: float) -> None:
        """Takes a refusal for want of room."""
        standing = self.standings.get(upstream_id)
        if standing is not None:
            standing.shed_until_ms = now_ms + SHED_QUIET_MS
            standing.own_call = standings.MeasuredCall(
                ratio=SHED_SLOWNESS_RATIO, end_ms=now_ms, refused=True
            )
            slowness.blend(standing, SHED_SLOWNESS_RATIO, now_ms)
