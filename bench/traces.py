"""Records the search times of real upstreams and replays them in simulation.

A trace holds the recorded search times of each upstream. The replay runs the
product's query plans with these times in virtual time, so that its outcome is
deterministic.
"""

import dataclasses
import heapq
import itertools
import json
import pathlib
import sys
import tempfile

from bench import fleet
from bench import measures
from hyssoptack.core import query
from hyssoptack.core import refusal
from hyssoptack.hedging import hedging
from hyssoptack.planning import example
from hyssoptack.planning import querycommand
from hyssoptack.planning import queryplan

FOLDER = fleet.ROOT / "traces"
KEEP_COUNT = 120
QUERY_COUNT = 600
GAP_MS = 16.0
HOP_MS = 3.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Outcome:
    """The results of a replay.

    Attributes:
        answered_count: Answered queries.
        refused_count: Refused queries.
        p50_ms: Median time of the answered queries.
        p99_ms: 99th percentile of the time of the answered queries.
        coverage_mean_ratio: Mean coverage of the answers.
        extra_load_ratio: Extra calls divided by the other calls.
    """

    answered_count: int
    refused_count: int
    p50_ms: float
    p99_ms: float
    coverage_mean_ratio: float
    extra_load_ratio: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Trace:
    """Recorded search times.

    Attributes:
        name: Name of the trace.
        upstream_ms: Search times of each upstream, ordered by shard and
            replica.
    """

    name: str
    upstream_ms: tuple[tuple[float, ...], ...]


def read_trace(name: str) -> Trace:
    """Returns the recorded trace of a name."""
    document = json.loads((FOLDER / f"{name}.json").read_text("utf-8"))
    upstream_ms = tuple(tuple(each) for each in document["upstream_ms"])
    return Trace(name=name, upstream_ms=upstream_ms)


class Replay:
    """A replay of query plans over a trace in virtual time."""

    def __init__(self, trace: Trace, hedges: hedging.HedgePolicy):
        self._service = example.service(len(trace.upstream_ms) // 3, 3)
        self._knowledge = example.planning_context(self._service, hedges)
        self._times = {
            upstream_id: itertools.cycle(times)
            for upstream_id, times in zip(
                self._service.upstreams, trace.upstream_ms, strict=True
            )
        }
        self._sequence = itertools.count()
        self._events: list[tuple] = []
        self._plans: dict[int, queryplan.QueryPlan] = {}
        self._results: list[query.Answer | refusal.Refusal] = []

    def run(self) -> Outcome:
        """Replays all queries and returns the results."""
        for number in range(QUERY_COUNT):
            self._push(number * GAP_MS, "start", number, None)
        while self._events:
            now_ms, _, kind, number, body = heapq.heappop(self._events)
            self._step(now_ms, kind, number, body)
        return self._outcome()

    def _push(self, at_ms: float, kind: str, number: int, body) -> None:
        entry = (at_ms, next(self._sequence), kind, number, body)
        heapq.heappush(self._events, entry)

    def _step(self, now_ms: float, kind: str, number: int, body) -> None:
        if kind == "start":
            plan = queryplan.QueryPlan(
                example.browsing_query(number=number),
                example.profile(),
                self._service,
                self._knowledge,
                now_ms,
            )
            self._plans[number] = plan
            self._execute(plan, number, plan.start(now_ms), now_ms)
            return
        if kind == "reply":
            # Late replies still update the latency of the upstream.
            self._knowledge.upstream_health.record_reply(
                self._service.name, body, now_ms
            )
        plan = self._plans.get(number)
        if plan is None:
            return
        if kind == "reply":
            commands = plan.on_reply(body, now_ms)
        else:
            commands = plan.on_timeout(now_ms)
        self._execute(plan, number, commands, now_ms)

    def _execute(self, plan, number: int, commands, now_ms: float) -> None:
        for command in commands:
            match command:
                case querycommand.Send():
                    took_ms = next(self._times[command.path.upstream_id])
                    reply = example.answer_reply(
                        command, self._service, service_ms=took_ms
                    )
                    at_ms = now_ms + took_ms + HOP_MS
                    self._push(at_ms, "reply", number, reply)
                case querycommand.Finish(result=result):
                    self._results.append(result)
                    del self._plans[number]
                    return
                case _:
                    pass
        self._push(plan.next_deadline_ms(), "time", number, None)

    def _outcome(self) -> Outcome:
        answers = [
            each for each in self._results if isinstance(each, query.Answer)
        ]
        elapsed = sorted(each.elapsed_ms for each in answers)
        calls = sum(each.upstream_call_count for each in answers)
        extra = sum(each.extra_call_count for each in answers)
        coverage = sum(each.coverage_ratio for each in answers)
        return Outcome(
            answered_count=len(answers),
            refused_count=len(self._results) - len(answers),
            p50_ms=elapsed[len(elapsed) // 2],
            p99_ms=elapsed[int(len(elapsed) * 0.99)],
            coverage_mean_ratio=coverage / len(answers),
            extra_load_ratio=extra / (calls - extra),
        )


def _record(name: str, inject) -> None:
    options = fleet.Options(
        services=(measures.SERVICE,),
        service_ms=measures.SERVICE_MS,
        port_shift=measures.PORT_SHIFT,
        hedging="none",
    )
    with (
        tempfile.TemporaryDirectory() as at,
        fleet.Fleet(options, pathlib.Path(at)) as run,
    ):
        if inject:
            inject(run)
        measures.run_load(run, measures.STEADY_PER_S)
        upstream_ms = [
            run.upstream_counters(upstream_id)["taken_ms"][:KEEP_COUNT]
            for upstream_id in run.upstream_ids(measures.SERVICE)
        ]
    # An upstream that was avoided early has few times; the replay repeats them.
    document = {"name": name, "upstream_ms": upstream_ms}
    FOLDER.mkdir(exist_ok=True)
    (FOLDER / f"{name}.json").write_text(json.dumps(document) + "\n")


def main() -> None:
    """Records the traces, or replays them if the argument is `replay`."""
    if sys.argv[1:] == ["replay"]:
        for name in ("healthy", "stragglers"):
            for hedges in (
                hedging.HedgeAfterQuantile(),
                hedging.HedgeAfterDelay(delay_ms=100.0),
                hedging.NoHedge(),
            ):
                outcome = Replay(read_trace(name), hedges).run()
                print(name, type(hedges).__name__, outcome)
        return
    _record("healthy", None)
    _record("stragglers", measures.slow_every_tenth)


if __name__ == "__main__":
    main()
