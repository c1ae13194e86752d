"""Chooses the lane for a call: an upstream, and a relay that owns it.

A lane's score is the upstream's expected time, times how full the lane is from
here, plus what the relay adds. Lanes of avoided upstreams are left out unless
the whole service looks bad.
"""

import collections
import dataclasses

from hyssoptack.core import catalog
from hyssoptack.core import member
from hyssoptack.policy import health
from hyssoptack.policy import ownership

OVERHEAD_SMOOTHING_RATIO = 0.1
REMOTE_PRIOR_MS = 4.0
LOCAL_PRIOR_MS = 0.5
CALL_COST_MS = 0.25
"""Processor time of a call at a relay (`bench.slopes.upstream_client`)."""


@dataclasses.dataclass(frozen=True, kw_only=True, eq=False)
class RelayPath:
    """One way to an upstream; compared by identity, which is cheap to hash.

    Attributes:
        upstream_id: The upstream.
        instance_id: The relay that calls it.
        slot_count: The relay's share of the upstream's slots.
    """

    upstream_id: str
    instance_id: str
    slot_count: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class RoutingView:
    """What lanes are made from; a new view replaces the old one whole.

    Attributes:
        catalog: The configuration in force.
        recently_seen: Instances by failure domain that may hold shares.
        usable: Instances that may get new work.
        owner_count: Most owners of a column.
        column_size_count: Upstreams in a column.
    """

    catalog: catalog.Catalog
    recently_seen: dict[str, tuple[str, ...]]
    usable: dict[str, member.Member]
    owner_count: int
    column_size_count: int


class Router:
    """Lanes of the view in force, and what calls have shown about relays."""

    def __init__(self, instance_id: str, upstream_health: health.HealthTracker):
        self._instance_id = instance_id
        self._health = upstream_health
        self._view: RoutingView | None = None
        self._lanes: dict[str, tuple[RelayPath, ...]] = {}
        self._overhead_ms: dict[str, float] = {}
        self._lane_load: collections.Counter[RelayPath] = collections.Counter()
        self._relay_load: collections.Counter[str] = collections.Counter()

    def install(self, view: RoutingView) -> None:
        """Puts a new view in force."""
        if view == self._view:
            return
        self._view = view
        self._lanes = {}

    def paths(
        self, service: catalog.Service, upstream_id: str
    ) -> tuple[RelayPath, ...]:
        """Returns every lane to an upstream whose relay is usable."""
        if upstream_id not in self._lanes:
            self._fill(service)
        return self._lanes.get(upstream_id, ())

    def _fill(self, service: catalog.Service) -> None:
        view = self._view
        if view is None:
            return
        for column in ownership.columns(service, view.column_size_count):
            candidates = view.recently_seen.get(column.failure_domain, ())
            first = service.upstreams[column.upstream_ids[0]]
            count = ownership.owner_count_of(first, view.owner_count)
            owning = ownership.owners(column.column_id, candidates, count)
            for upstream_id in column.upstream_ids:
                share = ownership.share_of(
                    service.upstreams[upstream_id], view.owner_count
                )
                self._lanes[upstream_id] = tuple(
                    RelayPath(
                        upstream_id=upstream_id,
                        instance_id=each,
                        slot_count=share.slot_count,
                    )
                    for each in owning
                    if each in view.usable or each == self._instance_id
                )

    def best_path(
        self,
        service: catalog.Service,
        upstream_ids: tuple[str, ...],
        tried: frozenset[tuple[str, str]],
        now_ms: float,
        other_upstream_than: str | None = None,
    ) -> RelayPath | None:
        """Returns the lane with the lowest score.

        Args:
            service: The service that is called.
            upstream_ids: The upstreams that would do.
            tried: Lanes, as (upstream, instance), that this call has used.
            now_ms: The time now.
            other_upstream_than: An upstream to leave out, for hedges.

        Returns:
            The lane, or None when there is none left.
        """
        left = tuple(
            each for each in upstream_ids if each != other_upstream_than
        )
        well = tuple(
            each for each in left if not self._health.is_avoided(each, now_ms)
        )
        found = self._lowest(service, well, tried, now_ms)
        if found is not None or other_upstream_than is not None:
            return found
        # Where all look bad the fault may be ours; only leaving ones are out.
        staying = tuple(
            each for each in left if not self._health.is_draining(each, now_ms)
        )
        return self._lowest(service, staying, tried, now_ms)

    def _lowest(
        self,
        service: catalog.Service,
        upstream_ids: tuple[str, ...],
        tried: frozenset[tuple[str, str]],
        now_ms: float,
    ) -> RelayPath | None:
        """Returns the untried lane with the lowest score."""
        best: RelayPath | None = None
        best_score = float("inf")
        for upstream_id in upstream_ids:
            service_ms = self._health.expected_ms(
                service.name, upstream_id, now_ms
            )
            for lane in self.paths(service, upstream_id):
                if (lane.upstream_id, lane.instance_id) in tried:
                    continue
                score = self._score(lane, service_ms)
                if score < best_score:
                    best, best_score = lane, score
        return best

    def _score(self, lane: RelayPath, service_ms: float) -> float:
        waiting = self._lane_load.get(lane, 0)
        fullness = (waiting + 1) / max(1, lane.slot_count)
        relay_ms = CALL_COST_MS * self._relay_load.get(lane.instance_id, 0)
        upstream_ms = service_ms * max(1.0, fullness)
        return upstream_ms + relay_ms + self.overhead_ms(lane.instance_id)

    def begin_call(self, lane: RelayPath) -> None:
        """Notes a call sent on a lane."""
        self._lane_load[lane] += 1
        self._relay_load[lane.instance_id] += 1

    def end_call(self, lane: RelayPath) -> None:
        """Notes that a call on a lane is over."""
        self._lane_load[lane] -= 1
        if not self._lane_load[lane]:
            del self._lane_load[lane]
        self._relay_load[lane.instance_id] -= 1

    def overhead_ms(self, instance_id: str) -> float:
        """Returns what a relay is expected to add to an upstream's own time."""
        local = instance_id == self._instance_id
        prior = LOCAL_PRIOR_MS if local else REMOTE_PRIOR_MS
        return self._overhead_ms.get(instance_id, prior)

    def record_overhead(self, instance_id: str, added_ms: float) -> None:
        """Takes what a relay added to one call."""
        old = self.overhead_ms(instance_id)
        self._overhead_ms[instance_id] = old + OVERHEAD_SMOOTHING_RATIO * (
            added_ms - old
        )
