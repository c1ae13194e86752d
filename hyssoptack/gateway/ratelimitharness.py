"""Rate limiters of several instances on a simulated network, for tests.

Time is simulated: the event loop skips the time in which nothing is due, so
that tests of seconds take milliseconds and do not depend on the machine's load.
"""

import asyncio
import collections
import collections.abc
import math
import selectors
import typing

from hyssoptack.core import clock
from hyssoptack.core import member
from hyssoptack.core import ratelimitmessage
from hyssoptack.core import teams
from hyssoptack.gateway import permitdecision
from hyssoptack.gateway import ratelimiter
from hyssoptack.http1 import message
from hyssoptack.ratelimit import share
from hyssoptack.settings import gateway

NEAR_MS, FAR_MS = 0.1, 0.9
"""One-way latency within a failure domain and between two."""

SETTINGS = gateway.RateLimitSettings(
    window_ms=5_000.0, overage_ratio=0.1, slack_count=20.0
)
TEAM = teams.Team(
    name="team",
    rate_limit=teams.RateLimit(rate_per_s=23.0, burst_count=23.0),
)

LIMIT = TEAM.rate_limit
BOUNDS = share.LimitBounds(
    window_ms=SETTINGS.window_ms,
    overage_ratio=SETTINGS.overage_ratio,
    slack_count=SETTINGS.slack_count,
)
ALLOWED_COUNT = share.allowed_count(LIMIT, BOUNDS)
"""Requests of the team that operators allow in a window."""

FAR_PEER_COUNT = 3

JOINED_S = 25.0
"""Time after which an instance that joined no longer asks former owners."""


DEBIT_S = 0.03
"""Time after which the owner has subtracted a permit spent without asking."""


class _SimulatedSelector(selectors.DefaultSelector):
    """Advances the simulated time instead of waiting."""

    now_s = 1_000.0

    def select(self, timeout: float | None = None) -> list:
        """Returns the ready files at once."""
        if timeout is not None and timeout > 0:
            self.now_s += timeout
        return super().select(0)


class _SimulatedLoop(asyncio.SelectorEventLoop):
    """An event loop on simulated time."""

    def __init__(self) -> None:
        self.simulated = _SimulatedSelector()
        super().__init__(self.simulated)

    def time(self) -> float:
        """Returns the simulated time in seconds."""
        return self.simulated.now_s


def run(
    test: collections.abc.Callable[[], collections.abc.Awaitable[None]],
) -> None:
    """Runs a test on an event loop and a clock of simulated time."""
    loop = _SimulatedLoop()
    real_now_ms = clock.now_ms
    clock.now_ms = lambda: loop.time() * message.MS_PER_S
    try:
        loop.run_until_complete(test())
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        clock.now_ms = real_now_ms
        loop.close()


class Node:
    """One instance.

    Attributes:
        peer: Its id, domain and address.
        version: Version of its configuration.
        teams: Its teams by name.
        is_silent: Whether it neither sends nor receives messages.
        is_frozen: Whether messages to it wait until `Network.thaw`.
        limiter: Its rate limiter.
        permitted: Times of the requests that were permitted.
        sent: Messages that it has sent.
    """

    def __init__(self, network: "Network", peer: member.Peer):
        self._network = network
        self.peer = peer
        self.version = 1
        self.teams = {TEAM.name: TEAM}
        self.is_silent = False
        self.is_frozen = False
        self.received_while_frozen: list[typing.Any] = []
        self.frozen_ms = 0.0
        self.permitted: list[float] = []
        self.sent: list[ratelimitmessage.Message] = []
        self.limiter = ratelimiter.RateLimiter(
            SETTINGS,
            peer,
            network.domain_count,
            self._configured,
            self._send,
            self._far_peers,
        )
        self.task = asyncio.get_running_loop().create_task(
            self.limiter.run_periodically()
        )

    def _configured(self) -> tuple[int, teams.Directory]:
        directory = teams.Directory(by_name=self.teams, by_key_digest={})
        return self.version, directory

    def _send(self, address: str, body: ratelimitmessage.Message) -> None:
        self.sent.append(body)
        self._network.deliver(self, address, body)

    def _far_peers(self) -> list[member.Peer]:
        found = collections.defaultdict(list)
        for each in self._network.nodes.values():
            if each.peer.failure_domain != self.peer.failure_domain:
                found[each.peer.failure_domain].append(each.peer)
        return [
            each for some in found.values() for each in some[:FAR_PEER_COUNT]
        ]

    async def acquire(
        self, team: teams.Team | None = None
    ) -> permitdecision.Decision:
        """Returns the decision on a request."""
        decided = asyncio.get_running_loop().create_future()
        self.limiter.acquire(
            team or self.teams.get(TEAM.name, TEAM), decided.set_result
        )
        decision = await decided
        if isinstance(decision, permitdecision.Permitted):
            self.permitted.append(clock.now_ms())
        return decision

    async def acquire_many(self, count: int) -> int:
        """Sends requests at once; returns how many were permitted."""
        decisions = await asyncio.gather(
            *(self.acquire() for _ in range(count))
        )
        return sum(
            isinstance(each, permitdecision.Permitted) for each in decisions
        )

    async def send_steadily(
        self, rate_per_s: float, duration_s: float
    ) -> list[permitdecision.Decision]:
        """Sends requests at a constant rate; returns the decisions."""
        tasks = []
        for _ in range(round(rate_per_s * duration_s)):
            tasks.append(asyncio.create_task(self.acquire()))
            await asyncio.sleep(1.0 / rate_per_s)
        return await asyncio.gather(*tasks)

    def tokens(self) -> float | None:
        """Returns the tokens of the bucket; None if it is not owned."""
        counts = self.limiter._ledger.token_counts(clock.now_ms())
        return counts.get(TEAM.name)


