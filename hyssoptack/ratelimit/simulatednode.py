"""A simulated instance."""

import itertools

from hyssoptack.core import ratelimitmessage
from hyssoptack.ratelimit import ledger
from hyssoptack.ratelimit import ownership
from hyssoptack.ratelimit import permits
from hyssoptack.ratelimit import simulatedasker
from hyssoptack.ratelimit import simulatedowner
from hyssoptack.ratelimit import simulation

STOP_MS = 300.0
LIST_LAG_MS = 20_000.0
RETURN_PERIOD_MS = 250.0


class Node:
    """One instance.

    Attributes:
        world: The simulated world.
        node_id: Its id.
        site: Its failure domain.
        ledger: The buckets that it owns.
        cache: The permits that it holds.
        owners: The ranking of the instances of its group.
        skipped: Times until which instances are not asked.
        lost_ids: Listed instances to which the link is lost.
        replies: Functions that get the replies to own requests, by their id.
    """

    def __init__(
        self, world, node_id, site, members, domain_count=3, transfers=True
    ):
        """Creates an instance.

        Args:
            world: The simulated world.
            node_id: The instance's id.
            site: Its failure domain.
            members: Ids of the instances of each group, by group. A group
                shares the owners of buckets: normally a failure domain.
            domain_count: Number of groups.
            transfers: Whether owners request tokens of other groups.
        """
        self.world = world
        self.node_id = node_id
        self.site = site
        self.ledger = ledger.Ledger(simulation.BOUNDS, domain_count, world.rng)
        self.cache = permits.PermitCache(world.rng, world.now_ms)
        self.owners = ownership.OwnerCandidates()
        self.skipped: dict[str, float] = {}
        self.replies: dict[int, object] = {}
        group = site if domain_count > 1 else 0
        others = {each: ids for each, ids in members.items() if each != group}
        self._asker = simulatedasker.Asker(self)
        self._owner = simulatedowner.Owner(
            self, others, transfers and domain_count > 1
        )
        self._leads_since_ms = world.now_ms
        self._was_stopped = False
        self._ask_ids = itertools.count(1)
        self._frozen_until_ms = 0.0
        self._listed_ids: set[str] = set()
        self._known_ids: set[str] = set()
        self._joined_until_ms: dict[str, float] = {}
        self.lost_ids: set[str] = set()
        self.set_members(members[group])
        self.after(RETURN_PERIOD_MS, self._return_unused)

    @property
    def now_ms(self):
        """The simulated time."""
        return self.world.now_ms

    def next_id(self):
        """Returns the id of the next request."""
        return next(self._ask_ids)

    def set_members(self, instance_ids):
        """Replaces the listed instances of the own group."""
        self._listed_ids = {*instance_ids, self.node_id}
        self._update_owners()

    def set_lost(self, node_id):
        """Records that the link to an instance is lost."""
        self.lost_ids.add(node_id)
        self._update_owners()

    def set_joined(self, node_id):
        """Records an instance that asked for a bucket, maybe not listed yet."""
        self._joined_until_ms[node_id] = self.now_ms + LIST_LAG_MS
        self._update_owners()

    def _update_owners(self):
        joined_ids = {
            each
            for each, until_ms in self._joined_until_ms.items()
            if self.now_ms < until_ms
        }
        self._known_ids = self._listed_ids | joined_ids
        self.lost_ids &= self._known_ids
        if self.owners.set_instances(self._known_ids - self.lost_ids):
            self._leads_since_ms = self.now_ms
            self._was_stopped = False
            self._owner.on_members_changed()

    def is_listed_first(self, team):
        """Returns whether this instance ranks first, also above lost ones."""
        return ownership.ranking(team, self._known_ids)[0] == self.node_id

    def freeze(self, length_ms):
        """Stops the process for a time."""
        self._frozen_until_ms = self.now_ms + length_ms
        self.world.at(self._frozen_until_ms, self._wake, length_ms)

    def _wake(self, length_ms):
        if length_ms > STOP_MS:
            self.ledger.empty(self.now_ms)
            self.cache.clear(self.now_ms)
            self._leads_since_ms = self.now_ms
            self._was_stopped = True

    def lead(self):
        """Returns the time as owner, and whether it began with a stop.

        It counts from any change of the list, not only of the first rank.
        """
        return {
            "led_ms": self.now_ms - self._leads_since_ms,
            "was_stopped": self._was_stopped,
        }

    def neighbour_ids(self):
        """Returns the other known instances of the own group."""
        return sorted(self._known_ids - {self.node_id})

    def run(self, function, *arguments):
        """Calls a function of this instance once the process runs."""
        if self.now_ms < self._frozen_until_ms:
            self.world.at(self._frozen_until_ms, self.run, function, *arguments)
        elif self.world.nodes.get(self.node_id) is self:
            function(*arguments)

    def after(self, delay_ms, function, *arguments):
        """Calls a function of this instance after a delay."""
        self.world.at(self.now_ms + delay_ms, self.run, function, *arguments)

    def limit(self, team):
        """Returns a team's limit."""
        return self.world.limits[team]

    def versioned(self, team):
        """Returns a team's limit as messages carry it."""
        return ratelimitmessage.VersionedLimit(
            version=1, limit=self.limit(team)
        )

    def acquire(self, team, done):
        """Decides on a request; `done` gets the outcome and retry delay."""
        self._asker.acquire(team, done)

    def on_message(self, message):
        """Handles a message."""
        match message:
            case ratelimitmessage.PermitRequest():
                self._owner.on_permit_request(message)
            case ratelimitmessage.TransferRequest():
                self._owner.on_transfer_request(message)
            case ratelimitmessage.HandoverRequest():
                self._owner.on_handover_request(message)
            case ratelimitmessage.RestrictionNotice():
                if message.sender_id in self.owners.of(message.team)[:2]:
                    self.cache.restrict(
                        message.team, message.ask_first_ms, self.now_ms
                    )
            case _ if message.ask_id in self.replies:
                self.replies.pop(message.ask_id)(message)
            case ratelimitmessage.PermitReply():
                self._asker.on_permit_reply(message)
            case ratelimitmessage.TokenReply():
                # Late tokens of a transfer, or those of a replaced owner.
                self.ledger.receive(
                    message.team,
                    self.limit(message.team),
                    message.token_count,
                    self.now_ms,
                )

    def _return_unused(self):
        for team, permit_count in self.cache.take_unused(self.now_ms).items():
            self.send_reply(
                self.owners.of(team)[0],
                ratelimitmessage.TokenReply(
                    sender_id=self.node_id,
                    ask_id=0,
                    team=team,
                    token_count=permit_count,
                ),
            )
        self.after(RETURN_PERIOD_MS, self._return_unused)

    def send_reply(self, target_id, message):
        """Sends a reply, which may be to this instance itself."""
        if target_id == self.node_id:
            self.on_message(message)
        else:
            self.world.send(self, target_id, message)

    def probe(self, team):
        """Returns a request that asks only whether an owner answers."""
        return ratelimitmessage.PermitRequest(
            sender_id=self.node_id,
            sender_address=simulation.address(self.node_id),
            ask_id=self.next_id(),
            team=team,
            limit=self.versioned(team),
            wanted_count=0,
            held_count=self.cache.held_count(team, self.now_ms),
        )

    def request(self, target_id, message, timeout_ms, finish):
        """Sends a message; `finish` gets the reply, or None without one."""
        self.replies[message.ask_id] = finish
        if not self.world.send(self, target_id, message):
            timeout_ms = 0.0

        def expire():
            if self.replies.pop(message.ask_id, None) is not None:
                finish(None)

        self.after(timeout_ms, expire)
