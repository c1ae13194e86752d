"""Checks of teams, keys and rate limits, from outside the gateways.

They compare what callers sent and received with the heads that upstreams
received and the requests that they ran.
"""

import bisect
import collections
import collections.abc
import dataclasses
import pathlib

from hyssoptack.http1 import message
from soak import callers
from soak import environment
from soak import teams

WRONG_REFUSAL_RATIO = 0.02
"""Maximum ratio of a team's requests that may be refused below its rate. It is
the one specified for partitions, as faults hit every part of a soak run."""

WRONG_REFUSAL_SLACK_COUNT = 2

Usable = collections.abc.Callable[
    [callers.RequestRecord], collections.abc.Sequence[teams.TeamVersion]
]
"""Returns the versions that may have been in force for a request."""


@dataclasses.dataclass(kw_only=True)
class _Seen:
    """What upstreams saw of one request.

    Attributes:
        team_names: Values of the team's header; `None` for a head without it.
        has_key: Whether any head had an `Authorization` header or a key.
    """

    team_names: set[str | None] = dataclasses.field(default_factory=set)
    has_key: bool = False


class TeamChecker:
    """Checks the teams of one run."""

    def __init__(self, observed: environment.Environment, usable: Usable):
        self._environment = observed
        self._usable = usable
        self._plan = observed.team_plan
        self._violations: list[str] = []

    def check(
        self, requests: collections.abc.Sequence[callers.RequestRecord]
    ) -> list[str]:
        """Checks all requests of a run and returns the violations."""
        if self._plan is None:
            self._check_no_refusals(requests)
            return self._violations
        seen_by_id = self._seen_by_id()
        for each in requests:
            seen = seen_by_id.get(each.request_id, _Seen())
            self._check_identity(each, seen)
        self._check_windows(seen_by_id)
        self._check_refusals(requests)
        return self._violations

    def check_logs(self, folder: pathlib.Path) -> list[str]:
        """Checks that no file in a folder of logs shows a key."""
        if self._plan is None:
            return []
        keys = [each.encode() for each in self._keys()]
        return [
            f"key in a log: {path.name}, line {number}"
            for path in sorted(folder.glob("*.log"))
            for number, line in enumerate(path.read_bytes().splitlines(), 1)
            if any(key in line for key in keys)
        ]

    def _keys(self) -> list[str]:
        return [*self._plan.all_keys, teams.FIXED_KEY, "k-unknown-"]

    def _add(
        self, invariant: str, each: callers.RequestRecord, detail: object
    ) -> None:
        self._violations.append(
            f"{invariant}: {each.request_id} {each.path} at {each.gateway} sent"
            f" {each.sent_ms:.0f}: {each.response.status}: {detail}"
        )

    def _check_no_refusals(
        self, requests: collections.abc.Sequence[callers.RequestRecord]
    ) -> None:
        for each in requests:
            if each.response.status in (401, 429):
                self._add("refused without teams", each, "")

    def _seen_by_id(self) -> dict[str, _Seen]:
        keys = [each.encode() for each in self._keys()]
        seen_by_id: dict[str, _Seen] = collections.defaultdict(_Seen)
        for upstream in self._environment.upstreams.values():
            for head in upstream.request_heads:
                values = _values_by_name(head)
                request_id = b",".join(values.get(b"x-request-id", ()))
                seen = seen_by_id[request_id.decode("latin-1")]
                names = values.get(b"x-tenant-id", ())
                seen.team_names.add(
                    b",".join(names).decode("latin-1") if names else None
                )
                if b"authorization" in values or any(k in head for k in keys):
                    seen.has_key = True
        return seen_by_id

    def _check_identity(self, each: callers.RequestRecord, seen: _Seen) -> None:
        if seen.has_key:
            self._add("key reached an upstream", each, "")
        versions = self._usable(each)
        expected = {version.teams_by_key.get(each.key) for version in versions}
        if not seen.team_names <= expected:
            self._add(
                "wrong team at an upstream",
                each,
                f"{seen.team_names}, expected {expected}",
            )
        may_be_anonymous = each.path == environment.ANONYMOUS_PATH
        if None in seen.team_names and not may_be_anonymous:
            self._add("served without a key", each, expected)
        if each.response.status == 401 and (
            may_be_anonymous or None not in expected
        ):
            self._add("valid key refused", each, expected)
        is_served = each.response.status == 200
        if is_served and expected == {None} and not may_be_anonymous:
            self._add("served without a valid key", each, expected)

    def _check_windows(self, seen_by_id: dict[str, _Seen]) -> None:
        """Checks the requests that ran in each window against the limits."""
        times_by_team: dict[str, list[float]] = collections.defaultdict(list)
        for request_id, runs in self._environment.runs_by_request.items():
            for name in seen_by_id[request_id].team_names:
                if name is not None:
                    first_ms = min(run.at_ms for run in runs)
                    times_by_team[name].append(first_ms)
        for name, times in times_by_team.items():
            limit = _limit_of(name)
            if limit is None:
                continue
            count, end_ms = _busiest_window(sorted(times), teams.WINDOW_MS)
            allowed = limit.allowed_count(teams.WINDOW_MS)
            if count > allowed:
                self._violations.append(
                    f"team above its rate: {name} ran {count} requests until"
                    f" {end_ms:.0f}, allowed {allowed:.1f}"
                )

    def _check_refusals(
        self, requests: collections.abc.Sequence[callers.RequestRecord]
    ) -> None:
        """Checks that only teams above their rates are refused with 429."""
        times_by_team: dict[str, list[float]] = collections.defaultdict(list)
        refused: list[tuple[callers.RequestRecord, set[str]]] = []
        for each in sorted(requests, key=lambda request: request.sent_ms):
            names = self._possible_teams(each)
            for name in names:
                times_by_team[name].append(each.sent_ms)
            if each.response.status == 429:
                refused.append((each, names))
        wrong: dict[str, list[callers.RequestRecord]] = collections.defaultdict(
            list
        )
        for each, names in refused:
            limited = [name for name in names if _limit_of(name) is not None]
            if not limited:
                self._add("refused without a rate", each, names)
            elif not any(
                _is_above(_limit_of(name), times_by_team[name], each)
                for name in limited
            ):
                wrong[limited[0]].append(each)
        for name, found in wrong.items():
            asked_count = len(times_by_team[name])
            allowed = WRONG_REFUSAL_RATIO * asked_count
            if len(found) > allowed + WRONG_REFUSAL_SLACK_COUNT:
                detail = f"{name}: {len(found)} of {asked_count} requests"
                self._add("refused below the rate", found[0], detail)

    def _possible_teams(self, each: callers.RequestRecord) -> set[str]:
        """Returns the teams that a request may have been counted for."""
        found = {
            version.teams_by_key.get(each.key) for version in self._usable(each)
        }
        return {name for name in found if name is not None}


