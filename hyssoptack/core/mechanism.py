"""Which of an instance's mechanisms are at work: all, but in experiments.

Each can be switched off alone, to measure what it is worth under a load
(`docs/DECISIONS.md`). No deployment does so.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class Mechanisms:
    """Switches, one a mechanism.

    Attributes:
        answer_at_goal: At the goal, a query is answered without the parts that
            are missing, where its floor is met.
        caller_time: Goals count from what callers have spent.
        cold_starts: Upstreams that started lately are taken for slower.
        comeback_by_cause: A refusal's cause says when to come back.
        crossing_price: A call into another failure domain must gain something.
        cut_belief: A failure domain that is cut off is noticed.
        dry_hedges: Missing parts are hedged once answers dry up.
        ejection: An upstream that takes no connection is left alone.
        grace: Entries that lapsed in an outage of the store are kept a while.
        handing_over: Queries go to neighbours with wider links.
        hedges: Calls that take long are sent once more.
        relaying: Calls into other failure domains are made by instances there.
        resends: An upstream that refused is asked again where there is none
            else.
        shed_quiet: An upstream that refused for want of room is left alone.
        slowness: Upstreams are chosen by how slow they were.
        suspicion: Requests that crash upstreams are refused.
        told_calls: Neighbours tell each other of slow upstreams.
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
