"""Random histories of the owners and askers of one team, for `bound_test`.

They use the ledgers and permit caches directly: requests of all kinds, debits,
notices, transfers, lost and late messages, handovers, deaths of owners, stopped
processes, refunds, changes of the limit and clocks that step back.
"""

import bisect
import itertools
import math
import random

from hyssoptack.core import teams
from hyssoptack.ratelimit import ledger
from hyssoptack.ratelimit import permits
from hyssoptack.ratelimit import share

TEAM = "atlas"
DOMAIN_COUNT = 3
ASKER_COUNT = 3
BOUNDS = share.LimitBounds(
    window_ms=5_000.0, overage_ratio=0.1, slack_count=20.0
)
LIMITS = [
    teams.RateLimit(rate_per_s=rate_per_s, burst_count=burst_count)
    for rate_per_s, burst_count in (
        (23, 23),
        (23, 0),
        (2, 5),
        (150, 40),
        (9, 90),
    )
]
STARTS_PER_WINDOW_COUNT = DOMAIN_COUNT
"""Deaths of owners in a window that the design allows for: one a domain."""

LOST_DEBITS_PER_WINDOW_COUNT = DOMAIN_COUNT
"""Debits in a window that reach no owner at either attempt: one a domain."""

HOT_FACTOR = 8.0
UNDEBITED_MS = 35.0
"""A debit is sent after up to 20 ms and known to be lost after 15 ms more."""


