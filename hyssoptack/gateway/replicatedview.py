"""One instance's copy of the configuration and of the list of upstreams.

The configuration's version never decreases. An upstream that vanishes from the
list around an outage of the store is kept for a grace period, within which it
has to register again (`membership.upstreamlist`).
"""

import collections.abc
import dataclasses

from hyssoptack.balancing import evacuation
from hyssoptack.balancing import loadbalancer
from hyssoptack.core import position
from hyssoptack.core import traffic
from hyssoptack.events import log
from hyssoptack.gateway import pool
from hyssoptack.gateway import viewgate
from hyssoptack.membership import readerelection
from hyssoptack.membership import upstreamlist
from hyssoptack.planning import routetable

LOGGED_TEAM_COUNT = 20
"""Maximum number of ambiguous teams named in one log line: there may be
10,000, and the log buffer holds 256 KB."""


LOGGED_UPSTREAM_COUNT = 50
"""Maximum number of upstreams named in one log line of a restore."""


@dataclasses.dataclass(kw_only=True)
class ReplicatedView:
    """The configuration and upstreams that requests are served from.

    Attributes:
        load_balancer: Load balancer that holds the state of each upstream.
        pools: Connections to the upstreams.
        on_configuration: Called with each new configuration.
        route_table: Routes in force.
        config_applied_ms: Time at which the configuration was applied.
        upstream_list: The list of upstreams, as this instance or a neighbour
            last read it.
        upstreams: Upstreams in use by id.
        evacuations: Failure domains whose upstreams must get no requests.
        gate: Holds requests back while the view is too old to route them.
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
    upstream_list: upstreamlist.UpstreamList = dataclasses.field(
        default_factory=upstreamlist.UpstreamList
    )
    upstreams: dict[str, traffic.Upstream] = dataclasses.field(
        default_factory=dict
    )
    evacuations: evacuation.Evacuations = dataclasses.field(
        default_factory=evacuation.Evacuations
    )
    gate: viewgate.ViewGate = dataclasses.field(
        default_factory=lambda: viewgate.ViewGate(
            readerelection.read_timings(readerelection.BOUND_MAX_MS)
        )
    )
    _evacuated: frozenset[str] = dataclasses.field(
        default=frozenset(), init=False
    )
    keeps_expired_upstreams: bool = True

    @property
    def version(self) -> int:
        """Version of the configuration in force; 0 before there is one."""
        configuration = self.route_table.configuration
        return configuration.version if configuration else 0

    @property
    def list_read_ms(self) -> float:
        """Time at which the list was last read; 0 before the first read."""
        return self.upstream_list.read_ms

    @property
    def list_revision(self) -> int:
        """Store revision of the list."""
        return self.upstream_list.read_at.revision

    @property
    def is_complete(self) -> bool:
        """Whether both the configuration and the list have been read."""
        return self.version > 0 and self.list_read_ms > 0

    def gauge_values(self, now_ms: float) -> dict[str, float]:
        """Returns gauges of what the view holds and how old it is."""
        return {
            "version": self.version,
            "version_age_ms": now_ms - self.config_applied_ms,
            "list_age_ms": now_ms - self.list_read_ms,
            "exact_list_age_ms": self.gate.age_ms(now_ms),
            "list_era": self.upstream_list.read_at.era,
            "list_revision": self.list_revision,
            "withdrawn_count": len(self.upstream_list.withdrawals),
            "held_count": self.gate.held_count,
            "held_ms": self.gate.total_held_ms,
            "upstream_count": len(self.upstreams),
        }

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
        read_at: position.Position,
        now_ms: float,
        read_ms: float | None = None,
    ) -> None:
        """Applies a read of the store, unless the new list is older.

        Args:
            listed: Upstreams by id.
            read_at: Position in the store's history of the read.
            now_ms: The current time.
            read_ms: Time of the read, if it was not now.
        """
        read_ms = now_ms if read_ms is None else read_ms
        in_use_at = self.upstream_list.read_at
        if read_at < in_use_at:
            log.write(
                log.Event.LIST_READ_IGNORED,
                era=read_at.era,
                revision=read_at.revision,
                era_in_use=in_use_at.era,
                revision_in_use=in_use_at.revision,
                list_age_ms=round(now_ms - self.list_read_ms),
            )
            return
        self._replace_list(
            upstreamlist.after_read(
                self.upstream_list, listed, read_at, read_ms
            ),
            "store",
            now_ms,
        )
        self._install(now_ms)

    def merge_list(
        self, offered: upstreamlist.UpstreamList, source: str, now_ms: float
    ) -> None:
        """Merges a neighbour's list into this instance's.

        Args:
            offered: The neighbour's list.
            source: The neighbour, for the log.
            now_ms: The current time.
        """
        before = self.upstreams
        self._replace_list(
            upstreamlist.merge(self.upstream_list, offered), source, now_ms
        )
        if self.upstreams != before:
            self._install(now_ms)

    def _replace_list(
        self, changed: upstreamlist.UpstreamList, source: str, now_ms: float
    ) -> None:
        if not self.keeps_expired_upstreams:
            changed = dataclasses.replace(changed, kept={})
        self._log_restore(changed, source)
        in_use = changed.in_use
        # A notice that changes nothing arrives each second.
        if in_use != self.upstreams or changed.kept:
            self._log_changes(in_use, changed, source, now_ms)
        self.upstream_list = changed
        self.upstreams = in_use

    def _log_restore(
        self, changed: upstreamlist.UpstreamList, source: str
    ) -> None:
        """Logs that the store has returned from an older copy."""
        before = self.upstream_list.read_at
        if before == position.START or changed.read_at.era == before.era:
            return
        log.write(
            log.Event.STORE_RESTORED,
            era_before=before.era,
            revision_before=before.revision,
            era=changed.read_at.era,
            revision=changed.read_at.revision,
            kept=list(changed.kept)[:LOGGED_UPSTREAM_COUNT],
            kept_count=len(changed.kept),
            withdrawn=list(changed.withdrawals)[:LOGGED_UPSTREAM_COUNT],
            withdrawn_count=len(changed.withdrawals),
            source=source,
        )

    def record_store_return(self, lost_ms: float, now_ms: float) -> None:
        """Starts the grace period after an outage in which entries may expire.

        Args:
            lost_ms: Time for which the store did not answer.
            now_ms: The current time.
        """
        self.upstream_list = upstreamlist.after_outage(
            self.upstream_list, lost_ms, now_ms
        )

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
        return max(0.0, self.upstream_list.grace_end_ms - now_ms)

    def expiry_wait_ms(self, now_ms: float) -> float:
        """Returns the time until a kept upstream is dropped, or the grace ends.

        Returns:
            The shorter of the two times; 0 if nothing is kept.
        """
        waits_ms = [
            self.remaining_grace_ms(now_ms),
            *(
                each.until_ms - now_ms
                for each in self.upstream_list.kept.values()
            ),
        ]
        return min((each for each in waits_ms if each > 0), default=0.0)

    def _log_changes(
        self,
        in_use: dict[str, traffic.Upstream],
        changed: upstreamlist.UpstreamList,
        source: str,
        now_ms: float,
    ) -> None:
        added = {
            upstream_id: upstream.service
            for upstream_id, upstream in in_use.items()
            if upstream_id not in self.upstreams
        }
        removed = [each for each in self.upstreams if each not in in_use]
        now_draining = [
            upstream_id
            for upstream_id, upstream in in_use.items()
            if upstream.draining
            and not getattr(self.upstreams.get(upstream_id), "draining", False)
        ]
        newly_kept = [
            each for each in changed.kept if each not in self.upstream_list.kept
        ]
        if added or removed or now_draining or newly_kept:
            log.write(
                log.Event.UPSTREAMS_CHANGED,
                came=added,
                went=removed,
                draining=now_draining,
                newly_kept=newly_kept,
                count=len(in_use),
                kept_count=len(changed.kept),
                withdrawn_count=len(changed.withdrawals),
                era=changed.read_at.era,
                revision=changed.read_at.revision,
                age_ms=round(now_ms - changed.read_ms),
                observed_ms=round(now_ms - changed.observed_since_ms),
                source=source,
            )
