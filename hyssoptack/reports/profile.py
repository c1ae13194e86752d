"""`python -m hyssoptack.reports.profile LOG`: where requests spend their time.

Reads the lines of all instances of a deployment, with any prefix. For each
route: how long its requests took, how long their calls took, and what became of
the calls that were made once more.
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
"""Reasons that are named for each route."""


@dataclasses.dataclass(kw_only=True)
class Route:
    """What the requests of one route did.

    Attributes:
        took_ms: From arrival to answer, a request each.
        first_ms: To the first answer of an upstream.
        last_ms: To the last answer that was used.
        reasons: How those ended that got no answer, or one without all parts.
        extras: Calls that were made once more: by cause, how many, how many
            brought the answer, how many were too late to bring it.
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
    """Returns what the requests of each route did."""
    known = margins.services_by_upstream(entries)
    found: dict[str, Route] = {}
    for entry in entries:
        if entry.kind != "request_ended" or "calls" not in entry.fields:
            continue
        route = found.setdefault(str(entry.fields["route"]), Route())
        _note(route, entry, known)
    return found


def _note(route: Route, entry: timeline.Entry, known: dict[str, str]) -> None:
    made = calls.parse(entry)
    route.took_ms.append(entry.fields["took_ms"])
    answers = [each.after_ms + each.took_ms for each in made if each.answered]
    if answers:
        route.first_ms.append(min(answers))
        route.last_ms.append(max(answers))
    status, reason = entry.fields["status"], entry.fields["reason"]
    answered, _, asked = str(reason).partition("/")
    if status != 200 or (asked and answered != asked):
        route.reasons["parts left out" if asked else str(reason)] += 1
    parts: dict[str, list[calls.Call]] = collections.defaultdict(list)
    for each in made:
        parts[known.get(each.upstream_id, each.upstream_id)].append(each)
    for part in parts.values():
        _note_extras(route, part)


def _note_extras(route: Route, part: list[calls.Call]) -> None:
    """Notes whether the calls that a part was sent once more in paid off."""
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


def _spread(values: list[float]) -> str:
    if len(values) < 2:
        return "-"
    cuts = statistics.quantiles(values, n=100, method="inclusive")
    return f"{cuts[49]:.0f} {cuts[89]:.0f} {cuts[98]:.0f}"


def text(found: dict[str, Route]) -> str:
    """Returns the profile for people."""
    rows = ["times in ms: half, 90 and 99 in 100 of the requests"]
    for name, route in sorted(found.items()):
        rows.append(f"{name}: {len(route.took_ms)} requests")
        rows.append(f"  first answer of an upstream: {_spread(route.first_ms)}")
        rows.append(f"  last answer that was used: {_spread(route.last_ms)}")
        rows.append(f"  answer to the caller: {_spread(route.took_ms)}")
        for reason, count in route.reasons.most_common(TOP_COUNT):
            rows.append(f"  {reason}: {count}")
        for why, counts in sorted(route.extras.items()):
            rows.append(
                f"  calls made once more ({why}): {counts['made']},"
                f" of which brought the answer {counts['used']},"
                f" another did {counts['needless']}"
            )
    return "\n".join(rows)


def main(log: pathlib.Path, /) -> None:
    """Prints where requests spend their time.

    Args:
        log: The lines of all instances.
    """
    with log.open(encoding="utf-8", errors="replace") as lines:
        entries = timeline.read(lines)
    print(text(routes(entries)))


if __name__ == "__main__":
    cyclopts.run(main)
