"""Memory of an instance's state by upstreams, members and open queries."""

import subprocess
import sys

from bench.slopes import fit
from hyssoptack.core import member
from hyssoptack.membership import membership
from hyssoptack.planning import example
from hyssoptack.planning import queryplan

UPSTREAM_COUNTS = (1_000, 5_000, 11_000, 22_000)
MEMBER_COUNTS = (100, 400, 1_600, 3_200)
QUERY_COUNTS = (10, 20, 40, 80)


def _upstreams(count: int) -> object:
    service = example.service(count // 3, 3)
    knowledge = example.planning_context(service)
    for upstream_id in service.upstreams:
        knowledge.upstream_health.upstreams[upstream_id].held_versions = (1, 2)
        knowledge.router.paths(service, upstream_id)
    return service, knowledge


def _members(count: int) -> object:
    members = tuple(
        member.Member(
            instance_id=f"i{number}",
            incarnation=f"i{number}-0123abcd",
            failure_domain=f"d{number % 6}",
            peer_address=f"10.0.{number // 256}.{number % 256}:7000",
            operator_address=f"10.0.{number // 256}.{number % 256}:7001",
        )
        for number in range(count)
    )
    return membership.merge_listed(membership.Roster(), members, 1.0)


def _queries(count: int) -> object:
    service = example.service(370, 3)
    knowledge = example.planning_context(service)
    plans = []
    for number in range(count):
        plan = queryplan.QueryPlan(
            example.browsing_query(number=number),
            example.profile(),
            service,
            knowledge,
            0.0,
        )
        plans.append((plan, plan.start(0.0)))
    return plans


_BUILDERS = {"upstreams": _upstreams, "members": _members, "queries": _queries}


def _child(kind: str, count: int) -> None:
    import os

    before = fit.process_memory_mb(os.getpid())
    retained = _BUILDERS[kind](count)
    print(fit.process_memory_mb(os.getpid()) - before)
    del retained


def _megabytes(kind: str, count: int) -> float:
    words = [sys.executable, "-m", "bench.slopes.memory", kind, str(count)]
    done = subprocess.run(words, capture_output=True, text=True, check=True)
    return float(done.stdout)


def main() -> None:
    """Reports the measurements; with arguments, runs a measured process."""
    if len(sys.argv) > 1:
        _child(sys.argv[1], int(sys.argv[2]))
        return
    rows, lines = [], {}
    for kind, counts in (
        ("upstreams", UPSTREAM_COUNTS),
        ("members", MEMBER_COUNTS),
        ("queries", QUERY_COUNTS),
    ):
        values = [_megabytes(kind, count) for count in counts]
        rows += [
            {"of": kind, "count": count, "megabytes": round(value, 2)}
            for count, value in zip(counts, values, strict=True)
        ]
        lines[f"megabytes by {kind}"] = fit.fit_line(list(counts), values)
    fit.report("memory", rows, lines)


if __name__ == "__main__":
    main()
