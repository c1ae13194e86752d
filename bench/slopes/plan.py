"""Processor time of a query plan, without I/O, by number of upstreams."""

import gc
import statistics

from bench.slopes import fit
from hyssoptack.planning import example
from hyssoptack.planning import querycommand
from hyssoptack.planning import queryplan

SIZES = (30, 90, 185, 370)
ROUNDS = 41


def _one_query(current, knowledge, number: int) -> float:
    """Runs a query; returns the processor time of its plan in ms."""
    with fit.Stopwatch() as first:
        plan = queryplan.QueryPlan(
            example.browsing_query(number=number),
            example.profile(),
            current,
            knowledge,
            0.0,
        )
        commands = plan.start(0.0)
    sends = [each for each in commands if isinstance(each, querycommand.Send)]
    replies = [example.answer_reply(send, current) for send in sends]
    with fit.Stopwatch() as second:
        for reply in replies:
            knowledge.upstream_health.record_reply(current.name, reply, 1.0)
            commands = plan.on_reply(reply, 1.0)
            plan.next_deadline_ms()
    assert isinstance(commands[-1], querycommand.Finish)
    return first.cpu_ms + second.cpu_ms


def main() -> None:
    """Measures each number of upstreams and reports the times."""
    rows, cpus = [], []
    for size in SIZES:
        current = example.service(size, 3)
        knowledge = example.planning_context(current)
        _one_query(current, knowledge, 0)
        gc.collect()
        # The median, because the speed of the machine varies.
        cpu_ms = statistics.median(
            _one_query(current, knowledge, number) for number in range(ROUNDS)
        )
        cpus.append(cpu_ms)
        rows.append(
            {
                "upstreams": size,
                "cpu_ms_a_query": round(cpu_ms, 3),
                "cpu_us_an_upstream": round(cpu_ms * 1000 / size, 1),
            }
        )
    lines = {"cpu ms a query": fit.fit_line(list(SIZES), cpus)}
    fit.report("plan", rows, lines)


if __name__ == "__main__":
    main()
