"""Selects instances that make calls in other failure domains for this one.

A query of 42 shards, each with upstreams in 3 of 7 domains, makes 24 of its
calls across domains: 700 bytes each, on connections that one of 195 instances
uses every ten seconds, so that most are newly opened (6 ms of handshake and two
round trips). A few instances of the upstreams' own domain, the gatherers, make
such calls for all others. Their connections stay in use, and one message in
each direction carries all that a query needs from that domain, some 50 bytes a
shard.

The instance that serves the query still makes each decision: which upstream to
call, whether to retry, when to give up. If a gatherer is lost, only its calls
in flight are lost, and it is known which calls were begun.
"""

import collections.abc
import dataclasses
import random

from hyssoptack.balancing import ejectionstate
from hyssoptack.balancing import latencyestimate
from hyssoptack.core import member
from hyssoptack.membership import rendezvous

GATHERERS_PER_DOMAIN_COUNT = 3
"""Gatherers of one failure domain that another domain uses: one may be lost and
one busy. With fewer gatherers their connections are in use more often."""

INSTANCES_PER_GATHERER_COUNT = 64
"""Instances of the using domain for each additional gatherer: a gatherer then
makes about as many calls for others as it would make for itself."""

SIMILAR_BANDWIDTH_RATIO = 0.5
"""Links with at least this part of the highest bandwidth count as equally fast.
Where some links are slower, only instances with fast ones make calls for
others."""

REPORT_RATIO = 0.4
"""Part of the time to the latency goal at which a gatherer reports what it has,
even if that is nothing: before the query hedges single late calls (at half of
it)."""

FIRST_REPORT_TIMEOUT_RATIO = 0.6
"""Part of the time to the latency goal after which a gatherer without a report
counts as lost, unless first reports usually take longer: there is still time
for calls elsewhere."""

OVERDUE_QUANTILE_RATIO = 0.97
"""Quantile of first report times that the timeout covers at least. Where
instances lack CPU time, first reports are usually late (60 to 90 ms of a goal
of 94 ms on 0.12 of a core), and repeating their calls would only lengthen all
queues."""


def select_gatherers(
    peers: collections.abc.Iterable[member.Peer], local_domain: str
) -> tuple[member.Peer, ...]:
    """Returns the gatherers in each other domain for a failure domain.

    Instances with the highest link bandwidth are preferred; among equals, each
    domain prefers different ones.

    Args:
        peers: All live instances.
        local_domain: The domain whose queries are gathered.
    """
    domains: dict[str, list[member.Peer]] = {}
    for each in peers:
        domains.setdefault(each.failure_domain, []).append(each)
    user_count = len(domains.pop(local_domain, ()))
    most_count = (
        GATHERERS_PER_DOMAIN_COUNT + user_count // INSTANCES_PER_GATHERER_COUNT
    )
    name = f"gatherer/{local_domain}"

    def order(peer: member.Peer) -> tuple[float, int]:
        return -peer.link_mbps, rendezvous.rank(name, peer.instance_id)

    selected: list[member.Peer] = []
    for members in domains.values():
        selected.extend(
            sorted(highest_bandwidth_peers(members), key=order)[:most_count]
        )
    return tuple(selected)


def highest_bandwidth_peers(
    peers: collections.abc.Sequence[member.Peer],
) -> list[member.Peer]:
    """Returns the instances whose bandwidth is about equal to the highest."""
    highest_mbps = max(each.link_mbps for each in peers)
    return [
        each
        for each in peers
        if each.link_mbps >= SIMILAR_BANDWIDTH_RATIO * highest_mbps
    ]


@dataclasses.dataclass(kw_only=True)
class _GathererState:
    """State of calls through one gatherer.

    Attributes:
        in_flight_count: Number of queries with calls in flight at the gatherer.
        ejection: Its ejection after failures.
    """

    in_flight_count: int = 0
    ejection: ejectionstate.EjectionState = dataclasses.field(
        default_factory=ejectionstate.EjectionState
    )


