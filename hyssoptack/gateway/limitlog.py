"""Log lines about limits that were reduced or have recovered."""

import dataclasses

from hyssoptack.admission import queue
from hyssoptack.admission import worklimit
from hyssoptack.events import log

PERIOD_MS = 1_000.0
"""Least time between two log lines about one limit. A limit changes many times
a second under overload; only reductions and recoveries matter to operators."""


@dataclasses.dataclass(kw_only=True)
class _Logged:
    """What was last logged about a limit.

    Attributes:
        reduced: Whether the limit was below its ceiling.
        at_ms: When it was logged.
    """

    reduced: bool = False
    at_ms: float = float("-inf")


class LimitLog:
    """Writes at most one line per limit and period."""

    def __init__(self) -> None:
        self._logged: dict[str, _Logged] = {}

    def write_changes(
        self,
        process: worklimit.WorkLimit,
        groups: dict[queue.Group, worklimit.WorkLimit],
        delay_ms: float,
        now_ms: float,
    ) -> None:
        """Logs the limits that were reduced or recovered since the last call.

        Args:
            process: Limit of the process.
            groups: Limits by group.
            delay_ms: Recent mean delay of the event loop.
            now_ms: Current time in milliseconds.
        """
        self._write_change("process", process, delay_ms, now_ms)
        for group, limit in groups.items():
            self._write_change(group_label(group), limit, delay_ms, now_ms)

    def _write_change(
        self,
        name: str,
        limit: worklimit.WorkLimit,
        delay_ms: float,
        now_ms: float,
    ) -> None:
        reduced = limit.limit_count < limit.ceiling_count
        logged = self._logged.get(name)
        if logged is None:
            logged = self._logged[name] = _Logged()
        if reduced is logged.reduced or now_ms - logged.at_ms < PERIOD_MS:
            return
        logged.reduced, logged.at_ms = reduced, now_ms
        log.write(
            log.Event.LIMIT_CHANGED,
            name=name,
            reduced=reduced,
            limit=round(limit.limit_count, 1),
            ceiling=round(limit.ceiling_count, 1),
            in_progress=limit.in_progress_count,
            loop_delay_ms=round(delay_ms, 1),
        )


def group_label(group: queue.Group) -> str:
    """Returns a short name of a group for logs and metrics."""
    others_count = len(group) - 1
    return f"{group[0]}+{others_count}" if others_count else group[0]
