"""Whether an instance hands a query over to a neighbour with a wider link.

A query's parts all come in over the link of the instance that gathers them: 36
parts of 1,250 bytes take 47 ms of a link of 7.7 Mbit/s, a third of the time in
which the answer is of use, while what goes to the caller is a fiftieth of that.
Where a neighbour of the failure domain has a link that is wider by far, it
gathers, and hands the merged answer back.

A neighbour says at once that it has begun; one that stays silent, or declines,
is left alone for a while, longer each time, and the query is run here. Nothing
is learned from a site: widths are what instances say of themselves, sizes are
those of the replies seen.
"""

import dataclasses
import random

from hyssoptack.core import member
from hyssoptack.policy import delayestimate
from hyssoptack.policy import ejectionstate

WIDER_RATIO = 2.0
"""A neighbour's link must be wider by this: else both are of one kind, and its
own queries fill it as well."""

GAIN_RATIO = 0.05
"""Part of the time to the goal that handing over must save: the detour costs 1
to 3 ms, of goals of 73 to 151 ms."""

IN_FLIGHT_LIMIT_COUNT = 32
"""Queries that one instance leaves with one neighbour at a time. Each takes
0.15 s at most, so that is far over what one instance gets; it bounds what a
neighbour's loss costs."""

ACCEPT_TIMEOUT_MS = 30.0
"""A neighbour says within 2 ms that it has begun, within some 20 while one of
the links is busy. Silence for longer is a stopped process or a broken link, and
leaves time to run the query here."""

ANSWER_SLACK_MS = 25.0
"""An answer comes at the goal at the latest where its floor was met; this long
after it, the neighbour is asked whether it is still there."""

HOP_MS = 2.0
"""What handing over and back takes at least, kept back from the goal."""

LIVENESS_CHECK_PERIOD_MS = 250.0
"""How often it is asked from then on, while the caller waits."""

SIZE_DEFAULT_BYTES = 600.0
"""Assumed size of a reply before any was seen: between the users' smallest (350
bytes with its head) and their largest (1,250)."""

SIZE_SMOOTHING_RATIO = 0.05
"""Weight of the newest reply in a route's size: replies vary by a fifth."""

BITS_PER_MBIT_MS = 1_000.0
"""Bits that a link of 1 Mbit/s carries in a millisecond."""


@dataclasses.dataclass(kw_only=True)
class _Neighbour:
    """What handing queries to one neighbour has shown."""

    flight_count: int = 0
    left_alone: ejectionstate.EjectionState = dataclasses.field(
        default_factory=ejectionstate.EjectionState
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class Query:
    """A query that may be handed over.

    Attributes:
        route_name: Its route.
        part_count: Shards that it goes to.
        to_goal_ms: Time until its answer loses most of its use.
    """

    route_name: str
    part_count: int
    to_goal_ms: float


class DelegateSelector:
    """One instance's view of what its neighbours can gather."""

    def __init__(self, link_mbps: float, source: random.Random):
        self.link_mbps = link_mbps
        self._random = source
        self._peers: tuple[member.Peer, ...] = ()
        self._known: dict[str, _Neighbour] = {}
        self._reply_bytes: dict[str, float] = {}
        self.hop_delays = delayestimate.DelayEstimate(HOP_MS)

    def install(self, peers: tuple[member.Peer, ...]) -> None:
        """Replaces the list of neighbours."""
        self._peers = peers
        addresses = {each.address for each in peers}
        self._known = {
            address: each
            for address, each in self._known.items()
            if address in addresses or each.flight_count
        }

    def reply_bytes(self, route_name: str) -> float:
        """Returns the usual size of a reply to calls of a route."""
        return self._reply_bytes.get(route_name, SIZE_DEFAULT_BYTES)

    def record_reply_size(self, route_name: str, size_bytes: float) -> None:
        """Takes the size of an upstream's reply, seen here or elsewhere."""
        before = self._reply_bytes.get(route_name, size_bytes)
        step = SIZE_SMOOTHING_RATIO * (size_bytes - before)
        self._reply_bytes[route_name] = before + step

    def choose(self, query: Query, now_ms: float) -> member.Peer | None:
        """Returns whom to hand a query to; None to run it here."""
        if not self.link_mbps:
            return None
        bits = 8.0 * self.reply_bytes(query.route_name) * query.part_count
        own_ms = bits / (self.link_mbps * BITS_PER_MBIT_MS)
        candidates = [
            each
            for each in self._peers
            if each.link_mbps >= WIDER_RATIO * self.link_mbps
            and self._is_well(each.address, now_ms)
            and own_ms - bits / (each.link_mbps * BITS_PER_MBIT_MS)
            >= GAIN_RATIO * query.to_goal_ms
        ]
        if not candidates:
            return None
        self._random.shuffle(candidates)
        return min(candidates, key=lambda each: self._load(each))

    def _is_well(self, address: str, now_ms: float) -> bool:
        known = self._known.get(address, _Neighbour())
        full = known.flight_count >= IN_FLIGHT_LIMIT_COUNT
        return not full and not known.left_alone.is_ejected(now_ms)

    def _load(self, peer: member.Peer) -> float:
        known = self._known.get(peer.address, _Neighbour())
        return (known.flight_count + 1) / peer.link_mbps

    def begin_delegation(self, address: str) -> None:
        """Notes a query that goes to a neighbour."""
        known = self._known.setdefault(address, _Neighbour())
        known.flight_count += 1

    def end_delegation(self, address: str) -> None:
        """Notes that a handed query is over here, however it went."""
        known = self._known.get(address)
        if known is not None and known.flight_count:
            known.flight_count -= 1

    def record_answer(self, address: str) -> None:
        """Takes that a neighbour answered."""
        known = self._known.setdefault(address, _Neighbour())
        known.left_alone.record_answer()

    def record_failure(self, address: str, now_ms: float) -> None:
        """Takes that a neighbour did not begin, or did not answer."""
        known = self._known.setdefault(address, _Neighbour())
        known.left_alone.record_failure(now_ms)
