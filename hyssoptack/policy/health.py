"""What calls have shown about upstreams.

Estimates fade back towards the service's typical figure, so that an upstream
that was slow is tried again without a probe. When most upstreams of a service
look bad the fault may be ours, and nothing is avoided any more.
"""

import collections
import dataclasses

from hyssoptack.charts import chart
from hyssoptack.core import message

SMOOTHING_RATIO = 0.2
PRIOR_MS = 5.0
FADE_HALF_LIFE_MS = 10_000.0
HELD_FRESH_MS = 2_000.0
"""Versions that an upstream said it holds are believed for this long."""

EJECTION_MS = 2_000.0
DRAIN_MEMORY_MS = 30_000.0
STRAGGLER_RATIO = 3.0
"""An upstream this much slower than typical is a straggler."""

WINDOW_COUNT = 256
WINDOW_MIN_COUNT = 20

_CHART = chart.load("upstream")


@dataclasses.dataclass(kw_only=True)
class UpstreamHealth:
    """What one observer knows of one upstream.

    Attributes:
        state: Its state in the upstream chart.
        service_ms: Smoothed time from a send to the upstream until its answer.
        last_outcome_ms: When it last answered or failed.
        state_changed_ms: When its state last changed.
        versions_reported_ms: When it said so.
        held_versions: The index versions it last said it holds; None before it
            said any.
    """

    state: str = _CHART.initial
    service_ms: float = PRIOR_MS
    last_outcome_ms: float = 0.0
    state_changed_ms: float = 0.0
    held_versions: tuple[int, ...] | None = None
    versions_reported_ms: float = 0.0

    def apply_event(self, event: str, now_ms: float) -> bool:
        """Steps the state chart; returns whether the state changed."""
        before = self.state
        self.state = _CHART.step(before, event)
        if self.state != before:
            self.state_changed_ms = now_ms
        return self.state != before


class HealthTracker:
    """Views of upstreams, and the recent latencies of each service."""

    def __init__(self) -> None:
        self.upstreams: dict[str, UpstreamHealth] = collections.defaultdict(
            UpstreamHealth
        )
        self._windows: dict[str, collections.deque[float]] = {}
        self._typical_ms: dict[str, float] = {}

    def record_reply(
        self, service: str, reply: message.UpstreamReply, now_ms: float
    ) -> bool:
        """Takes what a call has shown.

        Args:
            service: The service that the upstream belongs to.
            reply: What became of the call.
            now_ms: The time now.

        Returns:
            True when the upstream's state changed.
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
                self._sample(service, view, reply.service_ms)
                if reply.draining:
                    return view.apply_event("drain_seen", now_ms)
                return view.apply_event("answered", now_ms)
            case message.CallStatus.TIMED_OUT if not reply.reached_upstream:
                # It expired in a queue of ours; the upstream never saw it.
                return False
            case message.CallStatus.FAILED | message.CallStatus.TIMED_OUT:
                view.last_outcome_ms = now_ms
                slow_ms = max(reply.service_ms, 2 * view.service_ms)
                view.service_ms += SMOOTHING_RATIO * (slow_ms - view.service_ms)
                return view.apply_event("failed", now_ms)
            case message.CallStatus.CANCELLED:
                # It was at least this slow, or nobody would have moved on.
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
        """Takes a report that an upstream drains; tells whether it was news."""
        return self.upstreams[upstream_id].apply_event("drain_seen", now_ms)

    def refresh(self, upstream_id: str, now_ms: float) -> UpstreamHealth:
        """Returns an upstream's view after the steps that only time brings."""
        view = self.upstreams[upstream_id]
        age_ms = now_ms - view.state_changed_ms
        if view.state == "ejected" and age_ms > EJECTION_MS:
            view.apply_event("probe_due", now_ms)
        if view.state == "draining" and age_ms > DRAIN_MEMORY_MS:
            view.apply_event("drain_lapsed", now_ms)
        return view

    def held_versions(
        self, upstream_id: str, now_ms: float
    ) -> tuple[int, ...] | None:
        """Returns the versions that an upstream lately held, or None."""
        view = self.upstreams.get(upstream_id)
        if view is None or now_ms - view.versions_reported_ms > HELD_FRESH_MS:
            return None
        return view.held_versions

    def expected_ms(
        self, service: str, upstream_id: str, now_ms: float
    ) -> float:
        """Returns the expected time of a call to an upstream, faded by age."""
        view = self.upstreams[upstream_id]
        typical_ms = self._typical_ms.get(service, PRIOR_MS)
        if not view.last_outcome_ms:
            return typical_ms
        weight = 0.5 ** ((now_ms - view.last_outcome_ms) / FADE_HALF_LIFE_MS)
        return typical_ms + weight * (view.service_ms - typical_ms)

    def is_avoided(self, upstream_id: str, now_ms: float) -> bool:
        """Tells whether an upstream gets no new work: it failed or drains."""
        return self.refresh(upstream_id, now_ms).state in (
            "ejected",
            "draining",
        )

    def is_draining(self, upstream_id: str, now_ms: float) -> bool:
        """Tells whether an upstream is leaving."""
        return self.refresh(upstream_id, now_ms).state == "draining"

    def quantile_ms(self, service: str, ratio: float) -> float | None:
        """Returns a quantile of recent latencies; None with too few."""
        window = self._windows.get(service)
        if window is None or len(window) < WINDOW_MIN_COUNT:
            return None
        ordered = sorted(window)
        return ordered[min(len(ordered) - 1, int(ratio * len(ordered)))]

    def _sample(
        self, service: str, view: UpstreamHealth, service_ms: float
    ) -> None:
        known_slow = view.service_ms > STRAGGLER_RATIO * self._typical_ms.get(
            service, service_ms
        )
        if known_slow:
            # Else a few stragglers would set the very delay after which they
            # are hedged.
            return
        window = self._windows.get(service)
        if window is None:
            window = self._windows[service] = collections.deque(
                maxlen=WINDOW_COUNT
            )
        window.append(service_ms)
        typical = self._typical_ms.get(service, service_ms)
        # The median moves by sign, so that stragglers do not drag the typical
        # figure with them.
        step = 0.05 * max(typical, 0.1)
        self._typical_ms[service] = typical + (
            step if service_ms > typical else -step
        )
