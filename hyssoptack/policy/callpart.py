"""The state of a request's parts: its shards, or its only service."""

import collections
import dataclasses


@dataclasses.dataclass(kw_only=True)
class Call:
    """One call that is out.

    Attributes:
        call_id: Its number.
        upstream_id: Whom it goes to.
        sent_ms: When it was decided on.
        part: The part that it is for.
        far: Whether it goes into another failure domain.
        sent: Whether the upstream may have seen it: not while it waits for a
            connection.
        overdue_ms: When an outcome is overdue, where another instance makes
            the call; None where it is made from here.
        careful: Whether it goes over a new connection (`policy.caution`).
    """

    call_id: int
    upstream_id: str
    sent_ms: float
    part: "Part"
    far: bool = False
    sent: bool = True
    overdue_ms: float | None = None
    careful: bool = False


@dataclasses.dataclass(kw_only=True)
class Part:
    """What has been done for one service that a request goes to.

    Attributes:
        service: The service.
        calls: The calls that are out, by number.
        tried: Upstreams that were chosen; no other call goes there by choice.
        sent_to: Upstreams that may have seen the request.
        seen_counts: Calls that each upstream may have seen.
        shed_by: Upstreams that refused it and may be asked again.
        resend_count: Calls to upstreams that refused before.
        reply: The answer, once there is one.
        failure: An upstream's own failure, to be passed on.
        lost: Whether it was given up.
        hedged: Whether its hedge was decided on.
        last_reason: What was last seen, for the caller and the log.
    """

    service: str
    calls: dict[int, Call] = dataclasses.field(default_factory=dict)
    tried: set[str] = dataclasses.field(default_factory=set)
    sent_to: set[str] = dataclasses.field(default_factory=set)
    seen_counts: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    shed_by: list[str] = dataclasses.field(default_factory=list)
    resend_count: int = 0
    reply: object = None
    failure: object = None
    lost: bool = False
    hedged: bool = False
    last_reason: str = "no_upstream"

    def is_open(self) -> bool:
        """Whether an answer is still wanted."""
        return self.reply is None and not self.lost

    def sent(self, upstream_id: str) -> None:
        """Notes a call that goes to an upstream."""
        self.tried.add(upstream_id)
        self.sent_to.add(upstream_id)
        self.seen_counts[upstream_id] += 1

    def unreached(self, upstream_id: str) -> None:
        """Notes an upstream that saw nothing of the last call.

        It may have seen an earlier one: a lost gatherer's.
        """
        self.seen_counts[upstream_id] -= 1
        if not self.resend_count and self.seen_counts[upstream_id] <= 0:
            self.sent_to.discard(upstream_id)


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
        self.lost_count = 0

    @property
    def open_count(self) -> int:
        """Parts that an answer is still wanted for."""
        return len(self.all) - self.answered_count - self.lost_count

    def floor_reachable(self) -> bool:
        """Whether the parts that are answered or may still be are enough."""
        return len(self.all) - self.lost_count >= self._floor_count

    def covers_floor(self) -> bool:
        """Whether the parts that are answered make an answer."""
        return 0 < self.answered_count >= self._floor_count

    def floor_at_risk(self) -> bool:
        """Whether a query needs more than the parts that are in."""
        return len(self.all) > 1 and self.answered_count < self._floor_count

    def widest_count(self) -> int:
        """Returns the most upstreams that may have seen any one part."""
        return max((len(part.sent_to) for part in self.all), default=0)

    def answer(self, part: Part, reply: object) -> None:
        """Takes the answer of an open part."""
        part.reply = reply
        self.answered_count += 1

    def lose(self, part: Part) -> None:
        """Gives an open part up."""
        if part.is_open():
            part.lost = True
            self.lost_count += 1
