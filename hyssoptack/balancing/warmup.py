"""Limits the requests of this instance to upstreams that are warming up.

A cold upstream can serve few requests per second from all instances together
and crashes well above that rate. Instances do not coordinate their counts:
rendezvous hashing divides the limit evenly among the instances with the highest
link bandwidth in the upstream's failure domain, and no other instance calls it.
Only half of the limit is divided, because instances may differ in which others
they know to be alive.

The limiter covers the recovery of a whole failure domain, in which all
upstreams start at once while instances start, stop or are partitioned.
"""

import collections
import dataclasses
import math

from hyssoptack.core import member
from hyssoptack.core import traffic
from hyssoptack.core import warmuplimits
from hyssoptack.delegation import gatherers
from hyssoptack.membership import rendezvous

SHARED_RATIO = 0.5
"""Part of the limit that is divided among the instances."""

WINDOW_MS = 1_250.0
"""Length of the window in which requests are counted. An upstream counts
requests per second; the additional 250 ms cover requests that arrive late
because they waited for a connection."""

SETTLE_MS = 1_700.0
"""Time after the start of an instance before it uses its share. It uses the
share from the first update of the live instances after this time, because
instances that start together have registered by then."""

PEER_RETENTION_MS = 30_000.0
"""How long an instance keeps its share after it was last listed: its entry may
have expired while it is alive."""

RESERVED_RATIO = 0.5
"""Part of a share that is reserved for the most urgent recent requests."""

URGENT_RETENTION_MS = 1_000.0
"""How long a request counts as recent."""


def instance_share_count(
    own: member.Peer, others: tuple[member.Peer, ...], limit_count: float
) -> int:
    """Returns how many requests per second an instance may send.

    Args:
        own: The instance.
        others: The other instances of its failure domain.
        limit_count: Requests per second that all may send together.
    """
    if limit_count < 1.0:
        return 0
    total_count = max(1, int(SHARED_RATIO * limit_count))
    name = f"warmup/{own.failure_domain}"
    ranked = sorted(
        gatherers.highest_bandwidth_peers((own, *others)),
        key=lambda each: rendezvous.rank(name, each.instance_id),
    )
    sharing = ranked[:total_count]
    return total_count // len(sharing) if own in sharing else 0


@dataclasses.dataclass(kw_only=True)
class _UrgentRequest:
    """The most urgent recent request for a service.

    Attributes:
        priority: Its priority, 0 the most urgent.
        seen_ms: When it was seen.
    """

    priority: int
    seen_ms: float


class WarmupLimiter:
    """Limits one instance's requests to cold upstreams.

    Attributes:
        limits: The warm-up limits of the platform.
    """

    def __init__(
        self,
        own: member.Peer,
        limits: warmuplimits.WarmupLimits,
        started_ms: float,
    ):
        self.limits = limits
        self._own = own
        self._started_ms = started_ms
        self._settled = False
        self._others: dict[str, tuple[member.Peer, float]] = {}
        self._services: dict[str, traffic.Service] = {}
        self._shares: dict[float, int] = {}
        self._sent_at_ms: dict[str, collections.deque[float]] = {}
        self._most_urgent: dict[str, _UrgentRequest] = {}

    def set_services(self, services: dict[str, traffic.Service]) -> None:
        """Replaces the settings of all services."""
        self._services = services
        self._most_urgent = {
            name: each
            for name, each in self._most_urgent.items()
            if name in services
        }

    def update_instances(
        self, others: tuple[member.Peer, ...], now_ms: float
    ) -> None:
        """Updates the live instances of the failure domain.

        Args:
            others: The other instances of the failure domain that are listed.
            now_ms: The time now.
        """
        for each in others:
            self._others[each.instance_id] = each, now_ms
        self._others = {
            name: (each, seen_ms)
            for name, (each, seen_ms) in self._others.items()
            if now_ms - seen_ms <= PEER_RETENTION_MS
        }
        self._settled |= now_ms - self._started_ms >= SETTLE_MS
        self._shares.clear()
        for upstream_id in tuple(self._sent_at_ms):
            # Drops the counts of upstreams that are no longer requested.
            self._sent_count(upstream_id, now_ms)

    def warmup_ms(self, service: str) -> float:
        """Returns how long a service's upstreams are cold after a start."""
        found = self._services.get(service)
        return found.warmup_ms if found else 0.0

    def allows(
        self, upstream: traffic.Upstream, priority: int, now_ms: float
    ) -> bool:
        """Returns whether this instance may send a cold upstream a request.

        Args:
            upstream: The upstream.
            priority: The priority of the request, 0 the most urgent.
            now_ms: The time now.
        """
        limit_count = self._limit_count(upstream)
        if limit_count == math.inf:
            return True
        if upstream.failure_domain != self._own.failure_domain:
            return False
        if not self._settled:
            return False
        share = self._share(limit_count)
        if self._check_priority(upstream.service, priority, now_ms):
            share -= int(RESERVED_RATIO * share)
        return self._sent_count(upstream.upstream_id, now_ms) < share

    def record_sent(self, upstream: traffic.Upstream, now_ms: float) -> None:
        """Counts a request sent to a cold upstream."""
        if self._limit_count(upstream) < math.inf:
            sent = self._sent_at_ms.setdefault(
                upstream.upstream_id, collections.deque()
            )
            sent.append(now_ms)

    def on_upstream_cold(
        self, upstream: traffic.Upstream, now_ms: float
    ) -> None:
        """Uses up the share of an upstream that became cold while in use.

        It may have received requests just before, which were not counted.
        """
        limit_count = self._limit_count(upstream)
        if limit_count < math.inf:
            for _ in range(self._share(limit_count)):
                self.record_sent(upstream, now_ms)

    def _limit_count(self, upstream: traffic.Upstream) -> float:
        service = self._services.get(upstream.service)
        return self.limits.limit_per_s(service) if service else math.inf

    def _share(self, limit_count: float) -> int:
        found = self._shares.get(limit_count)
        if found is None:
            others = tuple(each for each, _ in self._others.values())
            found = instance_share_count(self._own, others, limit_count)
            self._shares[limit_count] = found
        return found

    def _check_priority(
        self, service: str, priority: int, now_ms: float
    ) -> bool:
        """Returns whether a more urgent request was seen recently.

        If not, records this request as the service's most urgent recent one.
        """
        seen = self._most_urgent.get(service)
        expired = seen is None or now_ms - seen.seen_ms > URGENT_RETENTION_MS
        if expired or priority <= seen.priority:
            self._most_urgent[service] = _UrgentRequest(
                priority=priority, seen_ms=now_ms
            )
            return False
        return True

    def _sent_count(self, upstream_id: str, now_ms: float) -> int:
        sent = self._sent_at_ms.get(upstream_id)
        if sent is None:
            return 0
        while sent and now_ms - sent[0] > WINDOW_MS:
            sent.popleft()
        if not sent:
            del self._sent_at_ms[upstream_id]
        return len(sent)
