"""Burn-rate report: how fast each service consumes its error budget.

A burn rate of 1 consumes exactly the error budget that the profile's goal
allows; 10 consumes it ten times as fast (Beyer et al., "The Site Reliability
Workbook", chapter "Alerting on SLOs").
"""

import dataclasses
import pathlib

import msgspec

from hyssoptack.core import catalog
from hyssoptack.entry import burncounts

_DOCUMENT_TYPE = dict[str, dict[str, burncounts.ServiceCounts]]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Row:
    """The figures of one service in one window.

    Attributes:
        service: Name of the service.
        profile: Name of its profile.
        window_s: Length of the window.
        request_count: Number of requests.
        answered_count: Number of requests that were answered.
        late_count: Number of answers after the profile's deadline.
        refused: Number of refusals by reason.
        in_time_ratio: Share of requests answered in time.
        coverage_mean_ratio: Mean coverage of the answers.
        extra_load_ratio: Extra calls per first call.
        p50_ms: Upper bound of the median latency.
        p99_ms: Upper bound of the latency's 99th percentile.
        burn_rate: Error ratio divided by the ratio that the goal allows.
        extra_load_burn_rate: Extra load divided by its ceiling.
    """

    service: str
    profile: str
    window_s: float
    request_count: int
    answered_count: int
    late_count: int
    refused: dict[str, int]
    in_time_ratio: float
    coverage_mean_ratio: float
    extra_load_ratio: float
    p50_ms: float
    p99_ms: float
    burn_rate: float
    extra_load_burn_rate: float


def merge(
    documents: list[object],
) -> dict[str, dict[str, burncounts.ServiceCounts]]:
    """Adds up the `/burn` documents of several instances."""
    totals: dict[str, dict[str, burncounts.ServiceCounts]] = {}
    for document in documents:
        for service, windows in msgspec.convert(
            document, _DOCUMENT_TYPE, strict=False
        ).items():
            for window, each in windows.items():
                total = totals.setdefault(service, {}).setdefault(
                    window, burncounts.ServiceCounts()
                )
                burncounts.add_counts(total, each)
    return totals


def _quantile_ms(latency: dict[int, int], ratio: float) -> float:
    """Returns an upper bound of a latency quantile, from a histogram."""
    total = sum(latency.values())
    if not total:
        return 0.0
    count = 0
    for index in sorted(latency):
        count += latency[index]
        if count >= ratio * total:
            last = len(burncounts.LATENCY_BOUNDS_MS) - 1
            return float(burncounts.LATENCY_BOUNDS_MS[min(index, last)])
    return float(burncounts.LATENCY_BOUNDS_MS[-1])


def _row(
    service: str,
    profile: catalog.Profile,
    window: str,
    each: burncounts.ServiceCounts,
) -> Row:
    refused_count = sum(each.refused.values())
    request_count = each.answered_count + refused_count
    in_time = each.answered_count - each.late_count
    first_count = each.upstream_call_count - each.extra_call_count
    in_time_ratio = in_time / request_count if request_count else 1.0
    allowed = max(1.0 - profile.latency_goal_ratio, 1e-9)
    extra_ratio = each.extra_call_count / first_count if first_count > 0 else 0
    ceiling = max(profile.extra_load_ceiling_ratio, 1e-9)
    answered = max(1, each.answered_count)
    return Row(
        service=service,
        profile=profile.name,
        window_s=float(window) / 1000.0,
        request_count=request_count,
        answered_count=each.answered_count,
        late_count=each.late_count,
        refused=dict(each.refused),
        in_time_ratio=in_time_ratio,
        coverage_mean_ratio=each.covered_sum / answered,
        extra_load_ratio=extra_ratio,
        p50_ms=_quantile_ms(each.latency, 0.5),
        p99_ms=_quantile_ms(each.latency, 0.99),
        burn_rate=(1.0 - in_time_ratio) / allowed,
        extra_load_burn_rate=extra_ratio / ceiling,
    )


def rows(
    totals: dict[str, dict[str, burncounts.ServiceCounts]],
    current: catalog.Catalog,
) -> list[Row]:
    """Returns the report's rows, ordered by service and window."""
    result = []
    for service in sorted(totals):
        service_config = current.services.get(service)
        if service_config is None:
            continue
        profile = current.profiles[service_config.profile]
        for window in sorted(totals[service], key=float):
            result.append(
                _row(service, profile, window, totals[service][window])
            )
    return result


def text(report: list[Row]) -> str:
    """Formats the report as a table for a terminal."""
    head = (
        f"{'service':<24}{'window':>8}{'requests':>10}{'in time':>9}"
        f"{'coverage':>10}{'extra':>8}{'p50 ms':>8}{'p99 ms':>8}{'burn':>8}"
        "  refused"
    )
    lines = [head]
    for row in report:
        refused = ", ".join(
            f"{reason} {count}" for reason, count in sorted(row.refused.items())
        )
        lines.append(
            f"{row.service:<24}{row.window_s:>7.0f}s{row.request_count:>10}"
            f"{row.in_time_ratio:>9.4f}{row.coverage_mean_ratio:>10.4f}"
            f"{row.extra_load_ratio:>8.4f}{row.p50_ms:>8.0f}{row.p99_ms:>8.0f}"
            f"{row.burn_rate:>8.2f}  {refused or '-'}"
        )
    return "\n".join(lines)


def plot(report: list[Row], path: pathlib.Path) -> None:
    """Plots burn rates by service and window into an image file."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    services = sorted({row.service for row in report})
    windows = sorted({row.window_s for row in report})
    figure, (left, right) = pyplot.subplots(1, 2, figsize=(11, 4))
    width = 0.8 / max(1, len(windows))
    for offset, window_s in enumerate(windows):
        rows_by_service = {
            row.service: row for row in report if row.window_s == window_s
        }
        positions = [index + offset * width for index in range(len(services))]
        burns = [
            rows_by_service[name].burn_rate if name in rows_by_service else 0
            for name in services
        ]
        extras = [
            rows_by_service[name].extra_load_burn_rate
            if name in rows_by_service
            else 0
            for name in services
        ]
        left.bar(positions, burns, width, label=f"{window_s:.0f} s")
        right.bar(positions, extras, width, label=f"{window_s:.0f} s")
    for axes, title in (
        (left, "Latency goal: burn rate"),
        (right, "Extra load over its ceiling"),
    ):
        axes.set_xticks(range(len(services)), services, rotation=20)
        axes.axhline(1.0, color="black", linewidth=0.8)
        axes.set_title(title)
        axes.legend(title="window")
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