class History:
    """A fleet of one owner and some askers in each failure domain."""

    def __init__(self, limit):
        self.time_ms = 10_000.0
        self.clock_offset_ms = 0.0
        self.limits = [(0.0, limit)]
        self.spent_ms = []
        self._rng = random.Random(1)
        self._starts_ms = []
        self._late = []
        self._owners = [self._begun() for _ in range(DOMAIN_COUNT)]
        self._caches = [
            [
                permits.PermitCache(
                    self._rng, self.now_ms - permits.ASK_FIRST_MS
                )
                for _ in range(ASKER_COUNT)
            ]
            for _ in range(DOMAIN_COUNT)
        ]
        self._lost_debits_ms = []
        self._notices_are_lost = False
        for cache in itertools.chain.from_iterable(self._caches):
            cache.try_spend(TEAM, self.now_ms)

    @property
    def now_ms(self):
        """Returns the time of the clocks that are read."""
        return self.time_ms + self.clock_offset_ms

    @property
    def limit(self):
        """Returns the limit in force."""
        return self.limits[-1][1]

    def _begun(self):
        owner = ledger.Ledger(BOUNDS, DOMAIN_COUNT, self._rng)
        owner.begin(TEAM, self.limit, self.now_ms, None)
        self._starts_ms.append(self.time_ms)
        return owner

    def advance(self, length_ms):
        """Lets time pass; late messages arrive."""
        self.time_ms += length_ms
        due = [each for each in self._late if each[0] <= self.time_ms]
        self._late = [each for each in self._late if each[0] > self.time_ms]
        for _, function, arguments in due:
            function(*arguments)

    def set_clock(self, offset_ms):
        """Steps the clocks."""
        self.clock_offset_ms = offset_ms

    def ask(self, domain, asker, wanted_count, ahead_count, delay_ms):
        """Requests permits; the reply is late, or lost if the delay is None."""
        cache = self._caches[domain][asker]
        self._spend(cache)
        ask = ledger.PermitAsk(
            asker_id=str(asker),
            wanted_count=wanted_count,
            prefetch_count=ahead_count,
            held_count=cache.held_count(TEAM, self.now_ms),
        )
        cache.record_ask(TEAM, wanted_count + ahead_count, self.now_ms)
        result = self._owners[domain].ask(TEAM, self.limit, ask, self.now_ms)
        if isinstance(result, ledger.Short):
            result = self._owners[domain].deny(
                TEAM, self.limit, self.now_ms, ask
            )
        ask_first_ms = self._restriction_ms(domain)
        if delay_ms is None:
            return
        if not delay_ms:
            cache.record_answer(TEAM, ask_first_ms, self.now_ms)
        arguments = (cache, result.permit_count, wanted_count, self.now_ms)
        if delay_ms:
            self._late.append(
                (self.time_ms + delay_ms, self._granted, arguments)
            )
        else:
            self._granted(*arguments)

    def _granted(self, cache, permit_count, wanted_count, asked_ms):
        cache.add(TEAM, permit_count, asked_ms, self.now_ms)
        for _ in range(wanted_count):
            self._spend(cache)

    def _spend(self, cache):
        if cache.try_spend(TEAM, self.now_ms):
            self.spent_ms.append(self.time_ms)

    def undebited_count(self):
        """Returns what a hot team spends at an asker before it is debited."""
        hot_per_s = HOT_FACTOR * self.limit.rate_per_s
        of_asker = hot_per_s / (DOMAIN_COUNT * ASKER_COUNT)
        return min(
            permits.DEBIT_LIMIT_COUNT,
            math.ceil(of_asker * UNDEBITED_MS / 1_000.0),
        )

    def _spend_ahead(self, cache):
        for _ in range(self.undebited_count()):
            if cache.try_spend(TEAM, self.now_ms) or cache.spend_ahead(
                TEAM, self.now_ms
            ):
                self.spent_ms.append(self.time_ms)

    def spend_ahead(self, domain, asker, fate):
        """Spends without asking; `fate` is what happens to the debit."""
        cache = self._caches[domain][asker]
        self._spend_ahead(cache)
        self._debit(domain, cache, fate)

    def _debit(self, domain, cache, fate):
        spent_count = cache.take_debit(TEAM)
        if not spent_count:
            return
        if fate != "answered":
            cache.record_unanswered(TEAM)
        if fate == "late":
            # It is sent once more meanwhile, and counted twice.
            arguments = (domain, spent_count)
            self._late.append((self.time_ms + 150.0, self._subtract, arguments))
        if fate == "lost" and self._may_lose():
            return
        self._subtract(domain, spent_count)
        if fate != "lost":
            ask_first_ms = self._restriction_ms(domain)
            cache.record_answer(TEAM, ask_first_ms, self.now_ms)

    def _may_lose(self):
        recent = [
            each
            for each in self._lost_debits_ms
            if self.time_ms - each < BOUNDS.window_ms
        ]
        if len(recent) >= LOST_DEBITS_PER_WINDOW_COUNT:
            return False
        self._lost_debits_ms.append(self.time_ms)
        return True

    def _subtract(self, domain, spent_count):
        self._owners[domain].debit(TEAM, self.limit, spent_count, self.now_ms)

    def _restriction_ms(self, domain):
        """Returns the restriction; the other instances learn of it."""
        restriction_ms = self._owners[domain].restriction_ms(TEAM, self.now_ms)
        if not self._notices_are_lost:
            for cache in self._caches[domain]:
                cache.restrict(TEAM, restriction_ms, self.now_ms)
        return restriction_ms

    def lose_notices(self, are_lost):
        """Sets whether notices of restrictions are lost."""
        self._notices_are_lost = are_lost

    def flood(self, domain, asker):
        """Sends requests until one is refused."""
        for _ in range(300):
            before_count = len(self.spent_ms)
            self.ask(domain, asker, 1, 8, 0.0)
            if len(self.spent_ms) == before_count:
                return

    def transfer(self, giver, receiver, wanted_count, delay_ms):
        """Moves tokens; they are lost if the delay is None."""
        token_count = self._owners[giver].give(
            TEAM, self.limit, wanted_count, self.now_ms
        )
        if giver != receiver and delay_ms is not None:
            self._late.append(
                (
                    self.time_ms + delay_ms,
                    self._receive,
                    (receiver, token_count),
                )
            )

    def _receive(self, domain, token_count):
        self._owners[domain].receive(TEAM, self.limit, token_count, self.now_ms)

    def change_owner(self, domain, dies):
        """Replaces an owner, which hands over or dies."""
        recent = [
            each
            for each in self._starts_ms
            if self.time_ms - each < BOUNDS.window_ms
        ]
        if not dies:
            token_count = self._owners[domain].hand_over(TEAM, self.now_ms)
            owner = ledger.Ledger(BOUNDS, DOMAIN_COUNT, self._rng)
            owner.begin(TEAM, self.limit, self.now_ms, token_count)
            self._owners[domain] = owner
        elif len(recent) < STARTS_PER_WINDOW_COUNT:
            self._owners[domain] = self._begun()

    def stop_process(self, domain, asker):
        """Stops the processes of an owner and an asker."""
        self._owners[domain].empty(self.now_ms)
        self._caches[domain][asker].clear(self.now_ms)

    def refund(self, domain, asker):
        """Refunds to one cache what it can hold of the last 100 ms."""
        recent = [each for each in self.spent_ms if self.time_ms - each <= 100]
        for each in recent[: permits.HELD_LIMIT_COUNT]:
            self.spent_ms.remove(each)
            self._caches[domain][asker].refund(TEAM, self.now_ms)

    def give_back(self, domain):
        """Gives unused permits back to the owner."""
        for cache in self._caches[domain]:
            for count in cache.take_unused(self.now_ms).values():
                self._owners[domain].take_back(
                    TEAM, self.limit, count, self.now_ms
                )

    def hold_all(self):
        """Lets all askers hold as many permits as they can get."""
        for domain in range(DOMAIN_COUNT):
            for asker in range(ASKER_COUNT):
                cache = self._caches[domain][asker]
                ask = ledger.PermitAsk(
                    asker_id=str(asker),
                    wanted_count=0,
                    prefetch_count=8,
                    held_count=cache.held_count(TEAM, self.now_ms),
                )
                result = self._owners[domain].ask(
                    TEAM, self.limit, ask, self.now_ms
                )
                cache.add(TEAM, result.permit_count, self.now_ms, self.now_ms)

    def flood_all(self):
        """Sends requests everywhere until all are refused."""
        # All spend before the first debit arrives.
        for domain in range(DOMAIN_COUNT):
            for cache in self._caches[domain]:
                self._spend_ahead(cache)
            for cache in self._caches[domain]:
                self._debit(domain, cache, "answered")
        for domain in range(DOMAIN_COUNT):
            for asker in range(ASKER_COUNT):
                self.flood(domain, asker)

    def set_limit(self, limit):
        """Changes the limit."""
        self.limits.append((self.time_ms, limit))

    def drop_idle(self):
        """Reduces idle buckets to their tokens."""
        for owner in self._owners:
            owner.drop_idle(self.now_ms)

    def worst_excess(self):
        """Returns the largest excess in a window over the limits in force.

        A limit counts until one window after it was replaced.
        """
        return max(
            (
                self._count_from(start_ms) - self._allowed_count(start_ms)
                for start_ms in self.spent_ms
            ),
            default=-math.inf,
        )

    def largest_count(self):
        """Returns the largest number of requests in a window."""
        return max(map(self._count_from, self.spent_ms), default=0)

    def designed_count(self, refunds):
        """Returns the largest number that the design of one limit allows for.

        Each death of an owner adds its start bucket and the permits that it has
        granted ahead; a refund takes up to 100 ms and is valid for 250 ms. At
        the end of the window, the buckets may have the debt of what all askers
        spend before their debits arrive.
        """
        of_share = share.domain_share(self.limit, BOUNDS, DOMAIN_COUNT)
        death_count = len(self._starts_ms) - DOMAIN_COUNT
        window_s = BOUNDS.window_ms / 1_000.0 + (0.35 if refunds else 0.0)
        return (
            DOMAIN_COUNT * of_share.rate_per_s * window_s
            + DOMAIN_COUNT * of_share.capacity_count
            + (DOMAIN_COUNT + death_count) * of_share.prefetch_count
            + death_count * of_share.start_count
            + DOMAIN_COUNT * ASKER_COUNT * self.undebited_count()
        )

    def _count_from(self, start_ms):
        # The times are in order: only the clocks that are read step back.
        end_ms = start_ms + BOUNDS.window_ms
        return bisect.bisect_left(self.spent_ms, end_ms) - bisect.bisect_left(
            self.spent_ms, start_ms
        )

    def _allowed_count(self, start_ms):
        ends_ms = [each for each, _ in self.limits[1:]] + [math.inf]
        return max(
            share.allowed_count(limit, BOUNDS)
            for (begin_ms, limit), end_ms in zip(
                self.limits, ends_ms, strict=True
            )
            if end_ms + BOUNDS.window_ms > start_ms
            and begin_ms < start_ms + BOUNDS.window_ms
        )
