"""Who makes calls in another failure domain for the queries of this one.

A query of 42 shards, each with upstreams in 3 of 7 domains, calls 24 of them
across domains: 700 bytes each, on connections that one of 195 instances uses
every ten seconds, so that most are opened anew (6 ms of handshake beside two
round trips). A few instances of the upstreams' own domain make such calls for
all others: their connections stay in use, and one message there and one back
carry what a query wants of that domain, some 50 bytes a shard.

The instance that serves the query goes on to decide each call: which upstream,
whether again, when to give up. A gatherer that is lost so takes nothing along
but the calls that it had, and what was begun is known.
"""

import collections.abc
import dataclasses
import random

from hyssoptack.core import member
from hyssoptack.policy import ejectionstate
from hyssoptack.policy import latencyestimate
from hyssoptack.policy import rendezvous

GATHERERS_PER_DOMAIN_COUNT = 3
"""Gatherers of one failure domain that another one uses: one may be lost and
one be busy. The fewer, the warmer their connections."""

CROWD_COUNT = 64
"""One more for each so many instances of the domain that uses them: each makes
about as many calls for others then as it would for itself."""

ALIKE_RATIO = 0.5
"""Links of at least this part of the widest count as about as wide; where there
are narrower ones, the wide ones gather alone."""

REPORT_RATIO = 0.4
"""A gatherer tells what it has at this part of the time to the goal, be it
nothing: before the query hedges calls that are late alone (half of it)."""

FIRST_REPORT_TIMEOUT_RATIO = 0.6
"""One that has told nothing by then is taken for lost, if that is longer than
nearly all take: there is still time for calls elsewhere."""

OVERDUE_QUANTILE_RATIO = 0.97
"""Where instances are starved their first words come late as a rule (60 to 90
ms of a goal of 94 on 0.12 of a core): calls made once more would only lengthen
everybody's queue."""


def select_gatherers(
    peers: collections.abc.Iterable[member.Peer], own_domain: str
) -> tuple[member.Peer, ...]:
    """Returns who gathers for a failure domain in each of the others.

    Those with the widest links; among equals, each domain prefers others.

    Args:
        peers: All live instances.
        own_domain: The domain whose queries are gathered.
    """
    domains: dict[str, list[member.Peer]] = {}
    for each in peers:
        domains.setdefault(each.failure_domain, []).append(each)
    crowd_count = len(domains.pop(own_domain, ()))
    most_count = GATHERERS_PER_DOMAIN_COUNT + crowd_count // CROWD_COUNT
    name = f"gatherer/{own_domain}"

    def order(peer: member.Peer) -> tuple[float, int]:
        return -peer.link_mbps, rendezvous.rank(name, peer.instance_id)

    found: list[member.Peer] = []
    for members in domains.values():
        found.extend(sorted(widest_link_peers(members), key=order)[:most_count])
    return tuple(found)


def widest_link_peers(
    peers: collections.abc.Sequence[member.Peer],
) -> list[member.Peer]:
    """Returns those of some instances whose links are about the widest."""
    widest_mbps = max(each.link_mbps for each in peers)
    return [
        each for each in peers if each.link_mbps >= ALIKE_RATIO * widest_mbps
    ]


@dataclasses.dataclass(kw_only=True)
class _Standing:
    """What relaying over one gatherer has shown."""

    open_count: int = 0
    left_alone: ejectionstate.EjectionState = dataclasses.field(
        default_factory=ejectionstate.EjectionState
    )


class GathererSelector:
    """One instance's view of the gatherers in other failure domains."""

    def __init__(self, source: random.Random):
        self._random = source
        self._by_domain: dict[str, list[member.Peer]] = {}
        self._standings: dict[str, _Standing] = {}
        self._domains: dict[str, ejectionstate.EjectionState] = {}
        self._first_words = latencyestimate.LatencyEstimate()

    def install(self, peers: tuple[member.Peer, ...]) -> None:
        """Replaces the list."""
        self._by_domain = {}
        for each in peers:
            self._by_domain.setdefault(each.failure_domain, []).append(each)
        addresses = {each.address for each in peers}
        self._standings = {
            address: each
            for address, each in self._standings.items()
            if address in addresses or each.open_count
        }

    def peers(self) -> list[member.Peer]:
        """Returns all gatherers in other failure domains."""
        return [each for some in self._by_domain.values() for each in some]

    def choose(self, failure_domain: str, now_ms: float) -> member.Peer | None:
        """Returns who makes calls in a domain; None to make them from here."""
        domain = self._domains.get(failure_domain)
        if domain is not None and domain.is_ejected(now_ms):
            return None
        well = [
            each
            for each in self._by_domain.get(failure_domain, ())
            if not self._standing(each.address).left_alone.is_ejected(now_ms)
        ]
        if not well:
            return None
        self._random.shuffle(well)
        return min(
            well, key=lambda each: self._standing(each.address).open_count
        )

    def _standing(self, address: str) -> _Standing:
        return self._standings.setdefault(address, _Standing())

    def begin_query(self, peer: member.Peer) -> None:
        """Notes that calls go to a gatherer."""
        self._standing(peer.address).open_count += 1

    def end_query(self, peer: member.Peer) -> None:
        """Notes that it has none of a query any more."""
        self._standing(peer.address).open_count -= 1

    def first_report_timeout_ms(self, to_goal_ms: float) -> float:
        """Returns how long a gatherer's first word is waited for."""
        usual_ms = self._first_words.quantile_ms(OVERDUE_QUANTILE_RATIO)
        return max(FIRST_REPORT_TIMEOUT_RATIO * to_goal_ms, usual_ms or 0.0)

    def record_first_report(self, took_ms: float) -> None:
        """Takes how long a gatherer took to say anything of its calls."""
        self._first_words.record(took_ms)

    def record_report(self, peer: member.Peer) -> None:
        """Takes a gatherer's word."""
        self._standing(peer.address).left_alone.end_ejection()
        domain = self._domains.get(peer.failure_domain)
        if domain is not None:
            domain.end_ejection()

    def record_decline(self, peer: member.Peer, now_ms: float) -> None:
        """Takes that a gatherer makes no calls now."""
        self._standing(peer.address).left_alone.record_failure(now_ms)

    def record_loss(self, peer: member.Peer, now_ms: float) -> None:
        """Takes that a gatherer is gone or silent.

        When a second one of its domain is lost while the first is left alone,
        all of it is: a cut takes a whole domain.
        """
        domain = self._by_domain.get(peer.failure_domain, ())
        others_lost = any(
            self._standing(each.address).left_alone.is_ejected(now_ms)
            for each in domain
            if each.address != peer.address
        )
        self._standing(peer.address).left_alone.record_failure(now_ms)
        if others_lost:
            left = self._domains.setdefault(
                peer.failure_domain, ejectionstate.EjectionState()
            )
            left.record_failure(now_ms)
