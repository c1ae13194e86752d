"""Checks the invariants of a soak run.

The checks compare the responses that callers received with the requests that
upstreams executed. Invariants with a time limit are checked for undisturbed
gateways only: no fault affected the gateway, its link to the store or the store
from `SETTLE_MS` before the request to its end.
"""

import collections
import dataclasses

from hyssoptack.planning import records
from soak import callers
from soak import environment
from soak import teaminvariants
from soak import teams

NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
SETTLE_MS = 4_000.0
"""Time after the last fault from which a gateway counts as undisturbed."""

APPLY_LIMIT_MS = 3_200.0
"""Time within which a gateway must apply a change. The specified bound is 3 s;
the rest allows for late writes and reads on a loaded machine."""

FORGOTTEN_MS = environment.ENTRY_EXPIRY_MS + APPLY_LIMIT_MS
"""Time after the store's return from an older copy within which gateways must
not use what the copy listed."""

HELD_MS = 3_000.0
"""Time after a caller's disconnect within which a gateway that was paused may
still read its request; longer than a fault pauses a gateway."""

LATE_MS = 700.0
"""Time after the deadline from which a response counts as held too long."""

CALM_SERVED_RATIO = 0.95
"""Minimum share of requests served in the final phase without faults. Upstreams
with an earlier fault may still reset a few."""

CRASH_COUNT = 3
CRASH_BOUND_MS = 4_000.0
LATE_CRASH_COUNT = 3
"""The users require that from `CRASH_BOUND_MS` after the third crash at most
`LATE_CRASH_COUNT` repeats of the request reach an upstream."""

RECORD_BYTES = 16


@dataclasses.dataclass(frozen=True, kw_only=True)
class FaultWindow:
    """A time span in which a fault affected a gateway.

    Attributes:
        gateway: Name of the gateway; empty for all gateways.
        start_ms: Monotonic time of the fault's start.
        end_ms: Monotonic time of the fault's end.
        is_stall: Whether the gateway stood still while its peers and the store
            did not fail.
        is_restore: Whether the store was away and returned from an older copy.
    """

    gateway: str
    start_ms: float
    end_ms: float
    is_stall: bool = False
    is_restore: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class Report:
    """The result of a run.

    Attributes:
        violations: Descriptions of the violated invariants.
        outcome_counts: Number of requests by path, outcome and status.
    """

    violations: tuple[str, ...]
    outcome_counts: dict[str, int]


