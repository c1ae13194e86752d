"""Simulated instances, links and callers for the tests of the rate limits.

The instances follow `gateway.ratelimiter` in outline: its messages, timers and
failures, without sockets, so that many instances run in a second.
"""

import collections
import dataclasses
import heapq
import itertools
import random

from hyssoptack.core import ratelimitmessage
from hyssoptack.core import teams
from hyssoptack.peers import codec
from hyssoptack.ratelimit import share

BOUNDS = share.LimitBounds(
    window_ms=5_000.0, overage_ratio=0.1, slack_count=20.0
)
LATE_MESSAGE_RATIO = 0.002
LOOP_DELAY_MEAN_MS = 0.15
LINK_LOSS_NOTICE_MS = 5.0


class World:
    """Time, links and the limits in force.

    Attributes:
        now_ms: The simulated time.
        rng: Gives all random choices.
        nodes: Running instances by id.
        limits: Limits of the teams.
        cut_sites: Sites that cannot reach the others.
        isolated_ids: Instances that reach no other instance.
        lost_ratio: Part of the messages that is lost.
        late_ratio: Part of the messages that is 10 to 150 ms late.
        message_counts: Messages sent, by type.
        message_bytes: Their encoded sizes, by type.
    """

    def __init__(self, seed: int):
        self.now_ms = 0.0
        self.rng = random.Random(seed)
        self.nodes: dict[str, object] = {}
        self.limits: dict[str, teams.RateLimit] = {}
        self.cut_sites: set[int] = set()
        self.isolated_ids: set[str] = set()
        self.lost_ratio = 0.0
        self.late_ratio = LATE_MESSAGE_RATIO
        self.message_counts: collections.Counter = collections.Counter()
        self.message_bytes: collections.Counter = collections.Counter()
        self._codec = codec.Codec(ratelimitmessage.KINDS)
        self._gone_ms: dict[str, float] = {}
        self._events: list = []
        self._sequence = itertools.count()

    def at(self, time_ms, function, *arguments):
        """Schedules a call."""
        heapq.heappush(
            self._events,
            (time_ms, next(self._sequence), function, arguments),
        )

    def run_until(self, end_ms):
        """Runs the scheduled calls until a time."""
        while self._events and self._events[0][0] <= end_ms:
            time_ms, _, function, arguments = heapq.heappop(self._events)
            self.now_ms = time_ms
            function(*arguments)
        self.now_ms = end_ms

    def send(self, source, target_id, message) -> bool:
        """Sends a message; returns False if the link is known to be lost."""
        gone_ms = self._gone_ms.get(target_id)
        if gone_ms is not None and self.now_ms > gone_ms + LINK_LOSS_NOTICE_MS:
            source.set_lost(target_id)
            return False
        kind = type(message).__name__
        self.message_counts[kind] += 1
        self.message_bytes[kind] += len(self._codec.encode(message)[1])
        target = self.nodes.get(target_id)
        if target is None or self._is_cut(source, target):
            return True
        if self.rng.random() < self.lost_ratio:
            return True
        delay_ms = 0.1 if source.site == target.site else 0.9
        delay_ms += self.rng.expovariate(1.0 / LOOP_DELAY_MEAN_MS)
        if self.rng.random() < self.late_ratio:
            delay_ms += self.rng.uniform(10.0, 150.0)
        self.at(self.now_ms + delay_ms, self._deliver, target_id, message)
        return True

    def stop(self, node_id, link_loss_is_seen):
        """Kills an instance."""
        del self.nodes[node_id]
        if link_loss_is_seen:
            self._gone_ms[node_id] = self.now_ms

    def _is_cut(self, source, target):
        sites = {source.site, target.site}
        return (len(sites) > 1 and bool(self.cut_sites & sites)) or bool(
            self.isolated_ids & {source.node_id, target.node_id}
        )

    def _deliver(self, target_id, message):
        target = self.nodes.get(target_id)
        if target is not None:
            target.run(target.on_message, message)


@dataclasses.dataclass
class TeamResult:
    """What has happened to the requests of a team.

    Attributes:
        spent_ms: Times at which requests were permitted.
        counts: Requests by outcome.
        wrong_count: Refusals while the team was within its limit.
        wrong_ms: Times of these refusals.
        waits_ms: Waiting times of permitted requests, as `spent_ms`.
    """

    spent_ms: list = dataclasses.field(default_factory=list)
    counts: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    wrong_count: int = 0
    wrong_ms: list = dataclasses.field(default_factory=list)
    waits_ms: list = dataclasses.field(default_factory=list)


