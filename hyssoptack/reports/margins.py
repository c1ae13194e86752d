"""`python -m hyssoptack.reports.margins LOG`: how close calls came to limits.

Reads the log lines of all instances of a deployment, with any prefix, and joins
them by request, since each instance logs only its own calls.
"""

import collections
import collections.abc
import dataclasses
import pathlib

import cyclopts

from hyssoptack.reports import calls
from hyssoptack.reports import timeline

SHOWN_COUNT = 5
"""Maximum number of requests and services listed for each limit."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Spread:
    """Number of upstreams of one service to which a request was sent.

    Attributes:
        request_id: The request's id.
        service: The service with the most upstreams called.
        upstream_count: Number of upstreams called.
        instance_ids: The instances that made these calls.
        taken_back: Whether the request was delegated and taken back.
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
        service: Name of the service.
        extra_count: Number of extra calls.
        first_call_count: Number of first calls in the same window.
        end_s: End of the window, as Unix time of the instances.
    """

    service: str
    extra_count: int
    first_call_count: int
    end_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class ListAge:
    """Age of the list of upstreams that an instance used for a request.

    Attributes:
        request_id: The request's id.
        instance_id: The instance.
        age_ms: Age of the list at the end of the request.
        revision: The store's revision of the list.
    """

    request_id: str
    instance_id: str
    age_ms: float
    revision: int


def services_by_upstream(
    entries: collections.abc.Iterable[timeline.Entry],
) -> dict[str, str]:
    """Returns the service of each upstream named in the entries."""
    services: dict[str, str] = {}
    for each in entries:
        match each.kind, each.fields.get("came"):
            case "upstreams_changed", dict(came):
                services.update(came)
        if each.kind == "call_extra":
            services[each.fields["upstream"]] = each.fields["service"]
    return services


def spreads(entries: list[timeline.Entry]) -> list[Spread]:
    """Returns the spread of each request over upstreams, widest first."""
    services = services_by_upstream(entries)
    taken_back = {
        each.fields["request_id"]
        for each in entries
        if each.kind == "query_back"
    }
    calls_by_request: dict[str, dict[str, dict[str, set[str]]]] = {}
    for each in entries:
        if each.kind != "request_ended":
            continue
        parts = calls_by_request.setdefault(str(each.fields["request_id"]), {})
        for call in calls.parse(each):
            service = services.get(call.upstream_id, call.upstream_id)
            if call.sent:
                upstreams = parts.setdefault(service, {})
                callers = upstreams.setdefault(call.upstream_id, set())
                callers.add(each.instance_id)
    result = [
        _widest(request_id, parts, request_id in taken_back)
        for request_id, parts in calls_by_request.items()
        if parts
    ]
    return sorted(result, key=lambda each: -each.upstream_count)


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
    """Returns the window with the most extra calls of each service.

    Args:
        entries: All entries, in order of time.
        window_s: Length of the window.

    Returns:
        A window for each service, the one with the most extra calls first.
    """
    services = services_by_upstream(entries)
    extras: dict[str, list[float]] = collections.defaultdict(list)
    firsts: dict[str, list[float]] = collections.defaultdict(list)
    for each in entries:
        if each.kind != "request_ended":
            continue
        for call in calls.parse(each):
            service = services.get(call.upstream_id, call.upstream_id)
            if call.cause == "first":
                firsts[service].append(each.time_s)
            elif call.sent:
                extras[service].append(each.time_s)
    result = [
        _busiest(service, times, firsts[service], window_s)
        for service, times in extras.items()
    ]
    return sorted(result, key=lambda each: -each.extra_count)


def _busiest(
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
    first_call_count = sum(end_s - window_s < each <= end_s for each in firsts)
    return Window(
        service=service,
        extra_count=most_count,
        first_call_count=first_call_count,
        end_s=end_s,
    )


def list_ages(entries: list[timeline.Entry]) -> list[ListAge]:
    """Returns the age of the list for each request, the oldest first."""
    result = [
        ListAge(
            request_id=str(each.fields["request_id"]),
            instance_id=each.instance_id,
            age_ms=float(each.fields["list_age_ms"]),
            revision=int(each.fields.get("list_revision", 0)),
        )
        for each in entries
        if each.kind == "request_ended" and "list_age_ms" in each.fields
    ]
    return sorted(result, key=lambda each: -each.age_ms)


def text(entries: list[timeline.Entry], window_s: float) -> str:
    """Formats the margins as text."""
    result = spreads(entries)
    counts = collections.Counter(
        (each.upstream_count, each.taken_back) for each in result
    )
    rows = ["upstreams of one shard called for one request:"]
    for (upstream_count, taken_back), count in sorted(counts.items()):
        note = " (delegated and taken back)" if taken_back else ""
        rows.append(f"  {upstream_count}: {count} requests{note}")
    for each in result[:SHOWN_COUNT]:
        by = ", ".join(each.instance_ids)
        rows.append(
            f"    {each.request_id}: {each.upstream_count} of"
            f" {each.service}, by {by}"
        )
    rows.append(f"extra calls to one service within {window_s:g} s:")
    for each in windows(entries, window_s)[:SHOWN_COUNT]:
        rows.append(
            f"  {each.service}: {each.extra_count} in addition to"
            f" {each.first_call_count} first calls, until {each.end_s:.3f} s"
        )
    rows.append("oldest lists of upstreams in use:")
    for each in list_ages(entries)[:SHOWN_COUNT]:
        rows.append(
            f"  {each.age_ms:.0f} ms, revision {each.revision}, by"
            f" {each.instance_id} for {each.request_id}"
        )
    return "\n".join(rows)


def main(log: pathlib.Path, /, *, window_s: float = 10.0) -> None:
    """Prints how close a deployment came to its limits.

    Args:
        log: Log file with the lines of all instances.
        window_s: Length of the window in which extra calls are counted.
    """
    with log.open(encoding="utf-8", errors="replace") as lines:
        entries = timeline.read(lines)
    print(text(entries, window_s))


if __name__ == "__main__":
    cyclopts.run(main)
