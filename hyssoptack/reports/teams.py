"""Counts the requests of each team in the log lines of all instances.

The lines are read as a stream. A request that was delegated is logged by both
instances; it is counted once, as its first instance reports it. For that, only
the ids of requests that several lines describe are kept, at most
`HELD_LIMIT_COUNT` of each kind.
"""

import collections
import collections.abc
import dataclasses
import heapq
import pathlib

import expression
import msgspec

from hyssoptack.core import decoding

HELD_LIMIT_COUNT = 100_000
"""Maximum number of request ids of each kind that are kept: those of some 10 s
on the largest deployment, while both lines of a request are a second apart."""

REFUSAL_STATUSES = {"rate_limited": 429, "request_refused": 503}
"""Statuses of the events with which the rate limiter and admission control
report refused requests."""

NO_TEAM = "-"
"""Shown for requests without a team: anonymous, rejected early, or logged
while the configuration had no teams."""

REASONS_SHOWN_COUNT = 5


class _Line(msgspec.Struct):
    """The fields of a log line that this report uses."""

    message_type: str
    timestamp: float = 0.0
    instance: str = ""
    request_id: str = ""
    team: str = NO_TEAM
    rate_per_s: float | None = None
    version: int | None = None
    route: str = ""
    status: int | None = None
    reason: str = ""
    begun: bool = False
    retry_after_ms: float | None = None

    @property
    def kind(self) -> str:
        """Name of the event."""
        return self.message_type.rpartition(":")[2]

    @property
    def names_rate(self) -> bool:
        """Whether the line names the team's rate limit, if there is one.

        Lines of refusals do not, whatever their version.
        """
        match self.kind:
            case "request_ended":
                return bool(self.route)
            case kind:
                return kind not in REFUSAL_STATUSES


_DECODER = msgspec.json.Decoder(_Line)


@dataclasses.dataclass(kw_only=True)
class Total:
    """The requests of one team.

    Attributes:
        served_count: Requests answered with a status below 500.
        left_count: Requests whose caller disconnected before the answer.
        refused: Refused requests, which have not run, by reason.
        failed: Requests that failed after they may have run, by reason.
        rate_per_s: The rate limit in the highest version seen; None if the team
            is not limited.
        version: That version; 0 if no line names one.
    """

    served_count: int = 0
    left_count: int = 0
    refused: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    failed: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    rate_per_s: float | None = None
    version: int = 0

    @property
    def received_count(self) -> int:
        """All requests of the team."""
        return (
            self.served_count
            + self.left_count
            + self.refused.total()
            + self.failed.total()
        )


class _Held:
    """Lines or ids kept by request id, the oldest dropped above the limit."""

    def __init__(self) -> None:
        self._by_id: dict[object, _Line | None] = {}

    def add(self, key: object, line: _Line | None = None) -> _Line | None:
        """Keeps a key with a line; returns the line dropped for it."""
        self._by_id[key] = line
        if len(self._by_id) <= HELD_LIMIT_COUNT:
            return None
        return self._by_id.pop(next(iter(self._by_id)))

    def pop(self, key: object) -> bool:
        """Removes a key; returns whether it was there."""
        if key not in self._by_id:
            return False
        del self._by_id[key]
        return True

    def lines(self) -> list[_Line]:
        """Returns the lines kept."""
        return [each for each in self._by_id.values() if each is not None]

    def __contains__(self, key: object) -> bool:
        return key in self._by_id


