"""Feature switches of an instance; all are on except in experiments.

Each mechanism can be switched off alone, so that its benefit under load can be
measured (`docs/DECISIONS.md`). Deployments leave all of them on.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class Mechanisms:
    """Switches, one for each mechanism.

    Attributes:
        answer_at_goal: At its latency goal, a query whose coverage floor is met
            is answered without the missing parts.
        caller_time: Latency goals include the time that callers have already
            spent.
        cold_starts: Upstreams that started recently are expected to be slower.
        comeback_by_cause: The retry delay of a refusal depends on its cause.
        crossing_price: Load balancing adds a cost to calls into other failure
            domains.
        cut_belief: The instance detects that its failure domain is partitioned
            from the others.
        dry_hedges: Missing parts are hedged once no more answers arrive.
        ejection: Upstreams that do not accept connections are ejected for a
            time.
        grace: Upstreams whose entries expired in an outage of the store are
            kept for a time.
        handing_over: Queries are delegated to neighbours with faster links.
        hedges: Slow calls are hedged.
        relaying: Calls into other failure domains are made by instances there.
        resends: A call is sent again to an upstream that shed it if there is no
            other upstream.
        shed_quiet: Upstreams that shed a call are avoided for a time.
        slowness: Load balancing uses the recent latency of upstreams.
        suspicion: Requests that crash upstreams are refused.
        told_calls: Instances of a failure domain report slow upstreams to each
            other.
    """

    answer_at_goal: bool = True
    caller_time: bool = True
    cold_starts: bool = True
    comeback_by_cause: bool = True
    crossing_price: bool = True
    cut_belief: bool = True
    dry_hedges: bool = True
    ejection: bool = True
    grace: bool = True
    handing_over: bool = True
    hedges: bool = True
    relaying: bool = True
    resends: bool = True
    shed_quiet: bool = True
    slowness: bool = True
    suspicion: bool = True
    told_calls: bool = True


ALL_ENABLED = Mechanisms()
NAMES = tuple(field.name for field in dataclasses.fields(Mechanisms))
