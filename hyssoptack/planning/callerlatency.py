"""Estimates how much of a request's time is spent between caller and instance.

A latency goal counts from the caller's first attempt until the caller has the
answer, but an instance sees only the time since the request arrived. It
estimates the rest from two facts. Callers state how long they will still wait,
and all callers of a route start with the same wait: one that states less has
spent the difference on connecting or on an earlier attempt. And the time that a
new connection took, one round trip, is also what the request and its answer
take.
"""

import collections
import dataclasses

from hyssoptack.delegation import delayestimate

TIMER_MARGIN_MS = 2.0
"""Smallest margin for timers that fire late and for writing the answer."""

DEFAULT_ROUND_TRIP_MS = 6.0
"""Round trip to callers before any was observed. The users' sites have 2 to 6
ms."""

MAX_ROUND_TRIP_MS = 40.0
"""A longer elapsed time is ascribed to an earlier attempt or a lost packet
instead of to the round trip of a new connection."""

ROUND_TRIP_SAMPLES_COUNT = 32
"""Number of recent round trips over which the median is taken."""

WAIT_SAMPLES_COUNT = 256
"""Number of recent requests of a route whose longest wait is taken as the full
wait. Among so many, at least some arrive on a connection that was already open
and have lost no time."""

RETURN_ROUND_TRIPS_RATIO = 2.0
"""Round trips above which the time that a caller has spent means an earlier
attempt: a new connection takes one, a refused attempt two more."""


@dataclasses.dataclass(kw_only=True)
class _RouteWaits:
    """The waits that callers of one route stated recently."""

    waits_ms: collections.deque[float]
    longest_ms: float = 0.0


class CallerLatency:
    """Estimates the network latency between one instance and its callers.

    Attributes:
        round_trip_ms: Median of the recent round trips to callers.
        answer_delay: Estimate of the delay with which answers that are due at
            the latency goal are sent.
    """

    def __init__(self) -> None:
        self._routes: dict[str, _RouteWaits] = {}
        self._round_trips_ms: collections.deque[float] = collections.deque(
            maxlen=ROUND_TRIP_SAMPLES_COUNT
        )
        self.round_trip_ms = DEFAULT_ROUND_TRIP_MS
        self.answer_delay = delayestimate.DelayEstimate(TIMER_MARGIN_MS)

    def observe_elapsed_ms(
        self, route_name: str, wait_ms: float | None, first_on_connection: bool
    ) -> float:
        """Records a caller's wait and returns the time the caller had spent.

        This is the time from the caller's first attempt until it sent this
        request.

        Args:
            route_name: Name of the request's route.
            wait_ms: How long the caller will still wait; None if it does not
                state it.
            first_on_connection: Whether the request is the first on its
                connection.
        """
        if wait_ms is None:
            return 0.0
        route = self._routes.get(route_name)
        if route is None:
            route = self._routes[route_name] = _RouteWaits(
                waits_ms=collections.deque(maxlen=WAIT_SAMPLES_COUNT)
            )
        self._record_wait(route, wait_ms)
        elapsed_ms = route.longest_ms - wait_ms
        if first_on_connection and 0.0 < elapsed_ms <= MAX_ROUND_TRIP_MS:
            self._record_round_trip(elapsed_ms)
        return elapsed_ms

    def _record_wait(self, route: _RouteWaits, wait_ms: float) -> None:
        is_full = len(route.waits_ms) == WAIT_SAMPLES_COUNT
        dropped_ms = route.waits_ms[0] if is_full else 0.0
        route.waits_ms.append(wait_ms)
        if wait_ms >= route.longest_ms:
            route.longest_ms = wait_ms
        elif dropped_ms >= route.longest_ms:
            route.longest_ms = max(route.waits_ms)

    def _record_round_trip(self, elapsed_ms: float) -> None:
        self._round_trips_ms.append(elapsed_ms)
        ordered = sorted(self._round_trips_ms)
        self.round_trip_ms = ordered[len(ordered) // 2]

    @property
    def margin_ms(self) -> float:
        """Time to subtract from a goal that counts from the caller's sending.

        This is the round trip plus the usual delay of sending an answer.
        """
        return self.round_trip_ms + self.answer_delay.estimate_ms

    def is_returning(self, spent_ms: float, is_first: bool) -> bool:
        """Returns whether a caller returns after an earlier attempt.

        Args:
            spent_ms: Time that the caller had spent before this request.
            is_first: Whether the request is the first on its connection; a
                later one on the same connection follows an answer.
        """
        threshold_ms = RETURN_ROUND_TRIPS_RATIO * self.round_trip_ms
        return is_first and spent_ms > threshold_ms
