"""Tracks health and latency of upstreams from the results of calls.

Latency estimates decay towards the service's typical latency, so that an
upstream that was slow is tried again without a probe. If all candidates are
ejected or draining, `balancing.routing` still uses the ejected ones, because
the fault may lie in this instance.
"""

import collections
import dataclasses

from hyssoptack.charts import chart
from hyssoptack.core import catalog
from hyssoptack.core import message
from hyssoptack.core import query

SMOOTHING_RATIO = 0.2
PRIOR_MS = 5.0
DECAY_HALF_LIFE_MS = 10_000.0
HELD_VERSIONS_TTL_MS = 2_000.0
"""A report of held versions expires after this time."""

EJECTION_MS = 2_000.0
DRAIN_EXPIRY_MS = 30_000.0
STRAGGLER_RATIO = 3.0
"""Multiple of the service's typical latency above which an upstream is a
straggler."""

WINDOW_COUNT = 256
WINDOW_MIN_COUNT = 20

_CHART = chart.load("upstream")


@dataclasses.dataclass(kw_only=True)
class UpstreamHealth:
    """Health of one upstream as seen by this instance.

    Attributes:
        state: State in the state machine `upstream` (`hyssoptack.charts`).
        service_ms: Smoothed time from sending a call to its answer, in
            milliseconds.
        last_outcome_ms: Time of the last answer, failure or slow cancelled
            call; 0 before any.
        state_changed_ms: Time of the last change of state.
        held_versions: Index versions in the last report; None before any.
        versions_reported_ms: Time of the last report of held versions.
    """

    state: str = _CHART.initial
    service_ms: float = PRIOR_MS
    last_outcome_ms: float = 0.0
    state_changed_ms: float = 0.0
    held_versions: tuple[int, ...] | None = None
    versions_reported_ms: float = 0.0

    def apply_event(self, event: str, now_ms: float) -> bool:
        """Applies a state machine event; returns whether the state changed."""
        before = self.state
        self.state = _CHART.step(before, event)
        if self.state != before:
            self.state_changed_ms = now_ms
        return self.state != before


