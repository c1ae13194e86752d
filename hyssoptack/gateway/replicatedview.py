"""One instance's copy of the configuration and of the list of upstreams.

The configuration's version never decreases. An upstream that vanishes from the
list around an outage of the store is kept for a grace period, within which it
has to register again.
"""

import collections.abc
import dataclasses

from hyssoptack.balancing import evacuation
from hyssoptack.balancing import loadbalancer
from hyssoptack.core import position
from hyssoptack.core import traffic
from hyssoptack.events import log
from hyssoptack.gateway import pool
from hyssoptack.planning import routetable

REREGISTRATION_GRACE_MS = 2_000.0
"""Time within which a running upstream registers again after the store's
return (specified); an upstream that is missing for longer is gone."""

EXTENSION_MIN_MS = 1_000.0
"""Length from which another outage within the grace period extends it.
Upstreams register about every 1.2 s, so a shorter one leaves them time."""

LOGGED_TEAM_COUNT = 20
"""Maximum number of ambiguous teams named in one log line: there may be
10,000, and the log buffer holds 256 KB."""


@dataclasses.dataclass(kw_only=True)
class ReplicatedView:
    """The configuration and upstreams that requests are served from.

    Attributes:
        load_balancer: Load balancer that holds the state of each upstream.
        pools: Connections to the upstreams.
        on_configuration: Called with each new configuration.
        route_table: Routes in force.
        config_applied_ms: Time at which the configuration was applied.
        list_read_ms: Time at which this instance or a neighbour last read the
            list of upstreams.
        list_revision: Store revision of the list.
        upstreams: Listed upstreams by id.
        evacuations: Failure domains whose upstreams must get no requests.
        store_recovered_ms: Time at which the store last returned from an
            outage long enough for entries to expire.
        keeps_expired_upstreams: Whether entries that expired in an outage are
            kept for the grace period.
    """

    load_balancer: loadbalancer.LoadBalancer
    pools: pool.Pools
    on_configuration: collections.abc.Callable[[traffic.Configuration], None]
    route_table: routetable.RouteTable = dataclasses.field(
        default_factory=lambda: routetable.RouteTable(None)
    )
    config_applied_ms: float = 0.0
    list_read_ms: float = 0.0
    list_revision: int = 0
    upstreams: dict[str, traffic.Upstream] = dataclasses.field(
        default_factory=dict
    )
    evacuations: evacuation.Evacuations = dataclasses.field(
        default_factory=evacuation.Evacuations
    )
    store_recovered_ms: float = float("-inf")
    _evacuated: frozenset[str] = dataclasses.field(
        default=frozenset(), init=False
    )
    keeps_expired_upstreams: bool = True
    _kept_until_ms: dict[str, float] = dataclasses.field(
        default_factory=dict, init=False
    )

    @property
    def version(self) -> int:
        """Version of the configuration in force; 0 before there is one."""
        configuration = self.route_table.configuration
        return configuration.version if configuration else 0

    @property
    def is_complete(self) -> bool:
        """Whether both the configuration and the list have been read."""
        return self.version > 0 and self.list_read_ms > 0

    def apply_configuration(
        self, offered: traffic.Configuration, source: str, now_ms: float
    ) -> bool:
        """Applies a configuration if its version is newer.

        Args:
            offered: The configuration.
            source: Where it came from, for the log.
            now_ms: The current time.

        Returns:
            Whether it was applied.
        """
        before = self.version
        if offered.version <= before:
            if offered.version < before:
                log.write(
                    log.Event.CONFIG_OLDER,
                    offered=offered.version,
                    in_force=before,
                    source=source,
                )
            return False
        self.route_table = routetable.RouteTable(offered)
        self.config_applied_ms = now_ms
        self.on_configuration(offered)
        log.write(
            log.Event.CONFIG_IN_FORCE,
            revision=offered.version,
            before=before,
            source=source,
            route_count=len(offered.routes),
        )
        directory = offered.team_directory
        if directory is not None and directory.ambiguous_names:
            log.write(
                log.Event.TEAMS_AMBIGUOUS,
                revision=offered.version,
                count=len(directory.ambiguous_names),
                teams=directory.ambiguous_names[:LOGGED_TEAM_COUNT],
            )
        return True

    def apply_list(
        self,
        listed: dict[str, traffic.Upstream],
        revision: int,
        now_ms: float,
        read_ms: float | None = None,
        source: str = "store",
    ) -> None:
        """Replaces the list of upstreams, unless the new one is older.

        Args:
            listed: Upstreams by id.
            revision: Store revision at which the list was read.
            now_ms: The current time.
            read_ms: Time of the read, if it was not now.
            source: Where the list came from, for the log.
        """
        if revision < self.list_revision:
            return
        kept = self._expired_upstreams(listed, now_ms) | listed
        read_ms = now_ms if read_ms is None else read_ms
        self._log_changes(kept, revision, now_ms - read_ms, source)
        self.upstreams = kept
        self.confirm_list(revision, read_ms)
        self._install(now_ms)

    def _expired_upstreams(
        self, listed: dict[str, traffic.Upstream], now_ms: float
    ) -> dict[str, traffic.Upstream]:
        """Returns the upstreams to keep although they are not listed.

        A missing entry may merely have expired in an outage of the store. That
        holds for a neighbour's list too: the neighbour may have just started.
        """
        if not self.keeps_expired_upstreams:
            return {}
        missing = _unreplaced(self.upstreams, listed)
        ends_ms = self.store_recovered_ms + REREGISTRATION_GRACE_MS
        self._kept_until_ms = {
            upstream_id: until_ms
            for upstream_id in missing
            if (until_ms := self._kept_until_ms.get(upstream_id, ends_ms))
            > now_ms
        }
        return {each: missing[each] for each in self._kept_until_ms}

    def record_store_return(self, lost_ms: float, now_ms: float) -> None:
        """Starts the grace period after an outage in which entries may expire.

        An upstream that an earlier grace period keeps does not get another
        whole one: it could register again while the store answered in between.

        Args:
            lost_ms: Time for which the store did not answer.
            now_ms: The current time.
        """
        self.store_recovered_ms = now_ms
        if lost_ms < EXTENSION_MIN_MS:
            return
        self._kept_until_ms = {
            upstream_id: until_ms + lost_ms
            for upstream_id, until_ms in self._kept_until_ms.items()
        }

    def _install(
        self, now_ms: float, returning: frozenset[str] = frozenset()
    ) -> None:
        """Hands the upstreams outside evacuated domains to the load balancer.

        Args:
            now_ms: The current time.
            returning: Failure domains that were evacuated until now.
        """
        usable = {
            upstream_id: upstream
            for upstream_id, upstream in self.upstreams.items()
            if upstream.failure_domain not in self._evacuated
        }
        self.load_balancer.set_upstreams(usable, now_ms, returning)
        self.pools.keep_only(
            {
                upstream_id
                for upstream_id, upstream in usable.items()
                if not upstream.draining
            }
        )

    def apply_evacuations(self, source: str, now_ms: float) -> bool:
        """Applies the current evacuations; returns whether they changed."""
        current = self.evacuations.evacuated_domains(now_ms)
        if current == self._evacuated:
            return False
        log.write(
            log.Event.EVACUATIONS_CHANGED,
            began=sorted(current - self._evacuated),
            ended=sorted(self._evacuated - current),
            era=self.evacuations.store_position.era,
            revision=self.evacuations.store_position.revision,
            source=source,
        )
        ended, self._evacuated = self._evacuated - current, current
        self._install(now_ms, ended)
        return True

    def replace_evacuations(
        self,
        domains: frozenset[str],
        store_position: position.Position,
        source: str,
        now_ms: float,
    ) -> bool:
        """Replaces all evacuations; returns whether any changed."""
        self.evacuations.replace_all(domains, store_position, now_ms)
        return self.apply_evacuations(source, now_ms)

    def remaining_grace_ms(self, now_ms: float) -> float:
        """Returns the rest of the grace period for expired upstreams."""
        if not self.keeps_expired_upstreams:
            return 0.0
        return max(
            0.0, self.store_recovered_ms + REREGISTRATION_GRACE_MS - now_ms
        )

    def expiry_wait_ms(self, now_ms: float) -> float:
        """Returns the time until a kept upstream is dropped, or the grace ends.

        Returns:
            The shorter of the two times; 0 if nothing is kept.
        """
        waits_ms = [
            self.remaining_grace_ms(now_ms),
            *(each - now_ms for each in self._kept_until_ms.values()),
        ]
        return min((each for each in waits_ms if each > 0), default=0.0)

    def extend_grace(self, grace_ms: float, now_ms: float) -> None:
        """Extends the grace period to a neighbour's.

        The neighbour's list still holds expired upstreams, which may return.
        """
        if grace_ms > 0:
            back_ms = (
                now_ms
                + min(REREGISTRATION_GRACE_MS, grace_ms)
                - REREGISTRATION_GRACE_MS
            )
            self.store_recovered_ms = max(self.store_recovered_ms, back_ms)

    def confirm_list(self, revision: int, read_ms: float) -> None:
        """Records the list's revision, and the time of its read if it is later.

        A neighbour's notice of another change carries its old list along, which
        must not make this instance's list younger.
        """
        self.list_revision = revision
        self.list_read_ms = max(self.list_read_ms, read_ms)

    def _log_changes(
        self,
        kept: dict[str, traffic.Upstream],
        revision: int,
        age_ms: float,
        source: str,
    ) -> None:
        added = {
            upstream_id: upstream.service
            for upstream_id, upstream in kept.items()
            if upstream_id not in self.upstreams
        }
        removed = [each for each in self.upstreams if each not in kept]
        now_draining = [
            upstream_id
            for upstream_id, upstream in kept.items()
            if upstream.draining
            and not getattr(self.upstreams.get(upstream_id), "draining", False)
        ]
        if added or removed or now_draining:
            log.write(
                log.Event.UPSTREAMS_CHANGED,
                came=added,
                went=removed,
                draining=now_draining,
                count=len(kept),
                kept_count=len(self._kept_until_ms),
                revision=revision,
                age_ms=round(age_ms),
                source=source,
            )


def _unreplaced(
    before: dict[str, traffic.Upstream], listed: dict[str, traffic.Upstream]
) -> dict[str, traffic.Upstream]:
    """Returns the upstreams whose expected id no listed upstream has."""
    expected_ids = {each.expected_id for each in listed.values()}
    return {
        upstream_id: upstream
        for upstream_id, upstream in before.items()
        if upstream.expected_id not in expected_ids
    }
