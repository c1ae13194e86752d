"""Tells an outage of the store, in which entries may expire, from lost answers.

An entry expires after three heartbeats that the store did not get. A single
call without an answer shows neither that the store was down nor for how long.
"""

from hyssoptack.core import clock
from hyssoptack.events import log
from hyssoptack.gateway import replicatedview
from hyssoptack.membership import readerelection
from hyssoptack.membership import upstreamlist
from hyssoptack.platform import keyvalue

SINGLE_FAILURE_SLACK_MS = 100.0
"""Allowance for the time of a read when two reads in a row are compared with
their period."""


class StoreReachability:
    """Whether the store answers this instance.

    Attributes:
        lost_ms: Time since which it does not; None if it does.
    """

    def __init__(
        self,
        view: replicatedview.ReplicatedView,
        reader_election: readerelection.ReaderElection,
    ):
        self.lost_ms: float | None = None
        self._view = view
        self._reader_election = reader_election
        self._last_read_ms = float("-inf")
        self._last_failure_ms: float | None = None

    def record_lost(
        self, failure: keyvalue.Failure, asked_ms: float | None = None
    ) -> None:
        """Records a failed call.

        Args:
            failure: The failed call.
            asked_ms: Time at which the call was made, if it was a read of the
                list.
        """
        if failure.kind in (
            keyvalue.FailureKind.COMPACTED,
            keyvalue.FailureKind.DELAYED,
        ):
            return
        still_lost = self.lost_ms is not None and (
            not self._was_read_since_failure()
        )
        self._last_failure_ms = clock.now_ms()
        if still_lost:
            return
        self.lost_ms = self._last_failure_ms if asked_ms is None else asked_ms
        log.write(
            log.Event.STORE_LOST,
            detail=failure.detail,
            trouble=failure.kind.value,
            version=self._view.version,
        )

    def record_read(self, asked_ms: float, failure_count: int) -> None:
        """Records a read of the list; starts the grace after an outage.

        Must be called before the list is applied.

        Args:
            asked_ms: Time at which the read was asked for.
            failure_count: Number of reads that failed in a row before.
        """
        if self.lost_ms is None:
            self._record_late_read(asked_ms)
        else:
            self._record_recovered(self.lost_ms, failure_count)
        self._last_read_ms = asked_ms

    def _record_late_read(self, asked_ms: float) -> None:
        list_age_ms = asked_ms - self._view.list_read_ms
        if self._is_outdated(list_age_ms):
            self._view.record_store_return(list_age_ms, clock.now_ms())
            log.write(log.Event.LIST_OUTDATED, list_age_ms=round(list_age_ms))

    def _is_outdated(self, list_age_ms: float) -> bool:
        """Returns whether the list was not read for too long.

        A process that was stopped sees no failure, but the store may have been
        away meanwhile.
        """
        age_max_ms = self._reader_election.read_timings.unread_max_ms
        return self._view.list_read_ms > 0 and list_age_ms > age_max_ms

    def _record_recovered(
        self, lost_since_ms: float, failure_count: int
    ) -> None:
        now_ms = clock.now_ms()
        lost_ms = now_ms - lost_since_ms
        list_age_ms = now_ms - self._view.list_read_ms
        may_have_expired = self._is_outdated(list_age_ms) or (
            list_age_ms > upstreamlist.EXPIRY_MIN_MS
            and not self._was_read_since_failure()
            and not self._was_single_failure(lost_since_ms, failure_count)
        )
        self.lost_ms = None
        if may_have_expired:
            self._view.record_store_return(lost_ms, now_ms)
        log.write(
            log.Event.STORE_BACK,
            lost_ms=round(lost_ms),
            list_age_ms=round(list_age_ms),
            failure_count=failure_count,
            grace=may_have_expired,
        )

    def _was_read_since_failure(self) -> bool:
        """Returns whether a neighbour read the list after the last failure.

        The store answers again then, also if this instance has had no reason to
        read since.
        """
        return (
            self._last_failure_ms is not None
            and self._view.list_read_ms > self._last_failure_ms
        )

    def _was_single_failure(self, lost_ms: float, failure_count: int) -> bool:
        """Returns whether just one read failed between two regular ones.

        Where the period of the reads is long, the list is old by then although
        the store was never away.
        """
        period_ms = self._reader_election.read_timings.list_period_ms
        gap_max_ms = (
            period_ms * (1 + readerelection.JITTER_RATIO)
            + SINGLE_FAILURE_SLACK_MS
        )
        return failure_count == 1 and lost_ms - self._last_read_ms <= gap_max_ms
