"""Slots of the listed upstreams, by service."""

import collections

from hyssoptack.balancing import loadbalancer
from hyssoptack.balancing import upstreamstate
from hyssoptack.membership import partitiondetector


class SlotCounts:
    """Counts slots; the counts are kept until the list of upstreams changes."""

    def __init__(
        self,
        load_balancer: loadbalancer.LoadBalancer,
        detector: partitiondetector.PartitionDetector,
    ):
        self._load_balancer = load_balancer
        self._detector = detector
        self._counted: dict[str, upstreamstate.UpstreamState] = {}
        self._slot_counts: collections.Counter[str] = collections.Counter()
        self._states: dict[str, list[upstreamstate.UpstreamState]] = {}

    def smallest_count(self, services: tuple[str, ...]) -> float:
        """Returns the slots of the service that has the fewest of them.

        Services without listed upstreams are left out: what they can't answer
        is decided when a request starts.
        """
        self._count()
        listed = [
            self._slot_counts[each]
            for each in services
            if each in self._slot_counts
        ]
        return float(min(listed, default=0))

    def has_other_room(
        self, service: str, upstream_id: str, now_ms: float
    ) -> bool:
        """Returns whether another upstream of a service has a free slot.

        Args:
            service: Name of the service.
            upstream_id: The upstream that shed a call.
            now_ms: Current time in milliseconds.
        """
        self._count()
        return any(
            each.upstream.upstream_id != upstream_id
            and self._has_room(each, now_ms)
            for each in self._states.get(service, ())
        )

    def _has_room(
        self, state: upstreamstate.UpstreamState, now_ms: float
    ) -> bool:
        own_domain = self._load_balancer.settings.failure_domain
        is_reachable = (
            state.upstream.failure_domain == own_domain
            or not self._detector.is_partitioned
        )
        return (
            is_reachable
            and state.shed_until_ms <= now_ms
            and state.ejected_until_ms <= now_ms
            and state.in_flight_count < state.upstream.slot_count
        )

    def _count(self) -> None:
        states = self._load_balancer.upstream_states
        if states is self._counted:
            return
        self._counted = states
        self._slot_counts = collections.Counter()
        self._states = {}
        for each in states.values():
            if not each.upstream.draining:
                service = each.upstream.service
                self._slot_counts[service] += each.upstream.slot_count
                self._states.setdefault(service, []).append(each)
