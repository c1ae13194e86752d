"""Chooses the path of a call: an upstream, and a relay that owns it.

A path's score is the upstream's expected latency, multiplied by the path's load
from this instance, plus the relay's overhead. Paths to ejected or draining
upstreams are skipped. If no other path is left, calls other than hedges use
paths to ejected upstreams.
"""

import collections
import dataclasses

from hyssoptack.balancing import health
from hyssoptack.core import catalog
from hyssoptack.core import member
from hyssoptack.membership import ownership

OVERHEAD_SMOOTHING_RATIO = 0.1
REMOTE_PRIOR_MS = 4.0
LOCAL_PRIOR_MS = 0.5
CALL_COST_MS = 0.25
"""CPU time of a call at a relay (`bench.slopes.upstream_client`)."""


@dataclasses.dataclass(frozen=True, kw_only=True, eq=False)
class RelayPath:
    """A relay and an upstream it calls; hashed by identity, which is cheap.

    Attributes:
        upstream_id: Id of the upstream.
        instance_id: Id of the relay that calls it.
        slot_count: The relay's share of the upstream's slots.
    """

    upstream_id: str
    instance_id: str
    slot_count: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class RoutingView:
    """Input from which paths are built; a new view replaces the old one.

    Attributes:
        catalog: The current configuration.
        recently_seen: Ids of the instances that may hold shares, by failure
            domain.
        usable: Instances that may get new work, by id.
        owner_count: Maximum number of owners of a column.
        column_size_count: Maximum number of upstreams in a column.
    """

    catalog: catalog.Catalog
    recently_seen: dict[str, tuple[str, ...]]
    usable: dict[str, member.Member]
    owner_count: int
    column_size_count: int


class Router:
    """Builds the paths of the current view and scores them by recent calls."""

    def __init__(self, instance_id: str, upstream_health: health.HealthTracker):
        self._instance_id = instance_id
        self._health = upstream_health
        self._view: RoutingView | None = None
        self._paths_by_upstream: dict[str, tuple[RelayPath, ...]] = {}
        self._overhead_ms: dict[str, float] = {}
        self._path_load: collections.Counter[RelayPath] = collections.Counter()
        self._relay_load: collections.Counter[str] = collections.Counter()

    def set_view(self, view: RoutingView) -> None:
        """Replaces the view; discards its paths if the view has changed."""
        if view == self._view:
            return
        self._view = view
        self._paths_by_upstream = {}

    def paths(
        self, service: catalog.Service, upstream_id: str
    ) -> tuple[RelayPath, ...]:
        """Returns the paths to an upstream through usable relays."""
        if upstream_id not in self._paths_by_upstream:
            self._build_paths(service)
        return self._paths_by_upstream.get(upstream_id, ())

    def _build_paths(self, service: catalog.Service) -> None:
        view = self._view
        if view is None:
            return
        for column in ownership.columns(service, view.column_size_count):
            candidates = view.recently_seen.get(column.failure_domain, ())
            first = service.upstreams[column.upstream_ids[0]]
            count = ownership.owner_count_of(first, view.owner_count)
            owner_ids = ownership.owners(column.column_id, candidates, count)
            for upstream_id in column.upstream_ids:
                share = ownership.share_of(
                    service.upstreams[upstream_id], view.owner_count
                )
                self._paths_by_upstream[upstream_id] = tuple(
                    RelayPath(
                        upstream_id=upstream_id,
                        instance_id=each,
                        slot_count=share.slot_count,
                    )
                    for each in owner_ids
                    if each in view.usable or each == self._instance_id
                )

    def best_path(
        self,
        service: catalog.Service,
        upstream_ids: tuple[str, ...],
        tried: frozenset[tuple[str, str]],
        now_ms: float,
        excluded_upstream_id: str | None = None,
    ) -> RelayPath | None:
        """Returns the path with the lowest score.

        Args:
            service: The service that is called.
            upstream_ids: Ids of the candidate upstreams.
            tried: Paths already used for this shard, as (upstream id, instance
                id).
            now_ms: Current time in milliseconds.
            excluded_upstream_id: Id of an upstream to exclude: a hedge must not
                go to the upstream of the call that it hedges.

        Returns:
            The path, or None when none is left.
        """
        candidates = tuple(
            each for each in upstream_ids if each != excluded_upstream_id
        )
        healthy = tuple(
            each
            for each in candidates
            if not self._health.is_avoided(each, now_ms)
        )
        found = self._lowest_score_path(service, healthy, tried, now_ms)
        if found is not None or excluded_upstream_id is not None:
            return found
        # If every upstream is avoided, the fault may lie in this instance, so
        # only draining upstreams are excluded.
        not_draining = tuple(
            each
            for each in candidates
            if not self._health.is_draining(each, now_ms)
        )
        return self._lowest_score_path(service, not_draining, tried, now_ms)

    def _lowest_score_path(
        self,
        service: catalog.Service,
        upstream_ids: tuple[str, ...],
        tried: frozenset[tuple[str, str]],
        now_ms: float,
    ) -> RelayPath | None:
        """Returns the untried path with the lowest score."""
        best: RelayPath | None = None
        best_score = float("inf")
        for upstream_id in upstream_ids:
            service_ms = self._health.expected_ms(
                service.name, upstream_id, now_ms
            )
            for path in self.paths(service, upstream_id):
                if (path.upstream_id, path.instance_id) in tried:
                    continue
                score = self._score(path, service_ms)
                if score < best_score:
                    best, best_score = path, score
        return best

    def _score(self, path: RelayPath, service_ms: float) -> float:
        in_flight_count = self._path_load.get(path, 0)
        load_ratio = (in_flight_count + 1) / max(1, path.slot_count)
        relay_ms = CALL_COST_MS * self._relay_load.get(path.instance_id, 0)
        upstream_ms = service_ms * max(1.0, load_ratio)
        return upstream_ms + relay_ms + self.overhead_ms(path.instance_id)

    def begin_call(self, path: RelayPath) -> None:
        """Records a call sent on a path."""
        self._path_load[path] += 1
        self._relay_load[path.instance_id] += 1

    def end_call(self, path: RelayPath) -> None:
        """Records the end of a call on a path."""
        self._path_load[path] -= 1
        if not self._path_load[path]:
            del self._path_load[path]
        self._relay_load[path.instance_id] -= 1

    def overhead_ms(self, instance_id: str) -> float:
        """Returns the latency that a relay is expected to add to a call."""
        local = instance_id == self._instance_id
        prior = LOCAL_PRIOR_MS if local else REMOTE_PRIOR_MS
        return self._overhead_ms.get(instance_id, prior)

    def record_overhead(self, instance_id: str, added_ms: float) -> None:
        """Updates a relay's overhead with the latency it added to one call."""
        old = self.overhead_ms(instance_id)
        self._overhead_ms[instance_id] = old + OVERHEAD_SMOOTHING_RATIO * (
            added_ms - old
        )
