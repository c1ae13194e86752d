"""Counts what callers got, in slices of time, for the burn report."""

import collections
import dataclasses

SLICE_MS = 10_000.0
KEEP_COUNT = 360
"""Slices kept: an hour."""

LATENCY_BOUNDS_MS = (
    1, 2, 5, 10, 20, 30, 40, 50, 62, 80, 100, 150, 200, 300,
    400, 600, 800, 1_000, 1_500, 2_000, 5_000,
)  # fmt: skip


@dataclasses.dataclass(kw_only=True)
class ServiceCounts:
    """Counts of one service in one slice of time.

    Attributes:
        answered_count: Requests that got a whole answer.
        late_count: Of these, those after the profile's deadline.
        refused: Refusals by reason.
        covered_sum: Sum of coverage ratios of answers.
        upstream_call_count: Calls to upstreams.
        extra_call_count: Calls beyond the first of each shard.
        latency: Answers by the index of their latency bound.
    """

    answered_count: int = 0
    late_count: int = 0
    refused: dict[str, int] = dataclasses.field(default_factory=dict)
    covered_sum: float = 0.0
    upstream_call_count: int = 0
    extra_call_count: int = 0
    latency: dict[int, int] = dataclasses.field(default_factory=dict)


class BurnCounts:
    """Slices by service; the oldest fall out."""

    def __init__(self) -> None:
        self._slices: dict[
            str, collections.OrderedDict[int, ServiceCounts]
        ] = {}

    def _slice(self, service: str, now_ms: float) -> ServiceCounts:
        slices = self._slices.setdefault(service, collections.OrderedDict())
        index = int(now_ms // SLICE_MS)
        found = slices.get(index)
        if found is None:
            found = slices[index] = ServiceCounts()
            while len(slices) > KEEP_COUNT:
                slices.popitem(last=False)
        return found

    def record_answer(
        self,
        service: str,
        elapsed_ms: float,
        deadline_ms: float,
        coverage_ratio: float,
        now_ms: float,
    ) -> None:
        """Counts a whole answer."""
        found = self._slice(service, now_ms)
        found.answered_count += 1
        found.late_count += elapsed_ms > deadline_ms
        found.covered_sum += coverage_ratio
        _count(found.latency, _bound_index(elapsed_ms), 1)

    def record_calls(
        self,
        service: str,
        upstream_call_count: int,
        extra_call_count: int,
        now_ms: float,
    ) -> None:
        """Counts the calls that a request made to upstreams."""
        found = self._slice(service, now_ms)
        found.upstream_call_count += upstream_call_count
        found.extra_call_count += extra_call_count

    def record_refusal(self, service: str, reason: str, now_ms: float) -> None:
        """Counts a refusal."""
        _count(self._slice(service, now_ms).refused, reason, 1)

    def window_sums(
        self, window_ms: tuple[float, ...], now_ms: float
    ) -> dict[str, dict[str, ServiceCounts]]:
        """Sums slices up.

        Args:
            window_ms: Lengths of the windows that end now.
            now_ms: The time now.

        Returns:
            A sum for each service and window length.
        """
        return {
            service: {
                str(int(length)): _sum(slices, now_ms - length)
                for length in window_ms
            }
            for service, slices in self._slices.items()
        }


def _count(counts: dict, key: str | int, count: int) -> None:
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
    for index, each in slices.items():
        if (index + 1) * SLICE_MS <= since_ms:
            continue
        add_counts(total, each)
    return total


def add_counts(total: ServiceCounts, each: ServiceCounts) -> None:
    """Adds one slice's counts to a total."""
    total.answered_count += each.answered_count
    total.late_count += each.late_count
    for reason, count in each.refused.items():
        _count(total.refused, reason, count)
    total.covered_sum += each.covered_sum
    total.upstream_call_count += each.upstream_call_count
    total.extra_call_count += each.extra_call_count
    for index, count in each.latency.items():
        _count(total.latency, index, count)