class _Counter:
    """Adds up the lines of all instances, in order of time.

    Attributes:
        totals: The requests by team.
    """

    def __init__(self) -> None:
        self.totals: dict[str, Total] = {}
        # Delegated queries that run at an instance, by instance and id.
        self._accepted = _Held()
        # Requests whose end is known from another line than `request_ended`.
        self._settled = _Held()
        # Queries that their first instance has taken back.
        self._taken_back = _Held()
        # Ends that count only if no line of the first instance follows.
        self._unsettled = _Held()

    def add(self, line: _Line) -> None:
        """Adds one line."""
        match line.kind:
            case "request_ended":
                self._add_end(line)
            case "query_taken" if line.begun:
                self._accepted.add((line.instance, line.request_id))
            case "query_handed":
                self._settle(line)
            case "query_back" if line.status is not None:
                self._settle(line)
            case "query_back":
                self._taken_back.add(line.request_id)
                self._unsettled.pop(line.request_id)
            case kind if kind in REFUSAL_STATUSES and line.request_id:
                line.status = REFUSAL_STATUSES[kind]
                line.reason = line.reason or line.kind
                self._settle(line)

    def _settle(self, line: _Line) -> None:
        """Counts a request by a line of its first instance."""
        self._unsettled.pop(line.request_id)
        self._settled.add(line.request_id)
        self._count(line)

    def _add_end(self, line: _Line) -> None:
        was_delegated = self._accepted.pop((line.instance, line.request_id))
        if line.request_id in self._settled:
            self._record_rate(line)
        elif was_delegated:
            self._record_rate(line)
            if line.request_id not in self._taken_back:
                self._hold(line)
        elif not line.route and line.status in (429, 503):
            # A line of the rate limiter with the team may follow.
            self._hold(line)
        else:
            self._count(line)

    def _hold(self, line: _Line) -> None:
        dropped = self._unsettled.add(line.request_id, line)
        if dropped is not None:
            self._count(dropped)

    def finish(self) -> dict[str, Total]:
        """Counts the held ends, such as those of callers that left."""
        for each in self._unsettled.lines():
            self._count(each)
        return self.totals

    def _record_rate(self, line: _Line) -> Total:
        total = self.totals.setdefault(line.team, Total())
        if line.names_rate and (line.version or 0) >= total.version:
            total.rate_per_s = line.rate_per_s
            total.version = line.version or 0
        return total

    def _count(self, line: _Line) -> None:
        total = self._record_rate(line)
        reason = line.reason or str(line.status)
        match line.status or 0:
            case 0:
                total.left_count += 1
            case 401 | 404 if not line.route and line.kind == "request_ended":
                total.refused[reason] += 1
            case 429 | 503:
                total.refused[reason] += 1
            case status if status >= 500:
                total.failed[reason] += 1
            case _:
                total.served_count += 1


def _read(path: pathlib.Path) -> collections.abc.Iterator[_Line]:
    """Yields the log lines of a file, ignoring text before the JSON object."""
    with path.open("rb") as lines:
        for text in lines:
            start = text.find(b"{")
            if start >= 0:
                # A truncated line, or one of another program, is skipped.
                match decoding.decode(_DECODER.decode, text[start:]):
                    case expression.Result(tag="ok", ok=found):
                        yield found


def count(paths: collections.abc.Sequence[pathlib.Path]) -> dict[str, Total]:
    """Counts the requests in log files.

    Args:
        paths: The files of all instances, each in order of time.

    Returns:
        The requests by team.

    Raises:
        OSError: A file can't be read.
    """
    counter = _Counter()
    for line in heapq.merge(
        *(_read(each) for each in paths), key=lambda line: line.timestamp
    ):
        counter.add(line)
    return counter.finish()


def document(totals: dict[str, Total]) -> dict[str, dict[str, object]]:
    """Returns the report as JSON types, the busiest team first."""
    return {
        name: {
            "rate_per_s": total.rate_per_s,
            "version": total.version,
            "received": total.received_count,
            "served": total.served_count,
            "left": total.left_count,
            "refused": dict(total.refused.most_common()),
            "failed": dict(total.failed.most_common()),
        }
        for name, total in _busiest_first(totals)
    }


def text(totals: dict[str, Total]) -> str:
    """Formats the report as text, the busiest team first."""
    rows = [
        f"{'team':<24}{'rate/s':>8}{'received':>10}{'served':>9}{'refused':>9}"
        f"{'failed':>8}{'left':>7}  reasons"
    ]
    for name, total in _busiest_first(totals):
        rate = "none" if total.rate_per_s is None else f"{total.rate_per_s:g}"
        reasons = (total.refused + total.failed).most_common(
            REASONS_SHOWN_COUNT
        )
        shown = ", ".join(f"{reason} {number}" for reason, number in reasons)
        rows.append(
            f"{name:<24}{rate:>8}{total.received_count:>10}"
            f"{total.served_count:>9}{total.refused.total():>9}"
            f"{total.failed.total():>8}{total.left_count:>7}  {shown}".rstrip()
        )
    return "\n".join(rows)


def _busiest_first(totals: dict[str, Total]) -> list[tuple[str, Total]]:
    return sorted(
        (each for each in totals.items() if each[1].received_count),
        key=lambda item: (-item[1].received_count, item[0]),
    )
