"""How much of a request's time is used up on the way between caller and here.

A goal counts from the caller's first try until it has the answer. Here, only
the time from the request's arrival is seen. Two things tell the rest. A caller
says how long it still waits, and callers of one route wait equally long: one
that says less has spent the difference, on a connection or on an earlier try.
And what a new connection took, one way to here and back, is what the request
and its answer take as well.
"""

import collections
import dataclasses

from hyssoptack.policy import delayestimate

TIMER_MARGIN_MS = 2.0
"""Kept back at least for timers that fire late and for writing the answer."""

DEFAULT_ROUND_TRIP_MS = 6.0
"""Way to the caller and back before any was seen: of the users' sites, 2 to 6
ms."""

MAX_ROUND_TRIP_MS = 40.0
"""What was spent beyond this was an earlier try, or a lost packet, rather than
the way of a new connection."""

ROUND_TRIP_SAMPLES_COUNT = 32

WAIT_SAMPLES_COUNT = 256
"""Requests of a route among which the longest wait is looked for: at least some
of so many come on a connection that was open."""


@dataclasses.dataclass(kw_only=True)
class _Route:
    """Waits that callers of one route asked for lately."""

    waits_ms: collections.deque[float]
    longest_ms: float = 0.0


class CallerLatency:
    """What one instance has seen of its callers' ways.

    Attributes:
        round_trip_ms: The way to a caller and back.
        answer_delay: How late answers leave that are given at the goal.
    """

    def __init__(self) -> None:
        self._routes: dict[str, _Route] = {}
        self._ways_ms: collections.deque[float] = collections.deque(
            maxlen=ROUND_TRIP_SAMPLES_COUNT
        )
        self.round_trip_ms = DEFAULT_ROUND_TRIP_MS
        self.answer_delay = delayestimate.DelayEstimate(TIMER_MARGIN_MS)

    def observe_elapsed_ms(
        self, route_name: str, wait_ms: float | None, first_on_connection: bool
    ) -> float:
        """Returns what a caller had spent when it sent a request.

        Args:
            route_name: The request's route.
            wait_ms: How long the caller still waits; None where it is silent.
            first_on_connection: Whether the request is the first of its
                connection.
        """
        if wait_ms is None:
            return 0.0
        route = self._routes.get(route_name)
        if route is None:
            route = self._routes[route_name] = _Route(
                waits_ms=collections.deque(maxlen=WAIT_SAMPLES_COUNT)
            )
        self._note_wait(route, wait_ms)
        spent_ms = route.longest_ms - wait_ms
        if first_on_connection and 0.0 < spent_ms <= MAX_ROUND_TRIP_MS:
            self._note_way(spent_ms)
        return spent_ms

    def _note_wait(self, route: _Route, wait_ms: float) -> None:
        full = len(route.waits_ms) == WAIT_SAMPLES_COUNT
        gone_ms = route.waits_ms[0] if full else 0.0
        route.waits_ms.append(wait_ms)
        if wait_ms >= route.longest_ms:
            route.longest_ms = wait_ms
        elif gone_ms >= route.longest_ms:
            route.longest_ms = max(route.waits_ms)

    def _note_way(self, spent_ms: float) -> None:
        self._ways_ms.append(spent_ms)
        ordered = sorted(self._ways_ms)
        self.round_trip_ms = ordered[len(ordered) // 2]

    @property
    def margin_ms(self) -> float:
        """What to keep back from a goal, counted from a request's sending."""
        return self.round_trip_ms + self.answer_delay.estimate_ms
