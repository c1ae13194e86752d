"""The budget of extra calls where the operator counts them by a sliding window.

All instances together may make, in any window, a part of the requests for a
service as extra calls, and some more besides (the slack). Each instance spends
its own part of both and looks only at itself: what it sent within the last
window, so the slack is there again a window later. (`policy.budget` holds the
product's own ceiling, which is a ratio alone.)

An instance keeps its part at each moment at which it spends. In a window that
ends later some requests may be too old to count while the extra calls that they
paid for are not: the operator so counts requests in the fullest of three
windows, the last, the one before it and the one half before it. A margin in the
shares covers instances whose fullest windows differ.
"""

import collections
import dataclasses

SLOT_COUNT = 20
"""Parts of a window that are counted as one: the memory of a service stays the
same at any rate. Extra calls are counted for up to a part longer than a window,
requests for up to a part less."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Share:
    """One instance's part of the budget.

    Attributes:
        ratio: Extra calls for each request that it serves.
        slack_count: Extra calls besides, in one window.
        start_count: How much of that it has at its start: many instances may
            start at once, whose predecessors have spent theirs.
        window_ms: The window.
    """

    ratio: float
    slack_count: float
    start_count: float
    window_ms: float


@dataclasses.dataclass(kw_only=True)
class _Slot:
    """Counts of one part of a window."""

    number: int
    request_count: int = 0
    extra_count: int = 0


class _Service:
    """What was sent to one service within about a window."""

    def __init__(self) -> None:
        self._slots: collections.deque[_Slot] = collections.deque()
        self.request_count = 0
        self.extra_count = 0

    def earning_count(self, number: int) -> int:
        """Returns the requests that are no older than a window."""
        oldest = self._slots[0]
        old = oldest.number <= number - SLOT_COUNT
        return self.request_count - (oldest.request_count if old else 0)

    def slot(self, number: int) -> _Slot:
        """Returns the current slot, once those out of the window are gone."""
        while self._slots and self._slots[0].number < number - SLOT_COUNT:
            gone = self._slots.popleft()
            self.request_count -= gone.request_count
            self.extra_count -= gone.extra_count
        if not self._slots or self._slots[-1].number < number:
            self._slots.append(_Slot(number=number))
        return self._slots[-1]


class Book:
    """The extra calls of one instance, by service."""

    def __init__(self, share: Share, started_ms: float):
        self.share = share
        self._started_ms = started_ms
        self._services: dict[str, _Service] = {}

    def note_request(self, service: str, now_ms: float) -> None:
        """Counts the first call of a request to a service."""
        found = self._services.get(service)
        if found is None:
            found = self._services[service] = _Service()
        found.slot(self._number(now_ms)).request_count += 1
        found.request_count += 1

    def spend(
        self, service: str, now_ms: float, keep_count: float = 0.0
    ) -> bool:
        """Counts an extra call if it may be made; tells whether so.

        Args:
            service: The service to call.
            now_ms: The time now.
            keep_count: Extra calls that must be left after it.
        """
        found = self._services.get(service)
        if found is None:
            found = self._services[service] = _Service()
        number = self._number(now_ms)
        slot = found.slot(number)
        earned_count = self.share.ratio * found.earning_count(number)
        allowed_count = self._slack_count(now_ms) + earned_count
        if found.extra_count + 1.0 + keep_count > allowed_count:
            return False
        slot.extra_count += 1
        found.extra_count += 1
        return True

    def _number(self, now_ms: float) -> int:
        return int(now_ms * SLOT_COUNT / self.share.window_ms)

    def _slack_count(self, now_ms: float) -> float:
        age_ratio = (now_ms - self._started_ms) / self.share.window_ms
        grown_count = self.share.start_count + (
            self.share.slack_count * age_ratio
        )
        return min(self.share.slack_count, grown_count)
