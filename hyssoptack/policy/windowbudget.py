"""The budget of extra calls where the operator counts them by a sliding window.

All instances together may make, in any window, a part of the requests for a
service as extra calls, and some more besides (the slack). Each instance spends
its own part of both and looks only at itself. (`policy.budget` is that of the
product's own interface, a ratio alone.)

Its part of the requests is what it has seen of them within the last window. Its
part of the slack is a bucket that is empty at first and fills at an even pace:
what a predecessor spent is not known to an instance that starts anew, and
however often it does so, any window holds one full bucket and what flows in
meanwhile.

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

BUCKET_RATIO = 0.5
"""Part of the slack that can be saved up; the rest flows in during a window."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class BudgetShare:
    """One instance's part of the budget.

    Attributes:
        ratio: Extra calls for each request that it serves.
        slack_count: Extra calls besides, in any one window.
        window_ms: The window.
    """

    ratio: float
    slack_count: float
    window_ms: float

    @property
    def bucket_count(self) -> float:
        """Extra calls of the slack that can be saved up."""
        return BUCKET_RATIO * self.slack_count

    @property
    def refill_count_per_ms(self) -> float:
        """Extra calls of the slack that come in each millisecond."""
        return (1.0 - BUCKET_RATIO) * self.slack_count / self.window_ms


@dataclasses.dataclass(kw_only=True)
class _Slot:
    """Counts of one part of a window."""

    number: int
    request_count: int = 0
    extra_count: float = 0.0


class _Service:
    """What was sent to one service within about a window.

    Attributes:
        request_count: Its requests.
        extra_count: Extra calls that these have paid for.
        slack_count: Extra calls that are saved up besides.
        filled_ms: When that was last reckoned.
    """

    def __init__(self, started_ms: float) -> None:
        self._slots: collections.deque[_Slot] = collections.deque()
        self.request_count = 0
        self.extra_count = 0.0
        self.slack_count = 0.0
        self.filled_ms = started_ms

    def fill(self, share: BudgetShare, now_ms: float) -> None:
        """Takes the slack that has come in since the last time."""
        came_count = share.refill_count_per_ms * (now_ms - self.filled_ms)
        self.slack_count = min(
            share.bucket_count, self.slack_count + came_count
        )
        self.filled_ms = now_ms

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


class WindowBudget:
    """The extra calls of one instance, by service."""

    def __init__(self, share: BudgetShare, started_ms: float):
        """Makes a book without entries.

        Args:
            share: The instance's part of the budget.
            started_ms: When the instance started.
        """
        self.share = share
        self.gather_share = share
        self.gathered_services: frozenset[str] = frozenset()
        self._started_ms = started_ms
        self._services: dict[str, _Service] = {}

    def record_request(self, service: str, now_ms: float) -> None:
        """Counts the first call of a request to a service."""
        found = self._service(service)
        found.slot(self._number(now_ms)).request_count += 1
        found.request_count += 1

    def try_spend(
        self, service: str, now_ms: float, reserve_count: float = 0.0
    ) -> bool:
        """Counts an extra call if it may be made; tells whether so.

        Args:
            service: The service to call.
            now_ms: The time now.
            reserve_count: Extra calls that must be left after it.
        """
        found, slot, earned_count = self._account(service, now_ms)
        if earned_count + found.slack_count < 1.0 + reserve_count:
            return False
        paid_count = min(1.0, earned_count)
        slot.extra_count += paid_count
        found.extra_count += paid_count
        found.slack_count -= 1.0 - paid_count
        return True

    def can_spend(self, service: str, now_ms: float) -> bool:
        """Whether an extra call to a service could be made now."""
        found, _, earned_count = self._account(service, now_ms)
        return earned_count + found.slack_count >= 1.0

    def _share_for(self, service: str) -> BudgetShare:
        """Returns the part of the budget that calls to a service draw on."""
        return (
            self.gather_share
            if service in self.gathered_services
            else self.share
        )

    def _account(
        self, service: str, now_ms: float
    ) -> tuple[_Service, _Slot, float]:
        """Brings a service's counts up to date.

        Returns:
            The counts, their current slot, and the extra calls that requests
            have paid for and are left.
        """
        found = self._service(service)
        number = self._number(now_ms)
        slot = found.slot(number)
        share = self._share_for(service)
        found.fill(share, now_ms)
        earned_count = share.ratio * found.earning_count(number)
        return found, slot, max(0.0, earned_count - found.extra_count)

    def _service(self, service: str) -> _Service:
        found = self._services.get(service)
        if found is None:
            found = self._services[service] = _Service(self._started_ms)
        return found

    def _number(self, now_ms: float) -> int:
        return int(now_ms * SLOT_COUNT / self.share.window_ms)
