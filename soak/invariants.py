"""Checks the promises, from what callers got and what upstreams ran.

Promises with a time in them hold for gateways that were left alone: nothing
was done to the gateway, its way to the store, or the store, from some seconds
before the request to its end.
"""

import collections
import dataclasses

from hyssoptack.policy import records
from soak import callers
from soak import environment

NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
SETTLE_MS = 4_000.0
"""A gateway counts as left alone this long after the last harm."""

HEED_MS = 3_200.0
"""A change must be heeded after this: the bound is 3 s, and a loaded machine
writes and reads late."""

LATE_MS = 700.0
"""Past the deadline, an answer is held too long by this much."""

CALM_SERVED_RATIO = 0.95
"""Part of the requests at the run's calm end that must be served: upstreams
spoilt before it may still reset a few."""

CRASH_COUNT = 3
CRASH_BOUND_MS = 4_000.0
LATE_CRASH_COUNT = 3
"""By the users: from the third crash on, so long after it, no more repeats than
this may reach an upstream."""

RECORD_BYTES = 16


@dataclasses.dataclass(frozen=True, kw_only=True)
class FaultWindow:
    """Something was done to a gateway, or to all of them."""

    gateway: str
    start_ms: float
    end_ms: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Report:
    """What a run came to."""

    violations: tuple[str, ...]
    outcome_counts: dict[str, int]


