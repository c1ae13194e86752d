"""The state of a request's parts: its shards, or its only service."""

import collections
import dataclasses


@dataclasses.dataclass(kw_only=True)
class Call:
    """One call that is out.

    Attributes:
        call_id: Its number.
        upstream_id: Whom it goes to.
        created_ms: When it was decided on.
        part: The part that it is for.
        cross_domain: Whether it goes into another failure domain.
        is_sent: Whether the upstream may have seen it: not while it waits for a
            connection.
        overdue_at_ms: When an outcome is overdue, where another instance makes
            the call; None where it is made from here.
        is_probe: Whether it goes over a new connection (`policy.probeguard`).
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
    """What has been done for one service that a request goes to.

    Attributes:
        service: The service.
        calls: The calls that are out, by number.
        tried_upstream_ids: Upstreams that were chosen; no other call goes there
            by choice.
        reached_upstream_ids: Upstreams that may have seen the request.
        call_counts: Calls that each upstream may have seen.
        shed_upstream_ids: Upstreams that refused it and may be asked again.
        resend_count: Calls to upstreams that refused before.
        reply: The answer, once there is one.
        failure: An upstream's own failure, to be passed on.
        abandoned: Whether it was given up.
        hedged: Whether its hedge was decided on.
        last_reason: What was last seen, for the caller and the log.
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
        """Whether an answer is still wanted."""
        return self.reply is None and not self.abandoned

    def record_call(self, upstream_id: str) -> None:
        """Notes a call that goes to an upstream."""
        self.tried_upstream_ids.add(upstream_id)
        self.reached_upstream_ids.add(upstream_id)
        self.call_counts[upstream_id] += 1

    def record_unreached(self, upstream_id: str) -> None:
        """Notes an upstream that saw nothing of the last call.

        It may have seen an earlier one: a lost gatherer's.
        """
        self.call_counts[upstream_id] -= 1
        if not self.resend_count and self.call_counts[upstream_id] <= 0:
            self.reached_upstream_ids.discard(upstream_id)


class Parts:
    """All parts of a request, with counts that cost no look at each of them."""

    def __init__(self, services: tuple[str, ...], floor_count: float):
        """Makes the parts of a request, none of which was sent.

        Args:
            services: One service for each part.
            floor_count: Parts without which there is no answer.
        """
        self.all = [Part(service=each) for each in services]
        self._floor_count = floor_count
        self.answered_count = 0
        self.abandoned_count = 0

    @property
    def open_count(self) -> int:
        """Parts that an answer is still wanted for."""
        return len(self.all) - self.answered_count - self.abandoned_count

    def can_reach_floor(self) -> bool:
        """Whether the parts that are answered or may still be are enough."""
        return len(self.all) - self.abandoned_count >= self._floor_count

    def meets_floor(self) -> bool:
        """Whether the parts that are answered make an answer."""
        return 0 < self.answered_count >= self._floor_count

    def is_below_floor(self) -> bool:
        """Whether a query needs more than the parts that are in."""
        return len(self.all) > 1 and self.answered_count < self._floor_count

    def max_reached_count(self) -> int:
        """Returns the most upstreams that may have seen any one part."""
        return max(
            (len(part.reached_upstream_ids) for part in self.all), default=0
        )

    def record_answer(self, part: Part, reply: object) -> None:
        """Takes the answer of an open part."""
        part.reply = reply
        self.answered_count += 1

    def abandon(self, part: Part) -> None:
        """Gives an open part up."""
        if part.is_open():
            part.abandoned = True
            self.abandoned_count += 1