class InvariantChecker:
    """Checks the invariants of one run."""

    def __init__(
        self,
        observed: environment.Environment,
        fault_windows: list[FaultWindow],
        planned_stops: list[FaultWindow],
        calm_ms: float,
    ):
        self._environment = observed
        self._fault_windows = fault_windows
        self._planned_stops = planned_stops
        self._calm_ms = calm_ms
        self._violations: list[str] = []
        self.team_checker = teaminvariants.TeamChecker(
            observed, self._usable_team_versions
        )

    def check(
        self,
        requests: list[callers.RequestRecord],
        crashing_requests: list[callers.RequestRecord] = (),
    ) -> Report:
        """Checks all requests and returns the violations.

        Args:
            requests: Requests of the normal callers.
            crashing_requests: Requests of the caller whose requests crash
                upstreams.
        """
        for each in (*requests, *crashing_requests):
            self._check_executions(each)
            self._check_response(each)
            if self._is_undisturbed(each.gateway, each.sent_ms, each.ended_ms):
                self._check_deadline(each)
            if self._is_undisturbed(
                each.gateway,
                each.sent_ms,
                each.ended_ms,
                by_stalls=False,
                by_restores=False,
            ):
                self._check_departures(each)
            if self._is_undisturbed(
                each.gateway, each.sent_ms, each.ended_ms, by_stalls=False
            ):
                self._check_configuration(each)
            self._check_planned_stops(each)
        self._check_crashing_requests(crashing_requests)
        self._check_unknown_requests([*requests, *crashing_requests])
        self._violations.extend(
            self.team_checker.check([*requests, *crashing_requests])
        )
        self._check_recovery(requests)
        counts = collections.Counter(
            f"{each.path} {each.outcome} {each.response.status}"
            for each in requests
        )
        return Report(
            violations=tuple(self._violations), outcome_counts=dict(counts)
        )

    def _add_violation(
        self, invariant: str, each: callers.RequestRecord, detail: str
    ) -> None:
        self._violations.append(
            f"{invariant}: {each.request_id} {each.path} at {each.gateway} "
            f"sent {each.sent_ms:.0f}: {each.outcome} {each.response.status}: "
            f"{detail}"
        )

    def _is_undisturbed(
        self,
        gateway: str,
        start_ms: float,
        end_ms: float,
        by_stalls: bool = True,
        by_restores: bool = True,
    ) -> bool:
        """Returns whether no fault affected a gateway.

        Args:
            gateway: Name of the gateway.
            start_ms: Start of the time in question.
            end_ms: End of the time in question.
            by_stalls: Whether a stall counts as such a fault.
            by_restores: Whether a return of the store counts as such a fault.
        """
        return not any(
            window.gateway in ("", gateway)
            and (by_stalls or not window.is_stall)
            and (by_restores or not window.is_restore)
            and window.start_ms <= end_ms
            and window.end_ms >= start_ms - SETTLE_MS
            for window in self._fault_windows
        )

    def _check_executions(self, each: callers.RequestRecord) -> None:
        runs = self._environment.runs_by_request.get(each.request_id, [])
        if each.path == environment.NON_IDEMPOTENT_PATH and len(runs) > 1:
            self._add_violation("executed twice", each, str(runs))
        if each.response.status in NOT_RUN_STATUSES and runs:
            self._add_violation(
                "executed despite a status that denies it", each, str(runs)
            )
        allowed = _services(each.path)
        if any(run.service not in allowed for run in runs):
            self._add_violation("executed by a wrong service", each, str(runs))
        self._check_attempts(each, runs)

    def _check_attempts(
        self, each: callers.RequestRecord, runs: list[environment.Run]
    ) -> None:
        """Checks the limit of upstreams of a service that execute a request."""
        upstreams: dict[str, set[str]] = {}
        for run in runs:
            upstreams.setdefault(run.service, set()).add(run.upstream_id)
        for service, upstream_ids in upstreams.items():
            if len(upstream_ids) > environment.MAX_ATTEMPTS_COUNT:
                self._add_violation(
                    "too many upstreams", each, f"{service}: {upstream_ids}"
                )

    def _check_response(self, each: callers.RequestRecord) -> None:
        if each.response.status in (400, 404):
            self._add_violation(
                "valid request rejected", each, str(each.response.body)
            )
        if each.response.status != 200:
            return
        if each.path == environment.FANOUT_PATH:
            self._check_merged_response(each)
            return
        signature = each.response.headers.get("x-server-stamp", "")
        upstream_id, _, request_id = signature.partition(".")
        upstream = self._environment.upstreams.get(upstream_id)
        if upstream is None or request_id != each.request_id:
            self._add_violation("response of another request", each, signature)
        elif each.response.body != upstream.body:
            self._add_violation("incomplete body", each, signature)

    def _check_merged_response(self, each: callers.RequestRecord) -> None:
        response = each.response
        signatures = response.headers.get("x-part-stamps", "").split(",")
        parts = [item.strip().partition(".") for item in signatures]
        upstreams = [
            self._environment.upstreams.get(name) for name, _, _ in parts
        ]
        if None in upstreams or any(
            request_id != each.request_id for _, _, request_id in parts
        ):
            self._add_violation(
                "part of another request", each, str(signatures)
            )
            return
        services = {upstream.service_name for upstream in upstreams}
        missing = int(response.headers.get("x-missing-parts", "0"))
        if len(services) != len(parts) or not services <= set(
            environment.SHARD_SERVICES
        ):
            self._add_violation(
                "parts not of distinct shards", each, str(signatures)
            )
        if len(parts) + missing != environment.SHARD_COUNT:
            self._add_violation(
                "wrong number of missing parts", each, f"{parts} and {missing}"
            )
        if (
            len(parts)
            < environment.COVERAGE_FLOOR_RATIO * environment.SHARD_COUNT
        ):
            self._add_violation(
                "coverage below the floor", each, str(signatures)
            )
        bodies = tuple(upstream.body for upstream in upstreams)
        if response.body != records.merge_greatest(
            bodies, environment.TOP_COUNT
        ):
            self._add_violation(
                "merged records are not the greatest", each, str(signatures)
            )

    def _check_departures(self, each: callers.RequestRecord) -> None:
        runs = self._environment.runs_by_request.get(each.request_id, [])
        for run in runs:
            left_ms = self._environment.departure_ms.get(run.upstream_id)
            if (
                left_ms is not None
                and each.sent_ms > left_ms + APPLY_LIMIT_MS
                and not self._may_be_forgotten(left_ms, each.sent_ms)
            ):
                self._add_violation(
                    "sent to a leaving upstream", each, str(run)
                )

    def _may_be_forgotten(self, left_ms: float, sent_ms: float) -> bool:
        """Returns whether the store may list an upstream that has left.

        One that left shortly before the store was lost may have been seen by
        no gateway, and one that left while it was away by none at all.
        """
        return any(
            window.is_restore
            and window.start_ms - APPLY_LIMIT_MS <= left_ms <= window.end_ms
            and sent_ms <= window.end_ms + FORGOTTEN_MS
            for window in self._fault_windows
        )

    def _check_configuration(self, each: callers.RequestRecord) -> None:
        runs = self._environment.runs_by_request.get(each.request_id, [])
        if each.path != environment.MOVED_PATH:
            return
        applied = [
            version
            for version in self._environment.config_versions
            if version.at_ms <= each.sent_ms - APPLY_LIMIT_MS
        ]
        if not applied:
            return
        usable = self._environment.config_versions[len(applied) - 1 :]
        allowed = {
            version.moved_route_service
            for version in usable
            if version.at_ms <= each.ended_ms
        }
        if any(run.service not in allowed for run in runs):
            self._add_violation(
                "outdated configuration used", each, f"{runs} not {allowed}"
            )

    def _usable_team_versions(
        self, each: callers.RequestRecord
    ) -> list[teams.TeamVersion]:
        """Returns the versions of the teams that may decide on a request."""
        # A paused gateway reads a request after its caller has disconnected
        # (seed 6: 60 ms after, with a version written in between).
        late_ms = 0.0 if each.response.status else HELD_MS
        written = [
            version
            for version in self._environment.team_plan.versions
            if version.at_ms <= each.ended_ms + late_ms
        ]
        if not self._is_undisturbed(each.gateway, each.sent_ms, each.ended_ms):
            return written
        applied_count = sum(
            version.at_ms <= each.sent_ms - APPLY_LIMIT_MS
            for version in written
        )
        return written[max(0, applied_count - 1) :]

    def _check_deadline(self, each: callers.RequestRecord) -> None:
        took_ms = each.ended_ms - each.sent_ms
        if took_ms > callers.DEADLINE_MS + LATE_MS:
            self._add_violation(
                "response held past the deadline", each, f"{took_ms:.0f} ms"
            )

    def _check_planned_stops(self, each: callers.RequestRecord) -> None:
        """Checks that a planned stop without other faults cuts no request."""
        if each.outcome != "cut":
            return
        for stop in self._planned_stops:
            during = stop.start_ms <= each.ended_ms <= stop.end_ms
            # The window of the whole restart begins with the stop.
            others = [
                window
                for window in self._fault_windows
                if (window.gateway, window.start_ms)
                != (stop.gateway, stop.start_ms)
            ]
            disturbed = any(
                window.gateway in ("", stop.gateway)
                and window.start_ms <= stop.end_ms
                and window.end_ms >= stop.start_ms - SETTLE_MS
                for window in others
            )
            if stop.gateway == each.gateway and during and not disturbed:
                self._add_violation(
                    "connection cut by a planned stop", each, str(stop)
                )

    def _check_crashing_requests(
        self, crashing_requests: list[callers.RequestRecord]
    ) -> None:
        """Checks that a request is blocked soon after its third crash."""
        if len(self._environment.crash_times_ms) < CRASH_COUNT:
            return
        bound_ms = (
            self._environment.crash_times_ms[CRASH_COUNT - 1] + CRASH_BOUND_MS
        )
        late = [
            each
            for each in crashing_requests
            if each.sent_ms > bound_ms
            and self._environment.runs_by_request.get(each.request_id)
            and self._is_undisturbed(each.gateway, each.sent_ms, each.ended_ms)
        ]
        if len(late) > LATE_CRASH_COUNT:
            self._add_violation(
                "crashing request not blocked", late[0], f"{len(late)} times"
            )

    def _check_unknown_requests(
        self, requests: list[callers.RequestRecord]
    ) -> None:
        ids = {each.request_id for each in requests}
        for request_id in self._environment.runs_by_request.keys() - ids:
            self._violations.append(f"unknown request executed: {request_id}")

    def _overlaps_global_fault(self, each: callers.RequestRecord) -> bool:
        """Returns whether a fault of all gateways overlapped a request.

        A stall of the soak process, in which no upstream responds, is such a
        fault.
        """
        return any(
            window.gateway == ""
            and window.start_ms <= each.ended_ms
            and window.end_ms >= each.sent_ms
            for window in self._fault_windows
        )

    def _check_recovery(self, requests: list[callers.RequestRecord]) -> None:
        calm = [
            each
            for each in requests
            if each.sent_ms >= self._calm_ms
            and each.outcome != "left"
            # `teaminvariants` checks whether these refusals are right.
            and each.response.status not in (401, 429)
            and not self._overlaps_global_fault(each)
        ]
        served = sum(each.response.status == 200 for each in calm)
        if not calm or served < CALM_SERVED_RATIO * len(calm):
            self._violations.append(f"not recovered: {served} of {len(calm)}")


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
