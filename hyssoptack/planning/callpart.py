"""The state of a request's parts: its shards, or its single service."""

import collections
import dataclasses


@dataclasses.dataclass(kw_only=True)
class Call:
    """One open call.

    Attributes:
        call_id: The number of the call, unique within its request.
        upstream_id: The upstream that is called.
        created_ms: The time at which the call was created.
        part: The part that the call is for.
        cross_domain: Whether the upstream is in another failure domain.
        is_sent: Whether the upstream may have seen the call; false while the
            call waits for a connection.
        overdue_at_ms: Time after which the outcome is overdue if another
            instance makes the call; None if this instance makes it.
        is_probe: Whether the call uses a new connection
            (`quarantine.probeguard`).
    """

    call_id: int
    upstream_id: str
    created_ms: float
    part: "Part"
    cross_domain: bool = False
    is_sent: bool = True
    overdue_at_ms: float | None = None
    is_probe: bool = False


@dataclasses.dataclass(kw_only=True)
class Part:
    """The state of one service that a request is sent to.

    Attributes:
        service: The name of the service.
        calls: The open calls, by call ID.
        tried_upstream_ids: Upstreams that were already chosen; they are
            excluded when another upstream is chosen.
        reached_upstream_ids: Upstreams that may have seen the request.
        call_counts: Number of calls that each upstream may have seen.
        shed_upstream_ids: Upstreams that shed the request and may be called
            again.
        resend_count: Number of calls to upstreams that shed the request
            before.
        reply: The answer; None until one arrives.
        failure: An upstream's failure reply, which is passed on to the caller.
        abandoned: Whether the part was given up without an answer.
        hedged: Whether a hedge was attempted; there is at most one.
        last_reason: Reason of the last outcome, for the caller and the log.
    """

    service: str
    calls: dict[int, Call] = dataclasses.field(default_factory=dict)
    tried_upstream_ids: set[str] = dataclasses.field(default_factory=set)
    reached_upstream_ids: set[str] = dataclasses.field(default_factory=set)
    call_counts: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    shed_upstream_ids: list[str] = dataclasses.field(default_factory=list)
    resend_count: int = 0
    reply: object = None
    failure: object = None
    abandoned: bool = False
    hedged: bool = False
    last_reason: str = "no_upstream"

    def is_open(self) -> bool:
        """Returns whether the part is neither answered nor abandoned."""
        return self.reply is None and not self.abandoned

    def record_call(self, upstream_id: str) -> None:
        """Records a call to an upstream."""
        self.tried_upstream_ids.add(upstream_id)
        self.reached_upstream_ids.add(upstream_id)
        self.call_counts[upstream_id] += 1

    def record_unreached(self, upstream_id: str) -> None:
        """Records that the last call to an upstream did not reach it.

        The upstream stays counted as reached if it may have seen an earlier
        call, such as one made by a gatherer that was lost.
        """
        self.call_counts[upstream_id] -= 1
        if not self.resend_count and self.call_counts[upstream_id] <= 0:
            self.reached_upstream_ids.discard(upstream_id)


class Parts:
    """All parts of a request, with counts that avoid scans over the parts.

    Attributes:
        all: The parts, in the order of the services.
        answered_count: Number of answered parts.
        abandoned_count: Number of parts given up without an answer.
    """

    def __init__(self, services: tuple[str, ...], floor_count: float):
        """Creates the parts of a request, all unsent.

        Args:
            services: One service for each part.
            floor_count: Smallest number of answered parts that makes an
                answer.
        """
        self.all = [Part(service=each) for each in services]
        self._floor_count = floor_count
        self.answered_count = 0
        self.abandoned_count = 0

    @property
    def open_count(self) -> int:
        """The number of parts that are neither answered nor abandoned."""
        return len(self.all) - self.answered_count - self.abandoned_count

    def can_reach_floor(self) -> bool:
        """Returns whether answered and open parts together reach the floor."""
        return len(self.all) - self.abandoned_count >= self._floor_count

    def can_reach_floor_without(self, part: Part) -> bool:
        """Returns whether the floor can be reached if a part is abandoned."""
        lost_count = self.abandoned_count + part.is_open()
        return len(self.all) - lost_count >= self._floor_count

    def meets_floor(self) -> bool:
        """Returns whether the answered parts reach the coverage floor."""
        return 0 < self.answered_count >= self._floor_count

    def is_below_floor(self) -> bool:
        """Returns whether a sharded query is still below its coverage floor."""
        return len(self.all) > 1 and self.answered_count < self._floor_count

    def max_reached_count(self) -> int:
        """Returns the largest number of upstreams that may have seen a part."""
        return max(
            (len(part.reached_upstream_ids) for part in self.all), default=0
        )

    def record_answer(self, part: Part, reply: object) -> None:
        """Records the answer of an open part."""
        part.reply = reply
        self.answered_count += 1

    def abandon(self, part: Part) -> None:
        """Marks a part as abandoned if it is open."""
        if part.is_open():
            part.abandoned = True
            self.abandoned_count += 1