def _values_by_name(head: bytes) -> dict[bytes, list[bytes]]:
    """Returns the values of each header of a head, by lower-case name."""
    values: dict[bytes, list[bytes]] = {}
    for line in head.split(b"\r\n")[1:]:
        name, separator, value = line.partition(b":")
        if separator:
            values.setdefault(name.strip().lower(), []).append(value.strip())
    return values


def _limit_of(name: str) -> teams.Limit | None:
    """Returns a team's limit; None also for names that no team has."""
    try:
        return teams.limit_of(name)
    except KeyError:
        # A forged name, which is a violation of its own.
        return None


def _busiest_window(
    times_ms: list[float], window_ms: float
) -> tuple[int, float]:
    """Returns the most times in one window, and the window's end."""
    recent: collections.deque[float] = collections.deque()
    most_count, end_ms = 0, 0.0
    for at_ms in times_ms:
        recent.append(at_ms)
        while recent[0] <= at_ms - window_ms:
            recent.popleft()
        if len(recent) > most_count:
            most_count, end_ms = len(recent), at_ms
    return most_count, end_ms


def _is_above(
    limit: teams.Limit, times_ms: list[float], refused: callers.RequestRecord
) -> bool:
    """Returns whether a team asked for more than its rate lets through.

    That is so if in any span until the refusal it sent more requests than the
    rate and the burst allow. Requests that arrive in the same order may have
    been sent up to the refusal's arrival.
    """
    end = bisect.bisect_right(times_ms, refused.ended_ms)
    for begin in range(end - 1, -1, -1):
        span_s = (refused.ended_ms - times_ms[begin]) / message.MS_PER_S
        if end - begin > limit.rate_per_s * span_s + limit.burst_count:
            return True
    return False
