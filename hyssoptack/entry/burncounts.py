"""Counts answers, refusals and calls per time slice, to compute burn rates."""

import collections
import dataclasses

SLICE_MS = 10_000.0
SLICE_LIMIT_COUNT = 360
"""Number of slices kept: one hour."""

LATENCY_BOUNDS_MS = (
    1, 2, 5, 10, 20, 30, 40, 50, 62, 80, 100, 150, 200, 300,
    400, 600, 800, 1_000, 1_500, 2_000, 5_000,
)  # fmt: skip


@dataclasses.dataclass(kw_only=True)
class ServiceCounts:
    """Counts of one service in one time slice.

    Attributes:
        answered_count: Requests that were answered, with full or partial
            coverage.
        late_count: Those of them answered after the profile's deadline.
        refused: Number of refusals by reason.
        covered_sum: Sum of the answers' coverage ratios.
        upstream_call_count: Calls to upstreams.
        extra_call_count: Calls beyond the first for each shard.
        latency: Number of answers by index of their bucket in
            `LATENCY_BOUNDS_MS`; one past its end for slower ones.
    """

    answered_count: int = 0
    late_count: int = 0
    refused: dict[str, int] = dataclasses.field(default_factory=dict)
    covered_sum: float = 0.0
    upstream_call_count: int = 0
    extra_call_count: int = 0
    latency: dict[int, int] = dataclasses.field(default_factory=dict)


class BurnCounts:
    """Time slices of counts by service; keeps the most recent ones."""

    def __init__(self) -> None:
        self._slices: dict[
            str, collections.OrderedDict[int, ServiceCounts]
        ] = {}

    def _slice(self, service: str, now_ms: float) -> ServiceCounts:
        slices = self._slices.setdefault(service, collections.OrderedDict())
        index = int(now_ms // SLICE_MS)
        counts = slices.get(index)
        if counts is None:
            counts = slices[index] = ServiceCounts()
            while len(slices) > SLICE_LIMIT_COUNT:
                slices.popitem(last=False)
        return counts

    def record_answer(
        self,
        service: str,
        elapsed_ms: float,
        deadline_ms: float,
        coverage_ratio: float,
        now_ms: float,
    ) -> None:
        """Counts an answer, whatever its coverage."""
        counts = self._slice(service, now_ms)
        counts.answered_count += 1
        counts.late_count += elapsed_ms > deadline_ms
        counts.covered_sum += coverage_ratio
        _add_count(counts.latency, _bound_index(elapsed_ms), 1)

    def record_calls(
        self,
        service: str,
        upstream_call_count: int,
        extra_call_count: int,
        now_ms: float,
    ) -> None:
        """Counts the calls that a request made to upstreams."""
        counts = self._slice(service, now_ms)
        counts.upstream_call_count += upstream_call_count
        counts.extra_call_count += extra_call_count

    def record_refusal(self, service: str, reason: str, now_ms: float) -> None:
        """Counts a refusal."""
        _add_count(self._slice(service, now_ms).refused, reason, 1)

    def window_sums(
        self, window_ms: tuple[float, ...], now_ms: float
    ) -> dict[str, dict[str, ServiceCounts]]:
        """Sums the counts over windows that end now.

        Args:
            window_ms: Lengths of the windows.
            now_ms: Current time.

        Returns:
            Sums by service and window length.
        """
        return {
            service: {
                str(int(length)): _sum(slices, now_ms - length)
                for length in window_ms
            }
            for service, slices in self._slices.items()
        }


def _add_count(counts: dict, key: str | int, count: int) -> None:
    counts[key] = counts.get(key, 0) + count


def _bound_index(elapsed_ms: float) -> int:
    for index, bound in enumerate(LATENCY_BOUNDS_MS):
        if elapsed_ms <= bound:
            return index
    return len(LATENCY_BOUNDS_MS)


def _sum(
    slices: collections.OrderedDict[int, ServiceCounts], since_ms: float
) -> ServiceCounts:
    total = ServiceCounts()
    for index, part in slices.items():
        if (index + 1) * SLICE_MS <= since_ms:
            continue
        add_counts(total, part)
    return total


def add_counts(total: ServiceCounts, part: ServiceCounts) -> None:
    """Adds one slice's counts to a total."""
    total.answered_count += part.answered_count
    total.late_count += part.late_count
    for reason, count in part.refused.items():
        _add_count(total.refused, reason, count)
    total.covered_sum += part.covered_sum
    total.upstream_call_count += part.upstream_call_count
    total.extra_call_count += part.extra_call_count
    for index, count in part.latency.items():
        _add_count(total.latency, index, count)
