"""`python -m hyssoptack.reports.margins LOG`: how near limits were to breaking.

Reads the lines of all instances of a deployment, with any prefix, and joins
them by request: an instance knows only its own calls.
"""

import collections
import collections.abc
import dataclasses
import pathlib

import cyclopts

from hyssoptack.reports import calls
from hyssoptack.reports import timeline

SHOWN_COUNT = 5
"""Most requests and services that are named for each limit."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Spread:
    """How many upstreams of one service a request was sent to.

    Attributes:
        request_id: The request.
        service: The service of which it was most.
        upstream_count: How many.
        instance_ids: The instances that decided on these calls.
        taken_back: Whether it was handed over and taken back.
    """

    request_id: str
    service: str
    upstream_count: int
    instance_ids: tuple[str, ...]
    taken_back: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class Window:
    """The most extra calls to one service in any one window.

    Attributes:
        service: The service.
        extra_count: The extra calls.
        request_count: First calls in the same time.
        end_s: When the window ends, by the instances' time of day.
    """

    service: str
    extra_count: int
    request_count: int
    end_s: float


def services_by_upstream(
    entries: collections.abc.Iterable[timeline.Entry],
) -> dict[str, str]:
    """Returns the service of each upstream that the entries tell of."""
    known: dict[str, str] = {}
    for each in entries:
        match each.kind, each.fields.get("came"):
            case "upstreams_changed", dict(came):
                known.update(came)
        if each.kind == "call_extra":
            known[each.fields["upstream"]] = each.fields["service"]
    return known


def spreads(entries: list[timeline.Entry]) -> list[Spread]:
    """Returns each request's spread over upstreams, the widest first."""
    known = services_by_upstream(entries)
    taken_back = {
        each.fields["request_id"]
        for each in entries
        if each.kind == "query_back"
    }
    seen: dict[str, dict[str, dict[str, set[str]]]] = {}
    for each in entries:
        if each.kind != "request_ended":
            continue
        parts = seen.setdefault(str(each.fields["request_id"]), {})
        for call in calls.parse(each):
            service = known.get(call.upstream_id, call.upstream_id)
            if call.sent:
                upstreams = parts.setdefault(service, {})
                deciders = upstreams.setdefault(call.upstream_id, set())
                deciders.add(each.instance_id)
    found = [
        _widest(request_id, parts, request_id in taken_back)
        for request_id, parts in seen.items()
        if parts
    ]
    return sorted(found, key=lambda each: -each.upstream_count)


def _widest(
    request_id: str, parts: dict[str, dict[str, set[str]]], taken_back: bool
) -> Spread:
    service, upstreams = max(parts.items(), key=lambda item: len(item[1]))
    return Spread(
        request_id=request_id,
        service=service,
        upstream_count=len(upstreams),
        instance_ids=tuple(sorted(set().union(*upstreams.values()))),
        taken_back=taken_back,
    )


def windows(entries: list[timeline.Entry], window_s: float) -> list[Window]:
    """Returns each service's fullest window of extra calls, the fullest first.

    Args:
        entries: All entries, in order of time.
        window_s: How long a window is.
    """
    known = services_by_upstream(entries)
    extras: dict[str, list[float]] = collections.defaultdict(list)
    firsts: dict[str, list[float]] = collections.defaultdict(list)
    for each in entries:
        if each.kind != "request_ended":
            continue
        for call in calls.parse(each):
            service = known.get(call.upstream_id, call.upstream_id)
            if call.cause == "first":
                firsts[service].append(each.time_s)
            elif call.sent:
                extras[service].append(each.time_s)
    found = [
        _fullest(service, times, firsts[service], window_s)
        for service, times in extras.items()
    ]
    return sorted(found, key=lambda each: -each.extra_count)


def _fullest(
    service: str, extras: list[float], firsts: list[float], window_s: float
) -> Window:
    recent: collections.deque[float] = collections.deque()
    most_count, end_s = 0, 0.0
    for at_s in extras:
        recent.append(at_s)
        while recent[0] <= at_s - window_s:
            recent.popleft()
        if len(recent) > most_count:
            most_count, end_s = len(recent), at_s
    request_count = sum(end_s - window_s < each <= end_s for each in firsts)
    return Window(
        service=service,
        extra_count=most_count,
        request_count=request_count,
        end_s=end_s,
    )


def text(entries: list[timeline.Entry], window_s: float) -> str:
    """Returns the margins for people."""
    found = spreads(entries)
    counts = collections.Counter(
        (each.upstream_count, each.taken_back) for each in found
    )
    rows = ["upstreams of one shard called for one request:"]
    for (upstream_count, taken_back), count in sorted(counts.items()):
        note = " (handed over and taken back)" if taken_back else ""
        rows.append(f"  {upstream_count}: {count} requests{note}")
    for each in found[:SHOWN_COUNT]:
        by = ", ".join(each.instance_ids)
        rows.append(
            f"    {each.request_id}: {each.upstream_count} of"
            f" {each.service}, by {by}"
        )
    rows.append(f"extra calls to one service within {window_s:g} s:")
    for each in windows(entries, window_s)[:SHOWN_COUNT]:
        rows.append(
            f"  {each.service}: {each.extra_count} beside"
            f" {each.request_count} first calls, until {each.end_s:.3f} s"
        )
    return "\n".join(rows)


def main(log: pathlib.Path, /, *, window_s: float = 10.0) -> None:
    """Prints how near a deployment's limits were to breaking.

    Args:
        log: The lines of all instances.
        window_s: The window in which extra calls are counted.
    """
    with log.open(encoding="utf-8", errors="replace") as lines:
        entries = timeline.read(lines)
    print(text(entries, window_s))


if __name__ == "__main__":
    cyclopts.run(main)
