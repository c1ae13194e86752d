"""The asker's side of the rate limits: the permits that one instance holds.

Permits are held ahead of demand, so that most requests of a team within its
limit need no message. A permit is valid for 2 s from its request, and one of a
refused attempt for a shorter time, so that few are carried from one window of
the operator's check into the next.
"""

import collections
import dataclasses
import math
import random

from hyssoptack.ratelimit import demand
from hyssoptack.ratelimit import retryslots

EXPIRY_MS = 2_000.0
"""Validity of a permit, from its request."""

REFUND_EXPIRY_MS = 250.0
"""Time for which the permit of an attempt that was not run is held, before it
is given back to the owner. With a longer one, the permits of a whole burst of
refused attempts are carried into the next window."""

HELD_LIMIT_COUNT = 8
"""Largest number of permits held for a team ahead of demand."""

AHEAD_S = 0.5
"""Recent demand for which permits are held, in seconds."""

REFILL_PART_COUNT = 4
"""Permits are asked for once a quarter of the target is left. At half, there
were 1.1 times as many messages, and as many requests had to wait (`simulation`,
68 instances)."""

DEMAND_AVERAGE_MS = 1_000.0
"""Time over which the demand of a team is averaged."""

USED_MS = 2_000.0
"""Time after a request within which at least one permit is held."""

NO_PERMIT_PAUSE_MS = 250.0
"""Time without requests ahead of demand after one that yielded no permit."""

DENIAL_MAX_MS = 100.0
"""Longest time for which a denial by the owner is applied to further requests
without asking again. It bounds the messages about a team far over its limit to
10 a second and instance."""

DEBIT_LIMIT_COUNT = 4
"""Largest number of permits of a team spent without asking that the owner has
not been told of. Further requests ask first, so that requests that arrive at
once at one instance cannot exceed the limit by any number."""

ASK_FIRST_MS = 2_000.0
"""Time after a start or a stop of this process in which the owner is asked
first: a notice of a restriction may have been missed (specified). It is also
the longest time for which a restriction applies."""

