"""Sends one request as a probe while it is suspected to crash upstreams.

A probe is one call at a time, over a connection opened for it, until one call
is answered (`quarantine.quarantine` has the reasons). The request's other calls
are queued here meanwhile.
"""

import collections
import collections.abc
import dataclasses

from hyssoptack.core import traffic
from hyssoptack.planning import callcommand
from hyssoptack.planning import callpart
from hyssoptack.planning import callresult
from hyssoptack.quarantine import quarantine
from hyssoptack.quarantine import suspectrecord

HEDGE = "hedge"
"""Reason of a call that is sent in parallel to another one of its part."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class QueuedCall:
    """A call that waits for the current probe to end.

    Attributes:
        part: Part of the request that it serves.
        upstream: Upstream that it was to be sent to.
        extra_reason: Reason for an extra call; empty for a part's first call.
    """

    part: callpart.Part
    upstream: traffic.Upstream
    extra_reason: str


class ProbeGuard:
    """Decides when the calls of one request may be sent.

    Attributes:
        crash_count: Upstreams that crashed with a call of the request in
            flight.
        is_probing: Whether the request is sent as a probe.
    """

    def __init__(self, registry: quarantine.SuspectRegistry, fingerprint: str):
        """Creates a guard that lets all calls pass until `admit` is called.

        Args:
            registry: Registry of suspected requests.
            fingerprint: Fingerprint of the request's content.
        """
        self._registry = registry
        self._fingerprint = fingerprint
        self._answered = False
        self._queued: collections.deque[QueuedCall] = collections.deque()
        self._released: callpart.Part | None = None
        self.crash_count = 0
        self.is_probing = False

    def admit(self, now_ms: float) -> bool:
        """Looks the request up and returns whether it may be sent."""
        verdict = self._registry.decide(self._fingerprint, now_ms)
        self.is_probing = verdict is quarantine.Verdict.PROBE
        return verdict is not quarantine.Verdict.REFUSE

    def _start_index(self, now_ms: float, count: int) -> int:
        """Returns the index of the queued call to send first.

        Requests whose calls failed in the same crash start with different
        parts. Otherwise they would be in flight on the same upstream again, and
        the request that crashes it would fail the calls of the others as well.
        """
        return (int(self._fingerprint or "0", 16) + int(now_ms)) % count

    def record_answer(self, now_ms: float) -> None:
        """Records that an upstream has answered the request."""
        if not self._answered:
            self._answered = True
            self.is_probing = False
            self.clear_suspicion(now_ms)

    def clear_suspicion(self, now_ms: float) -> None:
        """Clears the request in the registry after an answer."""
        self._registry.record_answer(self._fingerprint, now_ms)

    def record_outcome(
        self, call: callpart.Call, outcome: callcommand.Outcome, now_ms: float
    ) -> bool:
        """Records a call's outcome.

        Returns:
            Whether the request must now fail because it crashes upstreams.
        """
        if outcome.reason == callresult.CRASHES_UPSTREAMS:
            return not self._answered
        if not outcome.upstream_exited:
            return False
        self.crash_count += 1
        if self._answered:
            return False
        crash = suspectrecord.UpstreamCrash(
            upstream_id=call.upstream_id,
            at_ms=now_ms,
            is_separate_event=call.is_probe and outcome.was_only_call,
        )
        self._registry.record_crash(self._fingerprint, crash, now_ms)
        self.is_probing = self._registry.is_tracked(self._fingerprint)
        return self._registry.is_quarantined(self._fingerprint, now_ms)

    def record_end(self) -> None:
        """Records that the request has ended.

        If upstreams crashed with it in flight and none has answered it, the
        suspicion is shared with other instances.
        """
        if self.crash_count and not self._answered:
            self._registry.share(self._fingerprint)

    def queue_if_probing(
        self,
        call: QueuedCall,
        calls: collections.abc.Iterable[callpart.Call],
    ) -> bool:
        """Returns whether a call has to wait for a probe, and queues it if so.

        A late call is hedged even while probing, one part at a time; a hedge
        that would have to wait is not queued.

        Args:
            call: The call to be sent.
            calls: All calls of the request that are in flight.
        """
        if not self.is_probing:
            return False
        if call.extra_reason == HEDGE:
            return any(e.is_probe and e.part is not call.part for e in calls)
        if call.part is self._released:
            self._released = None
            return False
        self._queued.append(call)
        return True

    def next_queued(
        self, calls: collections.abc.Sized, now_ms: float
    ) -> QueuedCall | None:
        """Returns the next call to be sent now; None if there is none."""
        while self._queued and not (self.is_probing and calls):
            if self.is_probing:
                self._queued.rotate(
                    -self._start_index(now_ms, len(self._queued))
                )
            queued = self._queued.popleft()
            if queued.part.is_open() and not queued.part.calls:
                self._released = queued.part
                return queued
        return None
