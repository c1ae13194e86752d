"""The budget of extra calls that the operator counts in a sliding window.

In any window all instances together may make extra calls up to a ratio of the
requests for a service, plus a fixed number (the slack). Each instance spends
its own share of both and considers only its own calls. (`budget.budget` limits
the extra calls of `planning.queryplan`, by a ratio alone.)

The ratio applies to the requests that the instance has seen within the last
window. Its share of the slack is a token bucket that starts empty and refills
at a constant rate. It starts empty because a restarted instance does not know
what its predecessor spent: however often an instance restarts, any window
contains at most one full bucket and its refill.

An instance stays within its share at each moment at which it spends. In a
window that ends later, some requests may be too old to count while the extra
calls that they allowed still count. The operator therefore counts the requests
in the fullest of three windows: the last one, the one before it and the one
half a window earlier. A margin in the shares covers instances whose fullest
windows differ.
"""

import collections
import dataclasses

SLOT_COUNT = 20
"""Number of slots that a window is divided into. Calls are counted per slot, so
that the memory per service does not depend on the request rate. Extra calls are
counted for up to one slot longer than a window, requests for up to one slot
less."""

BUCKET_RATIO = 0.5
"""Part of the slack that the bucket holds; the rest refills during a window."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class BudgetShare:
    """One instance's share of the budget.

    Attributes:
        ratio: Extra calls for each request that the instance serves.
        slack_count: Additional extra calls in any one window.
        window_ms: Length of the window.
    """

    ratio: float
    slack_count: float
    window_ms: float

    @property
    def bucket_count(self) -> float:
        """Capacity of the slack bucket, in extra calls."""
        return BUCKET_RATIO * self.slack_count

    @property
    def refill_count_per_ms(self) -> float:
        """Refill rate of the slack bucket, in extra calls per millisecond."""
        return (1.0 - BUCKET_RATIO) * self.slack_count / self.window_ms


@dataclasses.dataclass(kw_only=True)
class _Slot:
    """Counts of one slot of a window.

    Attributes:
        number: Number of the slot since time 0.
        request_count: Requests to the service.
        extra_count: Extra calls covered by the ratio; a fraction of a call
            where the slack covered the rest.
    """

    number: int
    request_count: int = 0
    extra_count: float = 0.0


class _ServiceCounts:
    """Counts of one service within about one window.

    Attributes:
        request_count: Requests to the service.
        extra_count: Extra calls covered by the ratio.
        slack_count: Extra calls available in the slack bucket.
        refilled_ms: When the slack bucket was last refilled.
    """

    def __init__(self, started_ms: float) -> None:
        self._slots: collections.deque[_Slot] = collections.deque()
        self.request_count = 0
        self.extra_count = 0.0
        self.slack_count = 0.0
        self.refilled_ms = started_ms

    def refill(self, share: BudgetShare, now_ms: float) -> None:
        """Refills the slack bucket for the time since the last refill."""
        refill_count = share.refill_count_per_ms * (now_ms - self.refilled_ms)
        self.slack_count = min(
            share.bucket_count, self.slack_count + refill_count
        )
        self.refilled_ms = now_ms

    def requests_in_window(self, number: int) -> int:
        """Returns the requests in the window that ends with a slot."""
        oldest = self._slots[0]
        old = oldest.number <= number - SLOT_COUNT
        return self.request_count - (oldest.request_count if old else 0)

    def slot(self, number: int) -> _Slot:
        """Returns the slot of a number; drops slots that left the window."""
        while self._slots and self._slots[0].number < number - SLOT_COUNT:
            dropped = self._slots.popleft()
            self.request_count -= dropped.request_count
            self.extra_count -= dropped.extra_count
        if not self._slots or self._slots[-1].number < number:
            self._slots.append(_Slot(number=number))
        return self._slots[-1]


class WindowBudget:
    """The budget of one instance's extra calls, by service.

    Attributes:
        share: The share for calls to services that are not shards.
        shard_share: The share for calls to shards; it is larger on instances
            to which queries are delegated.
        shard_services: The services that are shards of a route.
    """

    def __init__(self, share: BudgetShare, started_ms: float):
        """Creates a budget in which nothing is spent yet.

        Args:
            share: The instance's share of the budget.
            started_ms: When the instance started.
        """
        self.share = share
        self.shard_share = share
        self.shard_services: frozenset[str] = frozenset()
        self._started_ms = started_ms
        self._services: dict[str, _ServiceCounts] = {}

    def record_request(self, service: str, now_ms: float) -> None:
        """Counts the first call of a request to a service."""
        found = self._counts_for(service)
        found.slot(self._slot_number(now_ms)).request_count += 1
        found.request_count += 1

    def try_spend(
        self, service: str, now_ms: float, reserve_count: float = 0.0
    ) -> bool:
        """Spends one extra call if the budget allows it.

        Args:
            service: The service to call.
            now_ms: The time now.
            reserve_count: Extra calls that must remain available afterwards.

        Returns:
            Whether the extra call may be made.
        """
        found, slot, earned_count = self._refresh(service, now_ms)
        if earned_count + found.slack_count < 1.0 + reserve_count:
            return False
        covered_count = min(1.0, earned_count)
        slot.extra_count += covered_count
        found.extra_count += covered_count
        found.slack_count -= 1.0 - covered_count
        return True

    def can_spend(self, service: str, now_ms: float) -> bool:
        """Returns whether the budget allows an extra call to a service now."""
        found, _, earned_count = self._refresh(service, now_ms)
        return earned_count + found.slack_count >= 1.0

    def _share_for(self, service: str) -> BudgetShare:
        """Returns the budget share that calls to a service draw on."""
        return (
            self.shard_share if service in self.shard_services else self.share
        )

    def _refresh(
        self, service: str, now_ms: float
    ) -> tuple[_ServiceCounts, _Slot, float]:
        """Brings a service's counts up to date.

        Returns:
            The counts, their current slot, and the number of extra calls that
            requests have earned and that are not spent yet.
        """
        found = self._counts_for(service)
        number = self._slot_number(now_ms)
        slot = found.slot(number)
        share = self._share_for(service)
        found.refill(share, now_ms)
        earned_count = share.ratio * found.requests_in_window(number)
        return found, slot, max(0.0, earned_count - found.extra_count)

    def _counts_for(self, service: str) -> _ServiceCounts:
        found = self._services.get(service)
        if found is None:
            found = self._services[service] = _ServiceCounts(self._started_ms)
        return found

    def _slot_number(self, now_ms: float) -> int:
        return int(now_ms * SLOT_COUNT / self.share.window_ms)
