"""Holds requests and calls back while the view is too old to route them.

A process that stood still finds requests in its sockets, and timers that are
due, before it has heard of what changed meanwhile. They wait here, in order,
until the store has been read, a neighbour's notice has arrived or the read has
failed. While the view is current, nothing waits and one comparison is made.
"""

import asyncio
import collections
import collections.abc
import dataclasses

from hyssoptack.core import clock
from hyssoptack.core import timeouts
from hyssoptack.events import log
from hyssoptack.gateway import exceptionlog
from hyssoptack.membership import freshness
from hyssoptack.membership import readerelection

HOLD_LIMIT_RATIO = 2.0
"""Longest hold, as a multiple of the timeout of a read of the list. A read that
fails ends the hold by itself; this limit ends it if there is no read."""

Function = collections.abc.Callable[[], None]


@dataclasses.dataclass(eq=False, kw_only=True)
class Held:
    """What waits for a current view.

    Attributes:
        run: Called once the view is current, or can't be made current.
        on_expired: Called instead if the time limit passes before.
        timer: Timer of the time limit; None if there is none.
    """

    run: Function
    on_expired: Function | None = None
    timer: asyncio.TimerHandle | None = None


class ViewGate:
    """Decides whether requests may be routed now, and holds them if not.

    Attributes:
        held_count: Number of requests and calls that were held so far.
        total_held_ms: Sum of the times for which the view was too old while
            something waited.
        awake_since_ms: Returns the end of the last stall of this process.
    """

    def __init__(self, timings: readerelection.ReadTimings):
        self.awake_since_ms: collections.abc.Callable[[], float] = _never
        self.held_count = 0
        self.total_held_ms = 0.0
        self._freshness = freshness.Freshness(timings)
        self._waiting: collections.deque[Held] = collections.deque()
        self._demanded = asyncio.Event()
        self._limit_timer: timeouts.Timer | None = None
        self._closed_ms = 0.0

    def set_timings(self, timings: readerelection.ReadTimings) -> None:
        """Replaces the intervals at which the store is read."""
        self._freshness.timings = timings

    # Requests and calls.

    @property
    def waiting_count(self) -> int:
        """The number of requests and calls that are held now."""
        return len(self._waiting)

    def is_open(self) -> bool:
        """Returns whether the view is current."""
        return self._freshness.is_current(clock.now_ms(), self.awake_since_ms())

    def age_ms(self, now_ms: float) -> float:
        """Returns the time since the last exact read of the store."""
        return self._freshness.age_ms(now_ms)

    def run_when_open(self, run: Function) -> None:
        """Calls a function at once, or when the view is current."""
        if self.is_open():
            run()
        else:
            self.hold(run)

    def hold(
        self,
        run: Function,
        on_expired: Function | None = None,
        expires_ms: float | None = None,
    ) -> Held:
        """Holds a function until the view is current.

        Args:
            run: Called once the view is current, or can't be made current.
            on_expired: Called instead at `expires_ms`.
            expires_ms: Time at which it stops waiting; None for no such time.
        """
        if not self.needs_read:
            self._close()
        held = Held(run=run, on_expired=on_expired)
        if expires_ms is not None:
            wait_ms = max(0.0, expires_ms - clock.now_ms())
            held.timer = asyncio.get_running_loop().call_later(
                wait_ms / timeouts.MS_PER_S, self._expire, held
            )
        self._waiting.append(held)
        self.held_count += 1
        return held

    def cancel(self, held: Held) -> None:
        """Drops what is held, without a call."""
        if held in self._waiting:
            self._waiting.remove(held)
        if held.timer is not None:
            held.timer.cancel()

    def _expire(self, held: Held) -> None:
        if held in self._waiting:
            self._waiting.remove(held)
            _run_guarded(held.on_expired)

    def _close(self) -> None:
        self._closed_ms = clock.now_ms()
        self._demanded.set()
        if self._limit_timer is not None:
            self._limit_timer.cancel()
        timeout_ms = self._freshness.timings.list_timeout_ms
        self._limit_timer = timeouts.Timer(
            HOLD_LIMIT_RATIO * timeout_ms, self._on_limit
        )
        log.write(
            log.Event.VIEW_OUTDATED,
            age_ms=round(self._freshness.age_ms(self._closed_ms)),
            current_ms=round(self._freshness.timings.current_ms),
        )

    # Reads of the store.

    @property
    def needs_read(self) -> bool:
        """Whether something waits for a read of the store."""
        return self._demanded.is_set()

    async def sleep(self, wait_ms: float) -> None:
        """Sleeps for a time, or until something waits for a read."""
        try:
            async with asyncio.timeout(wait_ms / timeouts.MS_PER_S):
                await self._demanded.wait()
        except TimeoutError:
            # The usual case: nothing waits.
            return

    def remaining_ms(self) -> float:
        """Returns the time for which the last exact read is still current."""
        return self._freshness.remaining_ms(clock.now_ms())

    def begin_read(self, asked_ms: float) -> None:
        """Records that this instance asks the store for the list."""
        self._freshness.begin_read(asked_ms, self.awake_since_ms())

    def end_read(self, asked_ms: float, exact: bool) -> None:
        """Records a read of this instance, whose result is applied.

        Args:
            asked_ms: Time at which the read was asked for.
            exact: Whether it returned the current state.
        """
        self._freshness.end_read(asked_ms, exact)
        self._open_if_current("store")

    def fail_read(self, asked_ms: float) -> None:
        """Records a read that the store did not answer."""
        self._freshness.fail_read(asked_ms)
        self._open_if_current("read_failed")

    def record_notice(self, asked_ms: float, sender_id: str) -> None:
        """Records an exact read of a neighbour, whose result is applied."""
        self._freshness.record_exact_read(asked_ms)
        self._open_if_current(f"peer {sender_id}")

    def _on_limit(self) -> None:
        self._freshness.fail_read(clock.now_ms())
        self._open_if_current("no_read")

    def _open_if_current(self, reason: str) -> None:
        if not (self.needs_read and self.is_open()):
            return
        now_ms = clock.now_ms()
        self._demanded.clear()
        self._limit_timer.cancel()
        held_ms = now_ms - self._closed_ms
        self.total_held_ms += held_ms
        waiting, self._waiting = self._waiting, collections.deque()
        log.write(
            log.Event.VIEW_CURRENT,
            reason=reason,
            held_ms=round(held_ms, 1),
            held_count=len(waiting),
            age_ms=round(self._freshness.age_ms(now_ms)),
        )
        for each in waiting:
            if each.timer is not None:
                each.timer.cancel()
            _run_guarded(each.run)


def _never() -> float:
    """Returns the time of a stall that never was."""
    return freshness.NEVER_MS


def _run_guarded(function: Function) -> None:
    """Runs what was held; an error does not keep back what follows."""
    try:
        function()
    except Exception as error:
        log.write(
            log.Event.REQUEST_FAULT,
            detail="held request or call",
            trace=exceptionlog.trace(error),
        )
