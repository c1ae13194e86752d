"""Delegates queries to neighbours with more link bandwidth.

All parts of a query arrive over the link of the instance that gathers them: 36
parts of 1,250 bytes occupy a link of 7.7 Mbit/s for 47 ms, a third of the time
in which the answer is of use, while the answer to the caller is a fiftieth of
that. If a neighbour in the failure domain has far more link bandwidth, it
gathers the parts and returns the merged answer.

A neighbour confirms at once that it has begun. One that does not confirm, or
declines, is ejected for a while, longer each time, and the query is run
locally. Nothing is tuned to a site: instances announce their own link
bandwidths, and reply sizes come from the replies seen.
"""

import dataclasses
import random

from hyssoptack.balancing import ejectionstate
from hyssoptack.core import member
from hyssoptack.delegation import delayestimate

MIN_BANDWIDTH_RATIO = 2.0
"""Smallest ratio of a neighbour's link bandwidth to this instance's at which
queries are delegated. Below it both links are similar, and the neighbour's own
queries fill its link as well."""

GAIN_RATIO = 0.05
"""Part of the time to the latency goal that delegation must save: the extra hop
costs 1 to 3 ms, of goals of 73 to 151 ms."""

IN_FLIGHT_LIMIT_COUNT = 32
"""Largest number of queries in flight from one instance to one neighbour. Each
takes 0.15 s at most, so the limit is far above the load of one instance; it
bounds how many queries the loss of a neighbour affects."""

ACCEPT_TIMEOUT_MS = 30.0
"""Timeout of a neighbour's confirmation that it has begun. The confirmation
takes up to 2 ms, or about 20 ms while one of the links is busy. No confirmation
within the timeout means a stopped process or a broken link. The timeout is
short enough to run the query locally afterwards."""

ANSWER_SLACK_MS = 25.0
"""Time after the latency goal at which a neighbour that has not answered is
checked for liveness: its answer comes by the goal if the coverage floor is
met."""

HOP_MS = 2.0
"""Smallest cost of delegating and returning the answer, subtracted from the
time to the goal."""

LIVENESS_CHECK_PERIOD_MS = 250.0
"""Interval of further liveness checks, while the caller waits."""

SIZE_DEFAULT_BYTES = 600.0
"""Assumed size of a reply before any was seen: between the users' smallest (350
bytes with its head) and their largest (1,250)."""

SIZE_SMOOTHING_RATIO = 0.05
"""Weight of the newest reply in a route's average size: replies vary by a
fifth."""

BITS_PER_MBIT_MS = 1_000.0
"""Bits that a link of 1 Mbit/s carries in a millisecond."""


@dataclasses.dataclass(kw_only=True)
class _NeighbourState:
    """State of delegation to one neighbour.

    Attributes:
        in_flight_count: Number of delegated queries in flight at the neighbour.
        ejection: Its ejection after failures.
    """

    in_flight_count: int = 0
    ejection: ejectionstate.EjectionState = dataclasses.field(
        default_factory=ejectionstate.EjectionState
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class Query:
    """A query that may be delegated.

    Attributes:
        route_name: Name of its route.
        part_count: Number of shards that it calls.
        to_goal_ms: Time until its latency goal, after which the answer loses
            most of its use.
    """

    route_name: str
    part_count: int
    to_goal_ms: float


class DelegateSelector:
    """Selects the neighbour that gathers a query.

    Attributes:
        link_mbps: Bandwidth of this instance's link in Mbit/s; 0 if unknown.
        hop_delays: Estimate of the time that delegation adds.
    """

    def __init__(self, link_mbps: float, source: random.Random):
        self.link_mbps = link_mbps
        self._random = source
        self._peers: tuple[member.Peer, ...] = ()
        self._states: dict[str, _NeighbourState] = {}
        self._reply_bytes: dict[str, float] = {}
        self.hop_delays = delayestimate.DelayEstimate(HOP_MS)

    def set_neighbours(self, peers: tuple[member.Peer, ...]) -> None:
        """Replaces the list of neighbours."""
        self._peers = peers
        addresses = {each.address for each in peers}
        self._states = {
            address: each
            for address, each in self._states.items()
            if address in addresses or each.in_flight_count
        }

    def reply_bytes(self, route_name: str) -> float:
        """Returns the average size of replies to calls of a route."""
        return self._reply_bytes.get(route_name, SIZE_DEFAULT_BYTES)

    def record_reply_size(self, route_name: str, size_bytes: float) -> None:
        """Records the size of an upstream's reply, seen here or elsewhere."""
        before = self._reply_bytes.get(route_name, size_bytes)
        step = SIZE_SMOOTHING_RATIO * (size_bytes - before)
        self._reply_bytes[route_name] = before + step

    def choose(self, query: Query, now_ms: float) -> member.Peer | None:
        """Returns the neighbour to delegate to; None to run it locally."""
        if not self.link_mbps:
            return None
        bits = 8.0 * self.reply_bytes(query.route_name) * query.part_count
        own_ms = bits / (self.link_mbps * BITS_PER_MBIT_MS)
        candidates = [
            each
            for each in self._peers
            if each.link_mbps >= MIN_BANDWIDTH_RATIO * self.link_mbps
            and self._is_available(each.address, now_ms)
            and own_ms - bits / (each.link_mbps * BITS_PER_MBIT_MS)
            >= GAIN_RATIO * query.to_goal_ms
        ]
        if not candidates:
            return None
        self._random.shuffle(candidates)
        return min(candidates, key=lambda each: self._load(each))

    def _is_available(self, address: str, now_ms: float) -> bool:
        state = self._states.get(address, _NeighbourState())
        is_full = state.in_flight_count >= IN_FLIGHT_LIMIT_COUNT
        return not is_full and not state.ejection.is_ejected(now_ms)

    def _load(self, peer: member.Peer) -> float:
        state = self._states.get(peer.address, _NeighbourState())
        return (state.in_flight_count + 1) / peer.link_mbps

    @property
    def in_flight_count(self) -> int:
        """The number of delegated queries in flight at all neighbours."""
        return sum(each.in_flight_count for each in self._states.values())

    def begin_delegation(self, address: str) -> None:
        """Records that a query is delegated to a neighbour."""
        state = self._states.setdefault(address, _NeighbourState())
        state.in_flight_count += 1

    def end_delegation(self, address: str) -> None:
        """Records that a delegated query has ended here, successful or not."""
        state = self._states.get(address)
        if state is not None and state.in_flight_count:
            state.in_flight_count -= 1

    def record_answer(self, address: str) -> None:
        """Records that a neighbour answered."""
        state = self._states.setdefault(address, _NeighbourState())
        state.ejection.record_answer()

    def record_failure(self, address: str, now_ms: float) -> None:
        """Records that a neighbour did not begin or answer a query."""
        state = self._states.setdefault(address, _NeighbourState())
        state.ejection.record_failure(now_ms)
