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
from hyssoptack.policy import typicals

PRIOR_MS = 15.0
"""Assumed time of a call before any was measured: the middle of what the users'
services take (4 to 30 ms); one call replaces it."""

SMOOTHING_RATIO = 0.25
"""Weight of the newest call in an upstream's slowness: some slow calls in a row
show a slow upstream, one pause of it does not."""

SLOWNESS_MAX_RATIO = 6.0
"""A call is taken as at most this many times slow, or one long pause would
outweigh dozens of quick calls."""

SLOW_RATIO = 2.5
"""From here on a call counts as slow rather than as one of the usual spread:
1 call in 100 of the users' services is slower than this by itself."""

PAUSE_MS = 200.0
"""Slow calls within this time count once: an upstream that pauses, for 100 to
200 ms each few seconds, delays all calls that it has, and is well after it."""

FADE_HALF_LIFE_MS = 4_000.0
"""How fast a slowness is forgotten without calls: slow spells last 5 to 10 s on
the users' days, so a slow upstream is tried once or twice during one. With half
of it each instance tried it every 1.5 s."""

EJECTION_MS = 1_000.0
"""No calls for this long after a failure to connect; doubles up to the most."""

EJECTION_MAX_MS = 4_000.0
"""A crashed upstream's entry is gone after about this long."""

FAILURE_SLOWNESS_RATIO = 6.0
"""A failed call counts as one that took this many times the usual: upstreams
that fail part of their calls are then avoided like slow ones."""

COLD_RATIO = 1.6
"""How much slower an upstream is after its start (users' site files)."""

SHED_QUIET_MS = 150.0
"""An upstream that refused for want of room is left alone for about as long as
its queue takes to clear: 18 calls on 3 slots of 10 to 30 ms."""

SHED_SLOWNESS_RATIO = 6.0
"""A refused call counts as one that took this many times the usual, here and at
neighbours: an upstream that refuses time and again is worth avoiding across
failure domains, as each refusal costs an extra call of a scarce budget."""

OUTLASTED_RATIO = 2.0
"""A call given up unanswered counts as one that took this many times as long as
it was waited for: half of those that last so long last longer still."""

TELL_FRESH_MS = 600.0
"""A call is told for about one round of telling; twice does no harm."""

SUSPECT_RATIO = 1.3
"""Of an upstream that looks this slow quick calls are told as well: a pause is
then forgotten by all at once, and so is a slow spell that has ended."""

OWN_FAULT_RATIO = 0.5
"""Where more than this part of the upstreams called of late looks slow, the
fault is more likely this instance's own, and nothing is told."""


PREFERRED_RATIO = 0.2
"""What a call to the preferred failure domain gains, in typical times: enough
to choose among upstreams that look alike, less than one slow call shows (0.25
of what it was slower)."""


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
    mechanisms: mechanism.Mechanisms = mechanism.ALL


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Seen:
    """One call: how many times the usual it took, and when it ended.

    `refused` tells one that the upstream itself refused: no fault of ours.
    """

    ratio: float
    end_ms: float
    refused: bool = False


@dataclasses.dataclass(kw_only=True)
class Standing:
    """What is known of one upstream.

    Attributes:
        upstream: The entry that lists it.
        cold_until_ms: When it stops being slow after its start.
        slowness_ratio: Smoothed time of its calls over the typical one.
        measured_ms: When a call last told something.
        in_flight_count: Calls of this instance that are out.
        failure_count: Failures to connect in a row.
        ejected_until_ms: No calls before this time.
        shed_until_ms: Lately had no room; others are preferred until then.
        slow_ms: When a slow call that counted last ended, here or elsewhere.
        quick_ms: When an own call last was quick.
        own_call: The last own call that neighbours should know of.
    """

    upstream: traffic.Upstream
    cold_until_ms: float = 0.0
    slowness_ratio: float = 1.0
    measured_ms: float = 0.0
    in_flight_count: int = 0
    failure_count: int = 0
    ejected_until_ms: float = 0.0
    shed_until_ms: float = 0.0
    slow_ms: float = float("-inf")
    quick_ms: float = float("-inf")
    own_call: "_Seen | None" = None