class GathererSelector:
    """Selects the gatherer of a query's calls in each other failure domain."""

    def __init__(self, source: random.Random):
        self._random = source
        self._by_domain: dict[str, list[member.Peer]] = {}
        self._states: dict[str, _GathererState] = {}
        self._domain_ejections: dict[str, ejectionstate.EjectionState] = {}
        self._first_report_times = latencyestimate.LatencyEstimate()

    def set_gatherers(self, peers: tuple[member.Peer, ...]) -> None:
        """Replaces the list of gatherers."""
        self._by_domain = {}
        for each in peers:
            self._by_domain.setdefault(each.failure_domain, []).append(each)
        addresses = {each.address for each in peers}
        self._states = {
            address: each
            for address, each in self._states.items()
            if address in addresses or each.in_flight_count
        }

    def peers(self) -> list[member.Peer]:
        """Returns all gatherers in other failure domains."""
        return [each for some in self._by_domain.values() for each in some]

    def choose(self, failure_domain: str, now_ms: float) -> member.Peer | None:
        """Returns the gatherer for calls in a domain; None to call directly."""
        domain = self._domain_ejections.get(failure_domain)
        if domain is not None and domain.is_ejected(now_ms):
            return None
        available = [
            each
            for each in self._by_domain.get(failure_domain, ())
            if not self._state(each.address).ejection.is_ejected(now_ms)
        ]
        if not available:
            return None
        self._random.shuffle(available)
        return min(
            available,
            key=lambda each: self._state(each.address).in_flight_count,
        )

    def _state(self, address: str) -> _GathererState:
        return self._states.setdefault(address, _GathererState())

    @property
    def in_flight_count(self) -> int:
        """The number of queries with calls in flight at all gatherers."""
        return sum(each.in_flight_count for each in self._states.values())

    def begin_query(self, peer: member.Peer) -> None:
        """Records that calls of a query are sent to a gatherer."""
        self._state(peer.address).in_flight_count += 1

    def end_query(self, peer: member.Peer) -> None:
        """Records that a gatherer has no more calls of a query."""
        self._state(peer.address).in_flight_count -= 1

    def first_report_timeout_ms(self, to_goal_ms: float) -> float:
        """Returns the timeout of a gatherer's first report."""
        usual_ms = self._first_report_times.quantile_ms(OVERDUE_QUANTILE_RATIO)
        return max(FIRST_REPORT_TIMEOUT_RATIO * to_goal_ms, usual_ms or 0.0)

    def record_first_report(self, took_ms: float) -> None:
        """Records how long a gatherer took to send its first report."""
        self._first_report_times.record(took_ms)

    def record_report(self, peer: member.Peer) -> None:
        """Records a report, which ends the ejection of gatherer and domain."""
        self._state(peer.address).ejection.end_ejection()
        domain = self._domain_ejections.get(peer.failure_domain)
        if domain is not None:
            domain.end_ejection()

    def record_decline(self, peer: member.Peer, now_ms: float) -> None:
        """Records that a gatherer declined to make calls."""
        self._state(peer.address).ejection.record_failure(now_ms)

    def record_loss(self, peer: member.Peer, now_ms: float) -> None:
        """Records that a gatherer is gone or does not report.

        If a second gatherer of a domain is lost while the first is ejected,
        the whole domain is ejected: a partition affects all of it.
        """
        domain = self._by_domain.get(peer.failure_domain, ())
        others_lost = any(
            self._state(each.address).ejection.is_ejected(now_ms)
            for each in domain
            if each.address != peer.address
        )
        self._state(peer.address).ejection.record_failure(now_ms)
        if others_lost:
            domain_ejection = self._domain_ejections.setdefault(
                peer.failure_domain, ejectionstate.EjectionState()
            )
            domain_ejection.record_failure(now_ms)
