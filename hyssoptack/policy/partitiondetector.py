"""Whether the own failure domain seems cut off from all others.

A cut shows in calls: those into other domains bring no sign of life, be it that
they stay unanswered or that every connection is refused or reset. Either raises
a doubt, and so does a neighbour's word. A doubt costs nothing but a look: some
upstreams of other domains, chosen at random, are tried, and only when none of
them gives a sign of life twice in a row is the domain taken to be cut off. A
refused connection is no sign of life, as a firewall between domains refuses
too; that all upstreams of a look are lost while others live is rare enough.

While cut off, calls go to the own domain only, and a query that needs more
shards than are there is refused at once: it could only wait for its deadline.
The instance then asks the balancer for no callers, who are better served
elsewhere, unless

- the own domain has an upstream for every service: it serves its callers
  nearly as well, while elsewhere they would add to the load of upstreams that
  already lack this domain's (one shard's last upstream took 270 to 380 ms
  instead of 28, and a window of all callers fell from 0.69 to 0.41);
- the platform's store still answers: then it is the others that are lost, and
  there is no elsewhere.
"""

import dataclasses
import enum

SILENT_CALL_MIN_COUNT = 4
"""Calls into other domains without a sign of life that raise a doubt: a crashed
shard of three upstreams alone raises none."""

WAIT_MIN_MS = 30.0
"""A query that waited for less has not waited for anybody: quick calls take 10
ms, calls with a new connection 17."""

FAILED_CHECK_COUNT = 2
"""Looks without a sign of life that show a cut. With 17 upstreams in 100 down,
the most on the users' days, one look of six finds only such ones 2 times in
100,000; the second guards against a stall of this process during the first."""


class PartitionState(enum.Enum):
    """What is believed of the way to other failure domains."""

    CONNECTED = "well"
    SUSPECTED = "doubted"
    PARTITIONED = "cut"


@dataclasses.dataclass(frozen=True, kw_only=True)
class CheckResult:
    """What a look found.

    Attributes:
        others_alive: Whether anything in another failure domain lives.
        store_alive: Whether the platform's store answers.
        covers_all_services: Whether the own domain has an upstream for every
            service.
    """

    others_alive: bool
    store_alive: bool
    covers_all_services: bool = False


@dataclasses.dataclass(kw_only=True)
class RemoteCallTally:
    """One query's calls into other failure domains."""

    sent_count: int = 0
    answered_count: int = 0


class PartitionDetector:
    """One instance's belief; changes are for the caller to log."""

    def __init__(self) -> None:
        self.state = PartitionState.CONNECTED
        self.partitioned_since_ms = 0.0
        self._own_doubt = False
        self._lost_count = 0
        self._dark_look_count = 0
        self._stays = False

    @property
    def detected_locally(self) -> bool:
        """Whether own calls raised the doubt: neighbours are to be told."""
        return self._own_doubt

    @property
    def is_partitioned(self) -> bool:
        """Whether calls into other domains are pointless."""
        return self.state is PartitionState.PARTITIONED

    @property
    def leaves_rotation(self) -> bool:
        """Whether callers are better served by other failure domains."""
        return self.is_partitioned and not self._stays

    def record_outcome(self, tally: RemoteCallTally, alive: bool) -> None:
        """Takes whether a call into another domain found life there."""
        if alive:
            tally.answered_count += 1
            self.record_sign_of_life()
        else:
            self.record_connection_failure()

    def record_sign_of_life(self) -> None:
        """Takes a sign of life from another domain."""
        self._lost_count = 0
        self._dark_look_count = 0
        self.state = PartitionState.CONNECTED

    def record_connection_failure(self) -> None:
        """Takes a call into another domain that was refused or reset."""
        self._lost_count += 1
        if self._lost_count >= SILENT_CALL_MIN_COUNT:
            self._doubt(own=True)

    def record_wait(self, tally: RemoteCallTally, waited_ms: float) -> None:
        """Takes how long a query has waited for its calls."""
        silent = (
            not tally.answered_count
            and tally.sent_count >= SILENT_CALL_MIN_COUNT
        )
        if silent and waited_ms >= WAIT_MIN_MS:
            self._doubt(own=True)

    def on_neighbour_suspicion(self) -> None:
        """Takes a neighbour's word for a doubt, and for no more than that."""
        self._doubt(own=False)

    def _doubt(self, own: bool) -> None:
        if self.state is PartitionState.CONNECTED:
            self.state = PartitionState.SUSPECTED
            self._own_doubt = own
            self._dark_look_count = 0

    def record_check(self, look: CheckResult, now_ms: float) -> None:
        """Takes what a look found, while there is a doubt or a cut."""
        self._stays = look.store_alive or look.covers_all_services
        if look.others_alive:
            self.record_sign_of_life()
            return
        self._dark_look_count += 1
        enough = self._dark_look_count >= FAILED_CHECK_COUNT
        if self.state is PartitionState.SUSPECTED and enough:
            self.state = PartitionState.PARTITIONED
            self.partitioned_since_ms = now_ms
