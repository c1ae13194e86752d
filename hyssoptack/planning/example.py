"""A small example service with its routing state, to run decisions without I/O.

It is meant for embedders who want to see the components at work, for the replay
of traces and for tests.
"""

from hyssoptack.balancing import health
from hyssoptack.balancing import routing
from hyssoptack.budget import budget
from hyssoptack.core import catalog
from hyssoptack.core import keyspace
from hyssoptack.core import member
from hyssoptack.core import message
from hyssoptack.core import query
from hyssoptack.hedging import hedging
from hyssoptack.planning import querycommand
from hyssoptack.planning import queryplan

OWN_ID = "plateau-1"
"""Id of the instance that makes the decisions."""

DOMAINS = ("plateau", "almadies", "pikine")
"""The failure domains of the example."""


def service(
    shard_count: int, replica_count: int, name: str = "oven-kiosk"
) -> catalog.Service:
    """Returns a service of equal shards with replicas in some domains.

    Args:
        shard_count: Number of shards.
        replica_count: Number of replicas of each shard, each in its own domain.
        name: The name of the service.
    """
    size = keyspace.KEYSPACE_SIZE_COUNT
    upstreams: dict[str, catalog.Upstream] = {}
    shards = []
    for number in range(shard_count):
        ids = []
        for domain in DOMAINS[:replica_count]:
            upstream_id = f"{name}-{number:03d}-{domain}"
            ids.append(upstream_id)
            upstreams[upstream_id] = catalog.Upstream(
                upstream_id=upstream_id,
                failure_domain=domain,
                address="127.0.0.1:1",
                slot_count=3,
                connection_limit_count=30,
                connect_cost_ms=6.0,
            )
        key_range = keyspace.KeyRange(
            size * number // shard_count, size * (number + 1) // shard_count
        )
        shards.append(
            catalog.Shard(
                shard_id=f"{name}-{number:03d}",
                key_range=key_range,
                upstream_ids=tuple(ids),
            )
        )
    return catalog.Service(
        name=name,
        team="Association",
        profile="dawn",
        accepts_actions=False,
        action_retention_ms=60_000,
        shards=tuple(shards),
        upstreams=upstreams,
    )


def profile(**changed: float) -> catalog.Profile:
    """Returns a profile with defaults for the fields that are not given."""
    fields: dict[str, float] = {
        "deadline_ms": 400,
        "coverage_floor_ratio": 0.5,
        "extra_load_ceiling_ratio": 0.05,
        **changed,
    }
    return catalog.Profile(name="dawn", **fields)


def planning_context(
    current: catalog.Service,
    hedges: hedging.HedgePolicy | None = None,
) -> queryplan.QueryPlanContext:
    """Returns the context of query plans on an instance that made no calls.

    Args:
        current: The service.
        hedges: The hedge policy; by default `HedgeAfterQuantile`.
    """
    upstream_health = health.HealthTracker()
    router = routing.Router(OWN_ID, upstream_health)
    members = {
        f"{domain}-{number}": member.Member(
            instance_id=f"{domain}-{number}",
            incarnation=f"{domain}-{number}-a",
            failure_domain=domain,
            peer_address="127.0.0.1:1",
            operator_address="127.0.0.1:1",
        )
        for domain in DOMAINS
        for number in (1, 2, 3)
    }
    router.set_view(
        routing.RoutingView(
            catalog=catalog.Catalog(
                revision=1,
                profiles={"dawn": profile()},
                services={current.name: current},
            ),
            recently_seen={
                domain: tuple(f"{domain}-{number}" for number in (1, 2, 3))
                for domain in DOMAINS
            },
            usable=members,
            owner_count=3,
            column_size_count=40,
        )
    )
    services = {current.name: current}
    return queryplan.QueryPlanContext(
        router=router,
        upstream_health=upstream_health,
        extra_call_budgets=budget.ServiceBudgets(),
        hedge_policy=hedges or hedging.HedgeAfterQuantile(),
        current_service=services.get,
    )


def browsing_query(
    service_name: str = "oven-kiosk", number: int = 1
) -> query.Query:
    """Returns a browsing query with the profile's deadline."""
    return query.Query(
        query_id=f"q{number}",
        service=service_name,
        text="baguette",
        limit_count=10,
        urgency=query.Urgency.BROWSING,
        deadline_ms=400,
    )


def answer_reply(
    ask: querycommand.Send,
    current: catalog.Service,
    version: int = 1,
    held_versions: tuple[int, ...] = (1,),
    service_ms: float = 5.0,
) -> message.UpstreamReply:
    """Returns the complete answer of an upstream to a call."""
    shard = next(
        each
        for each in current.shards
        if ask.path.upstream_id in each.upstream_ids
    )
    hit = query.Hit(shard.key_range.low, 1.0, f"{shard.shard_id} [v{version}]")
    return message.UpstreamReply(
        call_id=ask.call_id,
        upstream_id=ask.path.upstream_id,
        status=message.CallStatus.ANSWERED,
        index_version=version,
        held_versions=held_versions,
        key_range=shard.key_range,
        hits=(hit,),
        service_ms=service_ms,
        reached_upstream=True,
    )


def failure_reply(
    ask: querycommand.Send,
    status: message.CallStatus,
    held_versions: tuple[int, ...] = (),
    reached: bool = True,
) -> message.UpstreamReply:
    """Returns a reply that reports a failed call."""
    return message.UpstreamReply(
        call_id=ask.call_id,
        upstream_id=ask.path.upstream_id,
        status=status,
        held_versions=held_versions,
        reached_upstream=reached,
        service_ms=5.0,
    )
