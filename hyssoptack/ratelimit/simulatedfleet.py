"""A simulated fleet with teams, callers and failures."""

import dataclasses

from hyssoptack.core import teams
from hyssoptack.ratelimit import ownership
from hyssoptack.ratelimit import simulatednode
from hyssoptack.ratelimit import simulation

SITE_COUNT = 3
RATES_PER_S = (23.0, 5.0, 40.0, 2.0, 10.0)
CALLER_COUNTS = (1, 3, 2, 12)
RESTART_MS = 2_000.0
LIST_DELAY_MAX_MS = 5_000.0
ISOLATION_NOTICE_MS = 1_000.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class FleetSettings:
    """What a fleet consists of.

    Attributes:
        instance_count: Number of instances, in three failure domains.
        team_count: Number of teams.
        seed: Seed of all random choices.
        load: Demand of the teams as a part of their rates.
        domain_count: 1 for one owner of a team in all failure domains.
        transfers: Whether tokens are transferred between domains.
        rates_per_s: Rates of the teams, repeated; the bursts are alike.
        spread_ratio: Part of the teams with callers in all domains.
        anywhere: Whether each request of a team arrives at any instance.
    """

    instance_count: int
    team_count: int = 20
    seed: int = 1
    load: float = 0.6
    domain_count: int = SITE_COUNT
    transfers: bool = True
    rates_per_s: tuple[float, ...] = RATES_PER_S
    spread_ratio: float = 2 / 3
    anywhere: bool = False


class Fleet:
    """Instances and callers.

    Attributes:
        world: The simulated world.
        callers: The callers of all teams.
        members: Ids of the instances by group.
    """

    def __init__(self, settings):
        """Creates a fleet of `FleetSettings` and starts its callers."""
        self._settings = settings
        self.world = simulation.World(settings.seed)
        self.members = {}
        sites = {
            f"i{number:04d}": number % SITE_COUNT
            for number in range(settings.instance_count)
        }
        for node_id, site in sites.items():
            group = site if settings.domain_count > 1 else 0
            self.members.setdefault(group, []).append(node_id)
        for number in range(settings.team_count):
            rate_per_s = settings.rates_per_s[
                number % len(settings.rates_per_s)
            ]
            self.world.limits[f"team-{number}"] = teams.RateLimit(
                rate_per_s=rate_per_s, burst_count=rate_per_s
            )
        for node_id, site in sites.items():
            self._add(node_id, site)
        self.callers = simulation.Callers(self.world)
        self._start_callers(sites)

    def _add(self, node_id, site):
        self.world.nodes[node_id] = simulatednode.Node(
            self.world,
            node_id,
            site,
            self.members,
            self._settings.domain_count,
            self._settings.transfers,
        )

    def _start_callers(self, sites):
        rng = self.world.rng
        for number, team in enumerate(self.world.limits):
            self.callers.load[team] = self._settings.load
            if self._settings.anywhere:
                self.callers.start(team, [None])
                continue
            own_site = number % SITE_COUNT
            spread = rng.random() < self._settings.spread_ratio
            pool = [
                node_id
                for node_id, site in sites.items()
                if spread or site == own_site
            ]
            caller_count = CALLER_COUNTS[number % len(CALLER_COUNTS)]
            self.callers.start(
                team, [rng.choice(pool) for _ in range(caller_count)]
            )

    @property
    def teams(self):
        """Names of all teams."""
        return list(self.world.limits)

    def heat(self, names, at_ms, length_ms=6_000.0, factor=8.0):
        """Lets teams send a multiple of their rate for a time."""
        for team in names:
            self.world.at(at_ms, self._set_load, team, factor)
            self.world.at(
                at_ms + length_ms, self._set_load, team, self._settings.load
            )

    def _set_load(self, team, load):
        self.callers.load[team] = load

    def cut(self, site, at_ms, length_ms):
        """Partitions a failure domain from the others for a time."""
        self.world.at(at_ms, self.world.cut_sites.add, site)
        self.world.at(at_ms + length_ms, self.world.cut_sites.discard, site)

    def owner_id(self, team, site):
        """Returns the first in the ranking of the running instances."""
        return ownership.ranking(
            team,
            [
                each.node_id
                for each in self.world.nodes.values()
                if each.site == site
            ],
        )[0]

    def kill_owner(self, team, site, at_ms, link_loss_is_seen):
        """Kills a team's owner; an instance with another id replaces it."""
        self.world.at(at_ms, self._kill, team, site, link_loss_is_seen)

    def _kill(self, team, site, link_loss_is_seen):
        node_id = self.owner_id(team, site)
        self.world.stop(node_id, link_loss_is_seen)
        self.world.at(
            self.world.now_ms + RESTART_MS, self._restart, node_id, site
        )

    def _restart(self, node_id, site):
        new_id = f"{node_id}b"
        self.members[site].remove(node_id)
        self.members[site].append(new_id)
        self._add(new_id, site)
        listed_ids = list(self.members[site])
        for each in listed_ids:
            delay_ms = self.world.rng.uniform(0.0, LIST_DELAY_MAX_MS)
            self.world.at(
                self.world.now_ms + delay_ms, self._list, each, listed_ids
            )

    def _list(self, node_id, listed_ids):
        if node_id in self.world.nodes:
            self.world.nodes[node_id].set_members(listed_ids)

    def freeze_owner(self, team, site, at_ms, length_ms):
        """Stops the process of a team's owner for a time."""
        self.world.at(
            at_ms,
            lambda: self.world.nodes[self.owner_id(team, site)].freeze(
                length_ms
            ),
        )

    def isolate_owner(self, team, site, at_ms):
        """Cuts the links of a team's owner; callers still reach it."""
        self.world.at(at_ms, self._isolate, team, site)

    def _isolate(self, team, site):
        node_id = self.owner_id(team, site)
        self.world.isolated_ids.add(node_id)
        node = self.world.nodes[node_id]
        node.after(
            ISOLATION_NOTICE_MS,
            lambda: node.ledger.set_isolated(True, self.world.now_ms),
        )

    def restart_all(self, at_ms):
        """Restarts all instances at once, with empty memories."""
        self.world.at(at_ms, self._restart_all)

    def _restart_all(self):
        for node_id, node in list(self.world.nodes.items()):
            self._add(node_id, node.site)

    def worst_excess(self):
        """Returns the largest excess of a team over its limit in a window."""
        return max(
            simulation.worst_excess(
                self.callers.results[team].spent_ms, self.world.limits[team]
            )
            for team in self.teams
        )

    def unwaited_ratio(self, names, begin_ms, end_ms):
        """Returns the part of the permitted requests that did not wait."""
        waits_ms = [
            wait_ms
            for name in names
            for wait_ms, spent_ms in zip(
                self.callers.results[name].waits_ms,
                self.callers.results[name].spent_ms,
                strict=True,
            )
            if begin_ms <= spent_ms < end_ms
        ]
        return sum(each == 0.0 for each in waits_ms) / len(waits_ms)

    def wrong_ratio(self, names, begin_ms, end_ms):
        """Returns the part of the requests in a time refused wrongly."""
        results = [self.callers.results[team] for team in names]
        wrong_count = sum(
            begin_ms <= each < end_ms
            for result in results
            for each in result.wrong_ms
        )
        total_count = wrong_count + sum(
            begin_ms <= each < end_ms
            for result in results
            for each in result.spent_ms
        )
        return wrong_count / total_count
