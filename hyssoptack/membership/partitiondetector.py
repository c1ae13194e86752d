"""Detects that this instance's failure domain is cut off from all others.

During a partition no call into another domain shows that its upstream is alive:
calls stay unanswered, or every connection is refused or reset. Both cause a
suspicion, and so does a notice from a neighbour. A suspicion only starts
checks. Each check tries some upstreams of other domains, picked at random; the
domain counts as partitioned once two checks in a row found none alive. A
refused connection does not show that an upstream is alive, because a firewall
between domains refuses connections too. All upstreams of a check are rarely
down while others in their domains are alive.

While partitioned, calls go to the instance's own domain only. A query that
needs more shards than the domain has is refused at once, as it could only wait
for its deadline. The instance also asks the balancer to send its callers
elsewhere, where they are better served, unless

- its domain has an upstream for every service: it serves its callers nearly as
  well, while elsewhere they would add to the load of the other domains'
  upstreams, which already replace this domain's (a shard's last upstream took
  270 to 380 ms instead of 28, and the value of all callers' answers in one
  window fell from 0.69 to 0.41 of the full value);
- the platform's store still answers: then the other domains are lost, and
  callers cannot be served elsewhere.
"""

import dataclasses
import enum

SUSPICION_CALL_COUNT = 4
"""Number of calls that cause a suspicion: unanswered calls of one query into
other domains, or failed calls in a row. A crash of all three upstreams of one
shard stays below it."""

WAIT_MIN_MS = 30.0
"""Shortest wait after which a query's calls count as unanswered: quick calls
take 10 ms, calls over a new connection 17 ms."""

FAILED_CHECK_COUNT = 2
"""Checks in a row that found no upstream alive and so show a partition. With 17
of 100 upstreams down, the most on the users' days, all six upstreams of a check
are down 2 times in 100,000. The second check guards against a stall of this
process during the first."""


class PartitionState(enum.Enum):
    """State of the connection to other failure domains."""

    CONNECTED = "well"
    SUSPECTED = "doubted"
    PARTITIONED = "cut"


@dataclasses.dataclass(frozen=True, kw_only=True)
class CheckResult:
    """Result of a check.

    Attributes:
        others_alive: Whether an upstream in another failure domain was found
            alive.
        store_alive: Whether the platform's store answers.
        covers_all_services: Whether the instance's own failure domain has an
            upstream for every service.
    """

    others_alive: bool
    store_alive: bool
    covers_all_services: bool = False


@dataclasses.dataclass(kw_only=True)
class RemoteCallTally:
    """Counts of one query's calls into other failure domains.

    Attributes:
        sent_count: Calls sent.
        answered_count: Calls that showed that their upstream is alive.
    """

    sent_count: int = 0
    answered_count: int = 0


class PartitionDetector:
    """Tracks whether one instance's failure domain is partitioned.

    State changes are left to the caller to log.

    Attributes:
        state: The current state.
        partitioned_since_ms: Start of the latest partition.
    """

    def __init__(self) -> None:
        self.state = PartitionState.CONNECTED
        self.partitioned_since_ms = 0.0
        self._suspected_locally = False
        self._failed_call_count = 0
        self._failed_check_count = 0
        self._stays_in_rotation = False

    @property
    def suspected_locally(self) -> bool:
        """Whether calls of this instance, not a notice, caused the suspicion.

        Neighbours are notified of such a suspicion.
        """
        return self._suspected_locally

    @property
    def is_partitioned(self) -> bool:
        """Whether calls into other domains are pointless."""
        return self.state is PartitionState.PARTITIONED

    @property
    def leaves_rotation(self) -> bool:
        """Whether callers are better served by other failure domains."""
        return self.is_partitioned and not self._stays_in_rotation

    def record_outcome(self, tally: RemoteCallTally, alive: bool) -> None:
        """Records whether a call showed that another domain is alive."""
        if alive:
            tally.answered_count += 1
            self.record_remote_alive()
        else:
            self.record_failed_call()

    def record_remote_alive(self) -> None:
        """Records that another domain is alive, and resets the state."""
        self._failed_call_count = 0
        self._failed_check_count = 0
        self.state = PartitionState.CONNECTED

    def record_failed_call(self) -> None:
        """Records a call that did not show that another domain is alive.

        Such a call was, for example, refused or reset.
        """
        self._failed_call_count += 1
        if self._failed_call_count >= SUSPICION_CALL_COUNT:
            self._suspect(locally=True)

    def record_wait(self, tally: RemoteCallTally, waited_ms: float) -> None:
        """Records how long a query has waited for its calls so far."""
        silent = (
            not tally.answered_count
            and tally.sent_count >= SUSPICION_CALL_COUNT
        )
        if silent and waited_ms >= WAIT_MIN_MS:
            self._suspect(locally=True)

    def on_neighbour_suspicion(self) -> None:
        """Starts a suspicion after a neighbour's notice; confirms nothing."""
        self._suspect(locally=False)

    def _suspect(self, locally: bool) -> None:
        if self.state is PartitionState.CONNECTED:
            self.state = PartitionState.SUSPECTED
            self._suspected_locally = locally
            self._failed_check_count = 0

    def record_check(self, result: CheckResult, now_ms: float) -> None:
        """Records a check's result, while partitioned or suspected to be."""
        self._stays_in_rotation = (
            result.store_alive or result.covers_all_services
        )
        if result.others_alive:
            self.record_remote_alive()
            return
        self._failed_check_count += 1
        is_confirmed = self._failed_check_count >= FAILED_CHECK_COUNT
        if self.state is PartitionState.SUSPECTED and is_confirmed:
            self.state = PartitionState.PARTITIONED
            self.partitioned_since_ms = now_ms