class Network:
    """Instances in several failure domains."""

    def __init__(self, domain_count: int = 1):
        self.domain_count = domain_count
        self.nodes: dict[str, Node] = {}
        self.is_lost: collections.abc.Callable[
            [Node, Node, ratelimitmessage.Message], bool
        ] = lambda sender, receiver, body: False

    def add(self, name: str, domain: str = "north") -> Node:
        """Adds an instance, which has no list of instances yet."""
        peer = member.Peer(
            instance_id=name, failure_domain=domain, address=f"{name}:1"
        )
        self.nodes[name] = Node(self, peer)
        return self.nodes[name]

    def publish_lists(self, *names: str) -> None:
        """Gives instances (all if none is named) their list of instances."""
        for name in names or tuple(self.nodes):
            node = self.nodes[name]
            node.limiter.set_neighbours(
                tuple(
                    each.peer
                    for each in self.nodes.values()
                    if each.peer.failure_domain == node.peer.failure_domain
                    and each is not node
                )
            )

    def ranked(self, domain: str = "north") -> list[Node]:
        """Returns a domain's instances in the order of the ranking."""
        node = next(
            each
            for each in self.nodes.values()
            if each.peer.failure_domain == domain
        )
        ids = node.limiter._ranking.ids(TEAM.name)
        return [self.nodes[each] for each in ids]

    def deliver(
        self, sender: Node, address: str, body: ratelimitmessage.Message
    ) -> None:
        """Delivers a message after the latency of the network."""
        name = address.rpartition(":")[0]
        receiver = self.nodes.get(name)
        if receiver is None or sender.is_silent or receiver.is_silent:
            return
        if self.is_lost(sender, receiver, body):
            return
        same = sender.peer.failure_domain == receiver.peer.failure_domain
        asyncio.get_running_loop().call_later(
            (NEAR_MS if same else FAR_MS) / message.MS_PER_S,
            self._receive,
            receiver,
            body,
        )

    def _receive(self, receiver: Node, body: ratelimitmessage.Message) -> None:
        if receiver.is_frozen:
            receiver.received_while_frozen.append(body)
        else:
            receiver.limiter.on_message(body)

    def kill(self, node: Node) -> None:
        """Ends an instance; the others lose their connections to it."""
        node.is_silent = True
        node.task.cancel()
        for each in self.nodes.values():
            if each is not node:
                each.limiter.on_link_lost(node.peer.address)

    def freeze(self, node: Node) -> None:
        """Stops an instance; messages to it wait."""
        node.is_frozen = True
        node.frozen_ms = clock.now_ms()

    def thaw(self, node: Node) -> None:
        """Continues an instance: it first handles the waiting messages."""
        node.is_frozen = False
        node.limiter._alive_ms = node.frozen_ms
        received, node.received_while_frozen = node.received_while_frozen, []
        for each in received:
            node.limiter.on_message(each)

    def max_window_count(self) -> int:
        """Returns the most requests permitted in any window, over all."""
        times = sorted(
            t for each in self.nodes.values() for t in each.permitted
        )
        return max(
            sum(0 <= t - start < SETTINGS.window_ms for t in times)
            for start in times
        )


def start(
    count: int = 3,
    domain_count: int = 1,
    domain: str = "north",
    network: Network | None = None,
) -> Network:
    """Starts the instances of a domain, with their lists.

    Args:
        count: Number of instances.
        domain_count: Number of domains of a new network.
        domain: The domain.
        network: The network to add them to; None for a new one.
    """
    network = network or Network(domain_count)
    for index in range(count):
        network.add(f"{domain}-{index}", domain)
    network.publish_lists()
    return network


async def warm_up(network: Network) -> list[Node]:
    """Lets the first instance of the ranking begin; returns the ranking."""
    ranked = network.ranked()
    await asyncio.sleep(JOINED_S)
    await ranked[-1].acquire()
    await asyncio.sleep(DEBIT_S)
    assert ranked[0].limiter._ledger.owns(TEAM.name)
    return ranked


def ask_first(*nodes: Node) -> None:
    """Lets instances permit no request without asking, as after a start."""
    for each in nodes:
        each.limiter._cache._ask_first_until_ms = math.inf


def count_of(
    decisions: collections.abc.Iterable[permitdecision.Decision], kind: type
) -> int:
    """Returns the number of decisions of a kind."""
    return sum(isinstance(each, kind) for each in decisions)


async def elapsed_ms(
    awaitable: collections.abc.Awaitable[typing.Any],
) -> tuple[typing.Any, float]:
    """Returns the result of an awaitable and the time that it took."""
    started_ms = clock.now_ms()
    result = await awaitable
    return result, clock.now_ms() - started_ms
