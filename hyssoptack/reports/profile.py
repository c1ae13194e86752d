"""`python -m hyssoptack.reports.profile LOG`: where requests spend their time.

Reads the log lines of all instances of a deployment, with any prefix. Reports
for each route the latency of its requests and of their calls, and how many of
the extra calls were useful.
"""

import collections
import dataclasses
import pathlib
import statistics

import cyclopts

from hyssoptack.reports import calls
from hyssoptack.reports import margins
from hyssoptack.reports import timeline

TOP_COUNT = 5
"""Maximum number of failure reasons listed for each route."""


@dataclasses.dataclass(kw_only=True)
class Route:
    """Latencies, failures and extra calls of the requests of one route.

    Attributes:
        took_ms: Time from arrival to answer, one entry per request.
        first_ms: Time to the first upstream reply used in the answer.
        last_ms: Time to the last upstream reply used in the answer.
        reasons: Number of failed or incomplete requests, by reason.
        extras: Extra calls by cause: number made, number whose reply was used,
            and number that were needless since another reply was used.
    """

    took_ms: list[float] = dataclasses.field(default_factory=list)
    first_ms: list[float] = dataclasses.field(default_factory=list)
    last_ms: list[float] = dataclasses.field(default_factory=list)
    reasons: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    extras: dict[str, collections.Counter[str]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(collections.Counter)
    )


def routes(entries: list[timeline.Entry]) -> dict[str, Route]:
    """Aggregates the requests of each route, by the route's name."""
    services = margins.services_by_upstream(entries)
    found: dict[str, Route] = {}
    for entry in entries:
        if entry.kind != "request_ended" or "calls" not in entry.fields:
            continue
        route = found.setdefault(str(entry.fields["route"]), Route())
        _add_request(route, entry, services)
    return found


def _add_request(
    route: Route, entry: timeline.Entry, services: dict[str, str]
) -> None:
    """Adds a request to its route."""
    made = calls.parse(entry)
    route.took_ms.append(entry.fields["took_ms"])
    answers = [each.after_ms + each.took_ms for each in made if each.answered]
    if answers:
        route.first_ms.append(min(answers))
        route.last_ms.append(max(answers))
    status, reason = entry.fields["status"], entry.fields["reason"]
    answered, _, expected = str(reason).partition("/")
    if status != 200 or (expected and answered != expected):
        route.reasons["parts missing" if expected else str(reason)] += 1
    parts: dict[str, list[calls.Call]] = collections.defaultdict(list)
    for each in made:
        parts[services.get(each.upstream_id, each.upstream_id)].append(each)
    for part in parts.values():
        _add_extra_calls(route, part)


def _add_extra_calls(route: Route, part: list[calls.Call]) -> None:
    """Adds the extra calls of one part: whether each one's reply was used."""
    used = next((each for each in part if each.answered), None)
    for each in part:
        if each.cause == "first":
            continue
        counts = route.extras[each.cause]
        counts["made"] += 1
        if each is used:
            counts["used"] += 1
        elif used is not None:
            counts["needless"] += 1


def _percentiles(values: list[float]) -> str:
    """Formats the 50th, 90th and 99th percentiles."""
    if len(values) < 2:
        return "-"
    cuts = statistics.quantiles(values, n=100, method="inclusive")
    return f"{cuts[49]:.0f} {cuts[89]:.0f} {cuts[98]:.0f}"


def text(found: dict[str, Route]) -> str:
    """Formats the profile as text."""
    rows = ["times in ms: 50th, 90th and 99th percentiles of the requests"]
    for name, route in sorted(found.items()):
        rows.append(f"{name}: {len(route.took_ms)} requests")
        rows.append(
            f"  first reply of an upstream: {_percentiles(route.first_ms)}"
        )
        rows.append(
            f"  last reply that was used: {_percentiles(route.last_ms)}"
        )
        rows.append(f"  answer to the caller: {_percentiles(route.took_ms)}")
        for reason, count in route.reasons.most_common(TOP_COUNT):
            rows.append(f"  {reason}: {count}")
        for cause, counts in sorted(route.extras.items()):
            rows.append(
                f"  extra calls ({cause}): {counts['made']} made,"
                f" {counts['used']} used,"
                f" {counts['needless']} needless"
            )
    return "\n".join(rows)


def main(log: pathlib.Path, /) -> None:
    """Prints where requests spend their time.

    Args:
        log: Log file with the lines of all instances.
    """
    with log.open(encoding="utf-8", errors="replace") as lines:
        entries = timeline.read(lines)
    print(text(routes(entries)))


if __name__ == "__main__":
    cyclopts.run(main)