IDLE_MS = 60_000.0
"""Time without requests after which a team's state is dropped."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Permit:
    expires_ms: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Pending:
    asked_ms: float
    permit_count: int


class _TeamPermits:
    """The permits held for one team, the one to expire first at the left."""

    def __init__(self, now_ms: float):
        self.permits: collections.deque[_Permit] = collections.deque()
        self.pending: list[_Pending] = []
        self.demand = demand.Demand(DEMAND_AVERAGE_MS)
        self.used_ms = now_ms
        self.paused_until_ms = -math.inf
        self.denied_until_ms = -math.inf
        self.interval_ms = 0.0
        self.retry_slots = retryslots.RetrySlots()
        self.unused_count = 0
        self.debit_count = 0

    def expire(self, now_ms: float) -> None:
        while self.permits and self.permits[0].expires_ms <= now_ms:
            self.permits.popleft()
            self.unused_count += 1
        self.pending = [
            each for each in self.pending if now_ms - each.asked_ms < EXPIRY_MS
        ]

    def insert(self, permit_count: int, expires_ms: float) -> None:
        added = [_Permit(expires_ms=expires_ms)] * permit_count
        self.permits = collections.deque(
            sorted([*self.permits, *added], key=lambda each: each.expires_ms)
        )


class PermitCache:
    """The permits that an instance holds, for all teams."""

    def __init__(self, rng: random.Random, started_ms: float = math.inf):
        """Creates an empty cache.

        Args:
            rng: Gives the jitter of retry delays.
            started_ms: Time of the start of the process. By default no request
                is ever permitted without asking.
        """
        self._rng = rng
        self._by_team: dict[str, _TeamPermits] = {}
        self._ask_first_until_ms = started_ms + ASK_FIRST_MS
        self._restricted_until_ms: dict[str, float] = {}
        self._unanswered: set[str] = set()

    @property
    def active_count(self) -> int:
        """Number of teams with requests within the last minute."""
        return len(self._by_team)

    def try_spend(
        self, team_name: str, now_ms: float, waited: bool = False
    ) -> bool:
        """Spends a permit for a request, if one is held.

        Args:
            team_name: The team.
            now_ms: The current time.
            waited: Whether the request has waited for a reply, and was counted
                as demand by an earlier call.

        Returns:
            Whether a permit was spent.
        """
        found = self._by_team.get(team_name)
        if found is None:
            found = self._by_team[team_name] = _TeamPermits(now_ms)
        found.used_ms = now_ms
        if not waited:
            found.demand.record(1.0, now_ms)
        found.expire(now_ms)
        if not found.permits:
            return False
        found.permits.popleft()
        return True

    def may_spend_ahead(self, team_name: str, now_ms: float) -> bool:
        """Returns whether requests are permitted before the owner is asked."""
        return (
            now_ms >= self._ask_first_until_ms
            and team_name not in self._unanswered
            and now_ms >= self._restricted_until_ms.get(team_name, -math.inf)
        )

    def spend_ahead(self, team_name: str, now_ms: float) -> bool:
        """Permits a request without asking, to be debited to the owner.

        To be called after `try_spend`, which counts the demand.

        Returns:
            Whether it is permitted; if not, the owner is to be asked.
        """
        found = self._by_team.get(team_name)
        if (
            found is None
            or found.debit_count >= DEBIT_LIMIT_COUNT
            or not self.may_spend_ahead(team_name, now_ms)
        ):
            return False
        found.debit_count += 1
        return True

    def take_debit(self, team_name: str) -> int:
        """Removes and returns the permits to debit to the owner."""
        found = self._by_team.get(team_name)
        if found is None:
            return 0
        debit_count, found.debit_count = found.debit_count, 0
        return debit_count

    def record_answer(
        self, team_name: str, ask_first_ms: float, now_ms: float
    ) -> None:
        """Records an owner's answer to a debit or a request for permits.

        Args:
            team_name: The team.
            ask_first_ms: Time for which the owner is to be asked first; 0 ends
                a restriction.
            now_ms: The current time.
        """
        self._unanswered.discard(team_name)
        self.restrict(team_name, ask_first_ms, now_ms)

    def restrict(
        self, team_name: str, ask_first_ms: float, now_ms: float
    ) -> None:
        """Lets the requests of a team ask first, for 2 s at most; 0 ends it."""
        if ask_first_ms == 0.0:
            self._restricted_until_ms.pop(team_name, None)
        elif 0.0 < ask_first_ms <= ASK_FIRST_MS:
            self._restricted_until_ms[team_name] = now_ms + ask_first_ms

    def record_unanswered(self, team_name: str) -> None:
        """Lets the requests of a team ask first until an owner answers."""
        self._unanswered.add(team_name)

    def record_ask(
        self, team_name: str, permit_count: int, now_ms: float
    ) -> None:
        """Records a request for permits that has been sent.

        Permits that may still arrive count as held until then, so that they
        are not requested twice and the owner does not grant more than it may.

        Args:
            team_name: The team.
            permit_count: Wanted and prefetched permits of the request.
            now_ms: The time passed to `add` as `asked_ms`.
        """
        found = self._by_team.get(team_name)
        if found is not None:
            found.pending.append(
                _Pending(asked_ms=now_ms, permit_count=permit_count)
            )

    def add(
        self,
        team_name: str,
        permit_count: int,
        asked_ms: float,
        now_ms: float,
    ) -> None:
        """Adds granted permits; they expire 2 s after the request for them.

        Args:
            team_name: The team.
            permit_count: The permits; 0 if the owner granted none.
            asked_ms: Time of the request.
            now_ms: The current time.
        """
        found = self._by_team.get(team_name)
        if found is None:
            return
        for each in found.pending:
            if each.asked_ms == asked_ms:
                found.pending.remove(each)
                break
        if permit_count <= 0:
            found.paused_until_ms = now_ms + NO_PERMIT_PAUSE_MS
            return
        found.denied_until_ms = -math.inf
        found.insert(permit_count, min(asked_ms, now_ms) + EXPIRY_MS)
        found.expire(now_ms)

    def refund(self, team_name: str, now_ms: float) -> None:
        """Adds the permit of an attempt that was refused or never sent."""
        found = self._by_team.get(team_name)
        if found is None:
            return
        found.expire(now_ms)
        if found.debit_count > 0:
            # The owner has not been told of it yet.
            found.debit_count -= 1
        elif len(found.permits) < HELD_LIMIT_COUNT:
            found.insert(1, now_ms + REFUND_EXPIRY_MS)
        else:
            found.unused_count += 1

    def refill_count(self, team_name: str, now_ms: float) -> int:
        """Returns the permits to ask for ahead of demand; 0 for none."""
        found = self._by_team.get(team_name)
        if found is None or now_ms - found.used_ms >= USED_MS:
            return 0
        if now_ms < max(found.paused_until_ms, found.denied_until_ms):
            return 0
        if self.may_spend_ahead(team_name, now_ms):
            return 0
        target_count = min(
            HELD_LIMIT_COUNT,
            max(1, round(AHEAD_S * found.demand.per_s(now_ms))),
        )
        held_count = self.held_count(team_name, now_ms)
        if held_count > target_count // REFILL_PART_COUNT:
            return 0
        return target_count - held_count

    def record_denial(
        self, team_name: str, retry_after_ms: float, now_ms: float
    ) -> None:
        """Records that the owner refused a request.

        Args:
            team_name: The team.
            retry_after_ms: Retry delay of the refused request.
            now_ms: The current time.
        """
        found = self._by_team.get(team_name)
        if found is None or not retry_after_ms > 0.0:
            return
        pause_ms = min(retry_after_ms, DENIAL_MAX_MS)
        found.denied_until_ms = now_ms + pause_ms
        found.interval_ms = retry_after_ms

    def denied_for_ms(self, team_name: str, now_ms: float) -> float:
        """Returns the retry delay of a request to refuse without asking.

        Returns:
            The delay; 0 if the owner is to be asked.
        """
        found = self._by_team.get(team_name)
        if found is None or now_ms >= found.denied_until_ms:
            return 0.0
        return found.retry_slots.next_delay_ms(
            found.interval_ms, 0.0, now_ms, self._rng
        )

    def held_count(self, team_name: str, now_ms: float) -> int:
        """Returns the permits that are held or may still arrive."""
        found = self._by_team.get(team_name)
        if found is None:
            return 0
        found.expire(now_ms)
        return len(found.permits) + sum(
            each.permit_count for each in found.pending
        )

    def take_unused(self, now_ms: float) -> dict[str, int]:
        """Removes and returns expired permits, to give them to the owners.

        An owner adds them to its bucket (`ledger.Ledger.take_back`), up to the
        capacity. A team of whose attempts many are refused would otherwise use
        up its rate with requests that never ran.
        """
        unused = {}
        for team_name, each in self._by_team.items():
            each.expire(now_ms)
            if each.unused_count:
                unused[team_name] = each.unused_count
                each.unused_count = 0
        return unused

    def clear(self, now_ms: float = -math.inf) -> None:
        """Drops all permits, after the process was stopped until now."""
        self._ask_first_until_ms = max(
            self._ask_first_until_ms, now_ms + ASK_FIRST_MS
        )
        for each in self._by_team.values():
            each.permits.clear()
            each.unused_count = 0

    def drop_idle(self, now_ms: float) -> None:
        """Drops permits beyond the limit, and teams without requests."""
        self._restricted_until_ms = {
            team_name: until_ms
            for team_name, until_ms in self._restricted_until_ms.items()
            if now_ms < until_ms
        }
        self._unanswered &= self._by_team.keys()
        for team_name, each in list(self._by_team.items()):
            each.expire(now_ms)
            while len(each.permits) > HELD_LIMIT_COUNT:
                each.permits.popleft()
                each.unused_count += 1
            if now_ms - each.used_ms >= IDLE_MS:
                del self._by_team[team_name]
