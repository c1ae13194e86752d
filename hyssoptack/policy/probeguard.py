"""How one request is sent while it may crash the upstreams that run it.

With care: one call at a time, over a connection opened for it, until one is
answered (`policy.quarantine` says why). What else is due waits here meanwhile.
"""

import collections
import collections.abc
import dataclasses

from hyssoptack.core import traffic
from hyssoptack.policy import callcommand
from hyssoptack.policy import callpart
from hyssoptack.policy import callresult
from hyssoptack.policy import quarantine
from hyssoptack.policy import suspectrecord

HEDGE = "hedge"
"""Why a call is sent beside another one of its part."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class QueuedCall:
    """A call that waits.

    Attributes:
        part: What it is for.
        upstream: Whom it was to go to.
        extra: Why it is not the part's first.
    """

    part: callpart.Part
    upstream: traffic.Upstream
    extra: str


class ProbeGuard:
    """The care that one request is sent with."""

    def __init__(self, known: quarantine.SuspectRegistry, fingerprint: str):
        """Makes a request that is sent without care.

        Args:
            known: What is held against requests.
            fingerprint: Names the request's content.
        """
        self._known = known
        self._fingerprint = fingerprint
        self._answered = False
        self._held: collections.deque[QueuedCall] = collections.deque()
        self._released: callpart.Part | None = None
        self.crash_count = 0
        self.is_probing = False

    def admit(self, now_ms: float) -> bool:
        """Looks what is held against it; tells whether it may be sent."""
        verdict = self._known.decide(self._fingerprint, now_ms)
        self.is_probing = verdict is quarantine.Verdict.PROBE
        return verdict is not quarantine.Verdict.REFUSE

    def _place(self, now_ms: float, count: int) -> int:
        """Returns where to begin among as many parts.

        Requests that lost the same upstreams at once go different ways: one of
        them may take along all that is beside it.
        """
        return (int(self._fingerprint or "0", 16) + int(now_ms)) % count

    def record_answer(self, now_ms: float) -> None:
        """Takes that an upstream has answered: it crashes none."""
        if not self._answered:
            self._answered = True
            self.is_probing = False
            self.clear_suspicion(now_ms)

    def clear_suspicion(self, now_ms: float) -> None:
        """Clears an answered request of what is held against it."""
        self._known.record_answer(self._fingerprint, now_ms)

    def record_outcome(
        self, call: callpart.Call, outcome: callcommand.Outcome, now_ms: float
    ) -> bool:
        """Takes an outcome; tells whether its request crashes upstreams."""
        if outcome.reason == callresult.CRASHES_UPSTREAMS:
            return not self._answered
        if not outcome.upstream_exited:
            return False
        self.crash_count += 1
        if self._answered:
            return False
        ending = suspectrecord.UpstreamCrash(
            upstream_id=call.upstream_id,
            at_ms=now_ms,
            proven=call.is_probe and outcome.was_only_call,
        )
        self._known.record_crash(self._fingerprint, ending, now_ms)
        self.is_probing = self._known.is_tracked(self._fingerprint)
        return self._known.is_quarantined(self._fingerprint, now_ms)

    def record_failure(self) -> None:
        """Takes that it has ended: without an answer others should know."""
        if self.crash_count and not self._answered:
            self._known.share(self._fingerprint)

    def queue_if_probing(
        self,
        asked: QueuedCall,
        calls: collections.abc.Iterable[callpart.Call],
    ) -> bool:
        """Whether a call has to wait; if so, it is kept until it is released.

        A call that is late is hedged all the same, one part at a time.

        Args:
            asked: The call.
            calls: All calls of the request that are out.
        """
        if not self.is_probing:
            return False
        if asked.extra == HEDGE:
            return any(e.is_probe and e.part is not asked.part for e in calls)
        if asked.part is self._released:
            self._released = None
            return False
        self._held.append(asked)
        return True

    def next_queued(
        self, calls: collections.abc.Sized, now_ms: float
    ) -> QueuedCall | None:
        """Returns a call to be made now; None if there is none."""
        while self._held and not (self.is_probing and calls):
            if self.is_probing:
                self._held.rotate(-self._place(now_ms, len(self._held)))
            held = self._held.popleft()
            if held.part.is_open() and not held.part.calls:
                self._released = held.part
                return held
        return None