class Placing:
    """Standings of all listed upstreams."""

    def __init__(self, settings: PlacingSettings):
        self.settings = settings
        self.standings: dict[str, Standing] = {}
        self._by_service: dict[str, list[Standing]] = {}
        self._typical: dict[str, typicals.Typical] = {}
        self._preferred: dict[tuple[str, ...], dict[str, str]] = {}

    def install(
        self, upstreams: dict[str, traffic.Upstream], now_ms: float
    ) -> None:
        """Replaces the list of upstreams; what calls have shown is kept."""
        known = self.standings
        self.standings = {}
        self._by_service = {}
        self._preferred = {}
        for upstream_id, upstream in upstreams.items():
            standing = known.get(upstream_id)
            if standing is None:
                standing = Standing(upstream=upstream)
                standing.cold_until_ms = now_ms + upstream.cold_ms
            elif upstream.cold_ms != standing.upstream.cold_ms:
                standing.cold_until_ms = now_ms + upstream.cold_ms
            standing.upstream = upstream
            self.standings[upstream_id] = standing
            listed = self._by_service.setdefault(upstream.service, [])
            listed.append(standing)

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

        Returns:
            The upstream, or None if there is none left.
        """
        staying = [
            each
            for each in self._by_service.get(service, ())
            if each.upstream.upstream_id not in tried
            and not each.upstream.draining
            and not (near_only and self._is_far(each))
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
        self, standing: Standing, typical_ms: float, now_ms: float
    ) -> float:
        upstream = standing.upstream
        at_work = self.settings.mechanisms
        expected_ms = typical_ms
        if at_work.slowness:
            expected_ms *= self.slowness(standing, now_ms)
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

    def _is_far(self, standing: Standing) -> bool:
        own = self.settings.failure_domain
        return standing.upstream.failure_domain != own

    def slowness(self, standing: Standing, now_ms: float) -> float:
        """Returns an upstream's slowness, faded by the age of its last call."""
        age_ms = now_ms - standing.measured_ms
        weight = 0.5 ** (age_ms / FADE_HALF_LIFE_MS)
        return 1.0 + weight * (standing.slowness_ratio - 1.0)

    def listed(self, upstream_id: str) -> traffic.Upstream | None:
        """Returns an upstream that is listed and does not leave."""
        standing = self.standings.get(upstream_id)
        if standing is None or standing.upstream.draining:
            return None
        return standing.upstream

    def seen_calls(self, now_ms: float) -> dict[str, notice.SeenCall]:
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
            each.ratio > SLOW_RATIO and not each.refused
            for each in news.values()
        )
        if slow_count > max(1, OWN_FAULT_RATIO * len(fresh)):
            return {}
        return {
            upstream_id: notice.SeenCall(
                ratio=round(seen.ratio, 1), age_ms=round(now_ms - seen.end_ms)
            )
            for upstream_id, seen in news.items()
        }

    def told(
        self, seen_calls: dict[str, notice.SeenCall], now_ms: float
    ) -> None:
        """Takes a neighbour's calls as if they were its own.

        With many instances each sees an upstream seldom: two slow calls show a
        slow upstream rather than a pause, whoever made them.
        """
        for upstream_id, call in seen_calls.items():
            standing = self.standings.get(upstream_id)
            if standing is not None:
                end_ms = now_ms - call.age_ms
                self._take(standing, call.ratio, end_ms, now_ms)

    # What calls show.

    def sent(self, upstream_id: str) -> None:
        """Notes a call that goes out."""
        standing = self.standings.get(upstream_id)
        if standing is not None:
            standing.in_flight_count += 1

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
        self._measure(standing, elapsed_ms / typical.median_ms, now_ms)

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
        if ratio > SLOW_RATIO:
            self._measure(standing, ratio, now_ms)

    def failed(self, upstream_id: str, now_ms: float) -> None:
        """Takes a call that the upstream failed."""
        standing = self.standings.get(upstream_id)
        if standing is not None:
            self._measure(standing, FAILURE_SLOWNESS_RATIO, now_ms)

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
            standing.own_call = _Seen(
                ratio=SHED_SLOWNESS_RATIO, end_ms=now_ms, refused=True
            )
            self._blend(standing, SHED_SLOWNESS_RATIO, now_ms)

    def _measure(self, standing: Standing, ratio: float, now_ms: float) -> None:
        """Takes an own call; keeps for neighbours what they should know."""
        suspect = self.slowness(standing, now_ms) > SUSPECT_RATIO
        if suspect or ratio > SLOW_RATIO:
            standing.own_call = _Seen(ratio=ratio, end_ms=now_ms)
        self._take(standing, ratio, now_ms, now_ms)

    def _take(
        self, standing: Standing, ratio: float, end_ms: float, now_ms: float
    ) -> None:
        """Takes a call of whoever's that ended at a time."""
        if ratio <= SLOW_RATIO:
            standing.quick_ms = max(standing.quick_ms, end_ms)
            self._blend(standing, ratio, now_ms)
            return
        paused = abs(end_ms - standing.slow_ms) < PAUSE_MS
        if paused or end_ms < standing.quick_ms:
            # Counted already, or over since.
            return
        standing.slow_ms = max(standing.slow_ms, end_ms)
        self._blend(standing, ratio, now_ms)

    def _blend(self, standing: Standing, ratio: float, now_ms: float) -> None:
        faded = self.slowness(standing, now_ms)
        seen = min(SLOWNESS_MAX_RATIO, ratio)
        standing.slowness_ratio = faded + SMOOTHING_RATIO * (seen - faded)
        standing.measured_ms = now_ms
