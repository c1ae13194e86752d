"""How many requests this instance may send to an upstream that warms up.

A cold upstream bears few requests a second from all instances together, and
crashes well above that. Instances don't count together: those of the upstream's
own failure domain with the widest links share the limit evenly, by rendezvous
hashing, and nobody else calls it. Half of the limit is shared out, so that
views of who lives may differ.

It answers a load of returns: a failure domain whose upstreams all come back at
once, beside instances that start, stop, or are cut off.
"""

import collections
import dataclasses
import math

from hyssoptack.core import member
from hyssoptack.core import traffic
from hyssoptack.core import warmuplimits
from hyssoptack.policy import gatherers
from hyssoptack.policy import rendezvous

SHARED_RATIO = 0.5
"""Part of the limit that the instances share out."""

WINDOW_MS = 1_250.0
"""An upstream counts by the second; requests that wait for a connection come
somewhat later than they were decided on."""

SETTLE_MS = 1_700.0
"""An instance uses no share until it has heard who lives this long after its
start: those that start together have entered themselves by then."""

PEER_RETENTION_MS = 30_000.0
"""An instance that is not listed any more keeps its share for so long: its
entry may have lapsed while it lives."""

RESERVED_RATIO = 0.5
"""Part of a share that is kept for the most urgent requests of late."""

URGENT_RETENTION_MS = 1_000.0
"""How long a request counts as of late."""


def instance_share_count(
    own: member.Peer, others: tuple[member.Peer, ...], limit_count: float
) -> int:
    """Returns how many requests a second an instance may send.

    Args:
        own: The instance.
        others: The other instances of its failure domain.
        limit_count: What all may send together.
    """
    if limit_count < 1.0:
        return 0
    total_count = max(1, int(SHARED_RATIO * limit_count))
    name = f"warmup/{own.failure_domain}"
    ranked = sorted(
        gatherers.widest_link_peers((own, *others)),
        key=lambda each: rendezvous.rank(name, each.instance_id),
    )
    sharing = ranked[:total_count]
    return total_count // len(sharing) if own in sharing else 0


@dataclasses.dataclass(kw_only=True)
class _Urgency:
    """The most urgent request for a service of late."""

    rank: int
    seen_ms: float


class WarmupLimiter:
    """One instance's shares of the cold upstreams of its failure domain."""

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
        self._sent: dict[str, collections.deque[float]] = {}
        self._urgent: dict[str, _Urgency] = {}

    def set_services(self, services: dict[str, traffic.Service]) -> None:
        """Takes what is said of the services."""
        self._services = services
        self._urgent = {
            name: each
            for name, each in self._urgent.items()
            if name in services
        }

    def update_instances(
        self, others: tuple[member.Peer, ...], now_ms: float
    ) -> None:
        """Takes who else lives in the failure domain."""
        for each in others:
            self._others[each.instance_id] = each, now_ms
        self._others = {
            name: (each, seen_ms)
            for name, (each, seen_ms) in self._others.items()
            if now_ms - seen_ms <= PEER_RETENTION_MS
        }
        self._settled |= now_ms - self._started_ms >= SETTLE_MS
        self._shares.clear()
        for upstream_id in tuple(self._sent):
            # Drops those of upstreams that nobody asks for any more.
            self._sent_count(upstream_id, now_ms)

    def warmup_ms(self, service: str) -> float:
        """Returns how long upstreams of a service are cold after a start."""
        found = self._services.get(service)
        return found.warmup_ms if found else 0.0

    def allows(
        self, upstream: traffic.Upstream, rank: int, now_ms: float
    ) -> bool:
        """Whether a cold upstream may get a request from here now.

        Args:
            upstream: The upstream.
            rank: The request's urgency, 0 the most urgent.
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
        if self._yields(upstream.service, rank, now_ms):
            share -= int(RESERVED_RATIO * share)
        return self._sent_count(upstream.upstream_id, now_ms) < share

    def record_sent(self, upstream: traffic.Upstream, now_ms: float) -> None:
        """Notes a request to a cold upstream."""
        if self._limit_count(upstream) < math.inf:
            sent = self._sent.setdefault(
                upstream.upstream_id, collections.deque()
            )
            sent.append(now_ms)

    def on_upstream_cold(
        self, upstream: traffic.Upstream, now_ms: float
    ) -> None:
        """Takes that an upstream in use is cold: it had requests just now."""
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

    def _yields(self, service: str, rank: int, now_ms: float) -> bool:
        """Whether requests that are more urgent came for a service of late."""
        seen = self._urgent.get(service)
        over = seen is None or now_ms - seen.seen_ms > URGENT_RETENTION_MS
        if over or rank <= seen.rank:
            self._urgent[service] = _Urgency(rank=rank, seen_ms=now_ms)
            return False
        return True

    def _sent_count(self, upstream_id: str, now_ms: float) -> int:
        sent = self._sent.get(upstream_id)
        if sent is None:
            return 0
        while sent and now_ms - sent[0] > WINDOW_MS:
            sent.popleft()
        if not sent:
            del self._sent[upstream_id]
        return len(sent)