class Exact:
    """The exact token bucket of a limit, as a reference for refusals."""

    def __init__(self, limit):
        self._limit = limit
        self._token_count = limit.burst_count
        self._updated_ms = 0.0

    def level(self, now_ms):
        """Returns the tokens."""
        gained = self._limit.rate_per_s * (now_ms - self._updated_ms) / 1_000.0
        self._token_count = min(
            self._limit.burst_count, self._token_count + gained
        )
        self._updated_ms = now_ms
        return self._token_count

    def spend(self, now_ms):
        """Removes the token of a permitted request."""
        self._token_count = self.level(now_ms) - 1.0


class Callers:
    """Sends the requests of all teams and records their outcomes.

    Attributes:
        results: Results by team.
        load: Each team's demand as a part of its rate.
        refund_ratio: Part of the permitted requests that is refused within
            200 ms, for which the permit is refunded.
    """

    def __init__(self, world, retry_count=1):
        self._world = world
        self._retry_count = retry_count
        self._exact = {
            name: Exact(limit) for name, limit in world.limits.items()
        }
        self.results = {name: TeamResult() for name in world.limits}
        self.load = dict.fromkeys(world.limits, 0.6)
        self.refund_ratio = 0.0

    def start(self, team_name, node_ids):
        """Starts one caller for each of some instances.

        Each request of a caller with None arrives at any instance.
        """
        for node_id in node_ids:
            self._schedule(team_name, node_id, len(node_ids))

    def _schedule(self, team_name, node_id, caller_count):
        rate_per_s = (
            self._world.limits[team_name].rate_per_s
            * self.load[team_name]
            / caller_count
        )
        self._world.at(
            self._world.now_ms
            + self._world.rng.expovariate(rate_per_s / 1_000.0),
            self._arrive,
            team_name,
            node_id,
            caller_count,
        )

    def _arrive(self, team_name, node_id, caller_count):
        self._schedule(team_name, node_id, caller_count)
        self._submit(team_name, node_id, self._retry_count)

    def _submit(self, team_name, node_id, tries_left):
        node = self._world.nodes.get(node_id)
        if node is None:
            node = self._world.rng.choice(list(self._world.nodes.values()))
        begin_ms = self._world.now_ms
        node.run(
            node.acquire,
            team_name,
            lambda outcome, retry_ms: self._decided(
                team_name, node, begin_ms, outcome, retry_ms, tries_left
            ),
        )

    def _decided(
        self, team_name, node, begin_ms, outcome, retry_ms, tries_left
    ):
        now_ms = self._world.now_ms
        result = self.results[team_name]
        if outcome == "permitted" and (
            self._world.rng.random() < self.refund_ratio
        ):
            node.after(
                self._world.rng.uniform(0.0, 200.0),
                lambda: node.cache.refund(team_name, self._world.now_ms),
            )
            result.counts["refunded"] += 1
            return
        result.counts[outcome] += 1
        if outcome == "permitted":
            result.spent_ms.append(now_ms)
            result.waits_ms.append(now_ms - begin_ms)
            self._exact[team_name].spend(now_ms)
            return
        if self._exact[team_name].level(now_ms) >= 1.0:
            result.wrong_count += 1
            result.wrong_ms.append(now_ms)
        if tries_left and retry_ms < 1_000.0:
            other = self._world.rng.choice(list(self._world.nodes))
            self._world.at(
                now_ms + retry_ms,
                self._submit,
                team_name,
                other,
                tries_left - 1,
            )


def address(node_id) -> str:
    """Returns an address of realistic length for the encoded messages."""
    return f"10.20.{len(node_id)}.17:{30_000 + len(node_id)}"


def worst_excess(times_ms, limit, bounds=BOUNDS) -> float:
    """Returns the largest number of requests above the allowed in a window."""
    allowed = share.allowed_count(limit, bounds)
    times_ms = sorted(times_ms)
    first = 0
    worst = -allowed
    for index, time_ms in enumerate(times_ms):
        while times_ms[first] <= time_ms - bounds.window_ms:
            first += 1
        worst = max(worst, index - first + 1 - allowed)
    return worst