class HealthTracker:
    """Health of all upstreams and the recent latencies of each service."""

    def __init__(self) -> None:
        self.upstreams: dict[str, UpstreamHealth] = collections.defaultdict(
            UpstreamHealth
        )
        self._windows: dict[str, collections.deque[float]] = {}
        self._typical_ms: dict[str, float] = {}

    def record_reply(
        self, service: str, reply: message.UpstreamReply, now_ms: float
    ) -> bool:
        """Updates an upstream's health from the result of a call.

        Args:
            service: Name of the service that the upstream belongs to.
            reply: Result of the call.
            now_ms: Current time in milliseconds.

        Returns:
            Whether the upstream's state changed.
        """
        view = self.upstreams[reply.upstream_id]
        if reply.held_versions:
            view.held_versions = reply.held_versions
            view.versions_reported_ms = now_ms
        match reply.status:
            case (
                message.CallStatus.ANSWERED | message.CallStatus.VERSION_MISSING
            ):
                view.service_ms += SMOOTHING_RATIO * (
                    reply.service_ms - view.service_ms
                )
                view.last_outcome_ms = now_ms
                self._record_latency(service, view, reply.service_ms)
                if reply.draining:
                    return view.apply_event("drain_seen", now_ms)
                return view.apply_event("answered", now_ms)
            case message.CallStatus.TIMED_OUT if not reply.reached_upstream:
                # The call expired in a local queue and never reached the
                # upstream.
                return False
            case message.CallStatus.FAILED | message.CallStatus.TIMED_OUT:
                view.last_outcome_ms = now_ms
                slow_ms = max(reply.service_ms, 2 * view.service_ms)
                view.service_ms += SMOOTHING_RATIO * (slow_ms - view.service_ms)
                return view.apply_event("failed", now_ms)
            case message.CallStatus.CANCELLED:
                # The upstream took at least this long: the call had not been
                # answered when it was cancelled.
                if reply.service_ms > view.service_ms:
                    view.last_outcome_ms = now_ms
                    step_ms = reply.service_ms - view.service_ms
                    view.service_ms += SMOOTHING_RATIO * step_ms
                return False
            case message.CallStatus.SHED if reply.reached_upstream:
                return view.apply_event("failed", now_ms)
            case message.CallStatus.DRAINING:
                return view.apply_event("drain_seen", now_ms)
            case _:
                return False

    def record_drain(self, upstream_id: str, now_ms: float) -> bool:
        """Records a drain report; returns whether the state changed."""
        return self.upstreams[upstream_id].apply_event("drain_seen", now_ms)

    def refresh(self, upstream_id: str, now_ms: float) -> UpstreamHealth:
        """Applies due timeouts to an upstream's state; returns its health."""
        view = self.upstreams[upstream_id]
        age_ms = now_ms - view.state_changed_ms
        if view.state == "ejected" and age_ms > EJECTION_MS:
            view.apply_event("probe_due", now_ms)
        if view.state == "draining" and age_ms > DRAIN_EXPIRY_MS:
            view.apply_event("drain_lapsed", now_ms)
        return view

    def may_hold(self, upstream_id: str, version: int, now_ms: float) -> bool:
        """Returns whether an upstream may hold an index version."""
        held = self.held_versions(upstream_id, now_ms)
        return version == query.ANY_VERSION or held is None or version in held

    def all_held_versions(
        self, shards: tuple[catalog.Shard, ...], now_ms: float
    ) -> dict[str, tuple[int, ...]]:
        """Returns the held versions of the shards' upstreams with a report."""
        held = {
            upstream_id: self.held_versions(upstream_id, now_ms)
            for shard in shards
            for upstream_id in shard.upstream_ids
        }
        return {key: each for key, each in held.items() if each is not None}

    def held_versions(
        self, upstream_id: str, now_ms: float
    ) -> tuple[int, ...] | None:
        """Returns an upstream's held versions; None without a recent report."""
        view = self.upstreams.get(upstream_id)
        if (
            view is None
            or now_ms - view.versions_reported_ms > HELD_VERSIONS_TTL_MS
        ):
            return None
        return view.held_versions

    def expected_ms(
        self, service: str, upstream_id: str, now_ms: float
    ) -> float:
        """Returns an upstream's expected latency, decayed towards typical."""
        view = self.upstreams[upstream_id]
        typical_ms = self._typical_ms.get(service, PRIOR_MS)
        if not view.last_outcome_ms:
            return typical_ms
        weight = 0.5 ** ((now_ms - view.last_outcome_ms) / DECAY_HALF_LIFE_MS)
        return typical_ms + weight * (view.service_ms - typical_ms)

    def is_avoided(self, upstream_id: str, now_ms: float) -> bool:
        """Returns whether an upstream is ejected or draining."""
        return self.refresh(upstream_id, now_ms).state in (
            "ejected",
            "draining",
        )

    def is_draining(self, upstream_id: str, now_ms: float) -> bool:
        """Returns whether an upstream is draining."""
        return self.refresh(upstream_id, now_ms).state == "draining"

    def quantile_ms(self, service: str, ratio: float) -> float | None:
        """Returns a quantile of recent latencies; None with too few samples."""
        window = self._windows.get(service)
        if window is None or len(window) < WINDOW_MIN_COUNT:
            return None
        ordered = sorted(window)
        return ordered[min(len(ordered) - 1, int(ratio * len(ordered)))]

    def _record_latency(
        self, service: str, view: UpstreamHealth, service_ms: float
    ) -> None:
        known_slow = view.service_ms > STRAGGLER_RATIO * self._typical_ms.get(
            service, service_ms
        )
        if known_slow:
            # Samples of stragglers would raise the delay after which calls to
            # stragglers are hedged.
            return
        window = self._windows.get(service)
        if window is None:
            window = self._windows[service] = collections.deque(
                maxlen=WINDOW_COUNT
            )
        window.append(service_ms)
        typical = self._typical_ms.get(service, service_ms)
        # The estimate moves a fixed step up or down and so follows the median;
        # outliers do not shift it further.
        step = 0.05 * max(typical, 0.1)
        self._typical_ms[service] = typical + (
            step if service_ms > typical else -step
        )