class InvariantChecker:
    """Judges one run."""

    def __init__(
        self,
        seen: environment.Environment,
        harms: list[FaultWindow],
        planned_stops: list[FaultWindow],
        calm_ms: float,
    ):
        self._seen = seen
        self._harms = harms
        self._planned_stops = planned_stops
        self._calm_ms = calm_ms
        self._broken: list[str] = []

    def check(
        self,
        requests: list[callers.RequestRecord],
        crashing_requests: list[callers.RequestRecord] = (),
    ) -> Report:
        """Returns all that was broken.

        Args:
            requests: What callers asked and got.
            crashing_requests: The same of the one whose requests crash
                upstreams.
        """
        for each in (*requests, *crashing_requests):
            self._judge_runs(each)
            self._judge_answer(each)
            if self._left_alone(each.gateway, each.sent_ms, each.ended_ms):
                self._judge_heeded(each)
                self._judge_held(each)
            self._judge_planned_stop(each)
        self._judge_crashing(crashing_requests)
        self._judge_unasked([*requests, *crashing_requests])
        self._judge_recovery(requests)
        counts = collections.Counter(
            f"{each.path} {each.outcome} {each.response.status}"
            for each in requests
        )
        return Report(
            violations=tuple(self._broken), outcome_counts=dict(counts)
        )

    def _break(
        self, promise: str, each: callers.RequestRecord, detail: str
    ) -> None:
        self._broken.append(
            f"{promise}: {each.request_id} {each.path} at {each.gateway} sent "
            f"{each.sent_ms:.0f}: {each.outcome} {each.response.status}: "
            f"{detail}"
        )

    def _left_alone(self, gateway: str, start_ms: float, end_ms: float) -> bool:
        return not any(
            harm.gateway in ("", gateway)
            and harm.start_ms <= end_ms
            and harm.end_ms >= start_ms - SETTLE_MS
            for harm in self._harms
        )

    def _judge_runs(self, each: callers.RequestRecord) -> None:
        runs = self._seen.runs_by_request.get(each.request_id, [])
        if each.path == environment.NON_IDEMPOTENT_PATH and len(runs) > 1:
            self._break("ran twice", each, str(runs))
        if each.response.status in NOT_RUN_STATUSES and runs:
            self._break("said not to have run", each, str(runs))
        allowed = _services(each.path)
        if any(run.service not in allowed for run in runs):
            self._break("ran elsewhere", each, str(runs))
        self._judge_attempts(each, runs)

    def _judge_attempts(
        self, each: callers.RequestRecord, runs: list[environment.Run]
    ) -> None:
        """A request runs on no more upstreams of a service than allowed."""
        upstreams: dict[str, set[str]] = {}
        for run in runs:
            upstreams.setdefault(run.service, set()).add(run.upstream_id)
        for service, some in upstreams.items():
            if len(some) > environment.MAX_ATTEMPTS_COUNT:
                self._break("too many upstreams", each, f"{service}: {some}")

    def _judge_answer(self, each: callers.RequestRecord) -> None:
        if each.response.status in (400, 404):
            self._break("proper request denied", each, str(each.response.body))
        if each.response.status != 200:
            return
        if each.path == environment.FANOUT_PATH:
            self._judge_merged(each)
            return
        signature = each.response.headers.get("x-server-stamp", "")
        upstream_id, _, request_id = signature.partition(".")
        upstream = self._seen.upstreams.get(upstream_id)
        if upstream is None or request_id != each.request_id:
            self._break("foreign answer", each, signature)
        elif each.response.body != upstream.body:
            self._break("body not whole", each, signature)

    def _judge_merged(self, each: callers.RequestRecord) -> None:
        got = each.response
        signatures = got.headers.get("x-part-stamps", "").split(",")
        named = [item.strip().partition(".") for item in signatures]
        upstreams = [self._seen.upstreams.get(name) for name, _, _ in named]
        if None in upstreams or any(
            request_id != each.request_id for _, _, request_id in named
        ):
            self._break("foreign part", each, str(signatures))
            return
        services = {upstream.service_name for upstream in upstreams}
        missing = int(got.headers.get("x-missing-parts", "0"))
        if len(services) != len(named) or not services <= set(
            environment.SHARD_SERVICES
        ):
            self._break("parts not of one set", each, str(signatures))
        if len(named) + missing != environment.SHARD_COUNT:
            self._break("parts miscounted", each, f"{named} and {missing}")
        if (
            len(named)
            < environment.COVERAGE_FLOOR_RATIO * environment.SHARD_COUNT
        ):
            self._break("below the floor", each, str(signatures))
        bodies = tuple(upstream.body for upstream in upstreams)
        if got.body != records.greatest(bodies, environment.TOP_COUNT):
            self._break("records not the greatest", each, str(signatures))

    def _judge_heeded(self, each: callers.RequestRecord) -> None:
        runs = self._seen.runs_by_request.get(each.request_id, [])
        for run in runs:
            left_ms = self._seen.departure_ms.get(run.upstream_id)
            if left_ms is not None and each.sent_ms > left_ms + HEED_MS:
                self._break("sent to one that leaves", each, str(run))
        if each.path != environment.MOVED_PATH:
            return
        known = [
            version
            for version in self._seen.config_versions
            if version.at_ms <= each.sent_ms - HEED_MS
        ]
        if not known:
            return
        since = self._seen.config_versions[len(known) - 1 :]
        allowed = {
            version.moved_route_service
            for version in since
            if version.at_ms <= each.ended_ms
        }
        if any(run.service not in allowed for run in runs):
            self._break("older configuration", each, f"{runs} not {allowed}")

    def _judge_held(self, each: callers.RequestRecord) -> None:
        took_ms = each.ended_ms - each.sent_ms
        if took_ms > callers.DEADLINE_MS + LATE_MS:
            self._break("held past its deadline", each, f"{took_ms:.0f} ms")

    def _judge_planned_stop(self, each: callers.RequestRecord) -> None:
        """A stop that nothing else falls together with cuts no request."""
        if each.outcome != "cut":
            return
        for stop in self._planned_stops:
            during = stop.start_ms <= each.ended_ms <= stop.end_ms
            others = [harm for harm in self._harms if harm != stop]
            disturbed = any(
                harm.gateway in ("", stop.gateway)
                and harm.start_ms <= stop.end_ms
                and harm.end_ms >= stop.start_ms - SETTLE_MS
                for harm in others
            )
            if stop.gateway == each.gateway and during and not disturbed:
                self._break("cut by a planned stop", each, str(stop))

    def _judge_crashing(self, bad: list[callers.RequestRecord]) -> None:
        """What has crashed three upstreams soon reaches none any more."""
        if len(self._seen.crash_times_ms) < CRASH_COUNT:
            return
        bound_ms = self._seen.crash_times_ms[CRASH_COUNT - 1] + CRASH_BOUND_MS
        late = [
            each
            for each in bad
            if each.sent_ms > bound_ms
            and self._seen.runs_by_request.get(each.request_id)
            and self._left_alone(each.gateway, each.sent_ms, each.ended_ms)
        ]
        if len(late) > LATE_CRASH_COUNT:
            self._break(
                "crashes upstreams still", late[0], f"{len(late)} times"
            )

    def _judge_unasked(self, asked: list[callers.RequestRecord]) -> None:
        ids = {each.request_id for each in asked}
        for request_id in self._seen.runs_by_request.keys() - ids:
            self._broken.append(f"ran unasked: {request_id}")

    def _stalled(self, each: callers.RequestRecord) -> bool:
        """Whether all stood still during a request, its upstreams with them."""
        return any(
            harm.gateway == ""
            and harm.start_ms <= each.ended_ms
            and harm.end_ms >= each.sent_ms
            for harm in self._harms
        )

    def _judge_recovery(self, asked: list[callers.RequestRecord]) -> None:
        calm = [
            each
            for each in asked
            if each.sent_ms >= self._calm_ms
            and each.outcome != "left"
            and not self._stalled(each)
        ]
        served = sum(each.response.status == 200 for each in calm)
        if not calm or served < CALM_SERVED_RATIO * len(calm):
            self._broken.append(f"not recovered: {served} of {len(calm)}")


def _services(path: str) -> tuple[str, ...]:
    match path:
        case environment.FANOUT_PATH:
            return environment.SHARD_SERVICES
        case environment.SINGLE_PATH:
            return environment.UNSHARDED_SERVICES[:1]
        case environment.NON_IDEMPOTENT_PATH:
            return environment.UNSHARDED_SERVICES[1:]
        case _:
            return environment.UNSHARDED_SERVICES
