"""Simulates a burst of requests with and without admission, without a network.

Instances with one processor each call upstreams with slots and bounded queues.
Callers of teams retry at another instance when they are refused. The decisions
are those of `admission.controller`; everything else is a simple model.
"""

import collections
import collections.abc
import dataclasses
import heapq
import itertools
import random

from hyssoptack.admission import controller
from hyssoptack.admission import queue
from hyssoptack.admission import refusal
from hyssoptack.standins import admissionload


@dataclasses.dataclass(kw_only=True, eq=False)
class _Attempt:
    request: admissionload.Request
    instance: "_Instance"
    ask: queue.Ask
    tried: list[int] = dataclasses.field(default_factory=list)
    sent_ms: float = 0.0
    shed_count: int = 0
    over: bool = False


class _Upstream:
    """An upstream with slots and a bounded queue."""

    def __init__(self, play: "Play", index: int):
        self._play = play
        self._index = index
        self.running_count = 0
        self.waiting: collections.deque[_Attempt] = collections.deque()

    def call(self, attempt: _Attempt) -> None:
        """Runs, queues or sheds a call."""
        scenario, now_ms = self._play.scenario, self._play.now_ms
        faulty = scenario.slow_from_ms <= now_ms < scenario.slow_to_ms
        shed_ratio = scenario.shed_ratios[self._index] if faulty else 0.0
        if (
            len(self.waiting) >= scenario.queue_count
            or self._play.rng.random() < shed_ratio
        ):
            self._play.after(
                0.5, attempt.instance.on_shed, attempt, self._index
            )
        elif self.running_count < scenario.slot_count:
            self._run(attempt)
        else:
            self.waiting.append(attempt)

    def _run(self, attempt: _Attempt) -> None:
        scenario, now_ms = self._play.scenario, self._play.now_ms
        faulty = scenario.slow_from_ms <= now_ms < scenario.slow_to_ms
        self.running_count += 1
        ratio = scenario.slow_ratios[self._index] if faulty else 1.0
        varying = self._play.rng.expovariate(1.0)
        took_ms = scenario.service_ms * (0.5 + 0.5 * varying) * ratio
        self._play.after(took_ms, self._on_done, attempt)

    def _on_done(self, attempt: _Attempt) -> None:
        self.running_count -= 1
        while self.waiting:
            following = self.waiting.popleft()
            if not following.over:
                self._run(following)
                break
        attempt.instance.on_answered(attempt, self._index)


class _Instance:
    """An instance: processor, admission and choice of upstreams."""

    def __init__(self, play: "Play", number: int):
        self._play = play
        self.number = number
        self._busy_until_ms = 0.0
        self._in_flight = [0] * len(play.scenario.slow_ratios)
        self._call_ms = [play.scenario.service_ms] * len(self._in_flight)
        self._median_ms = play.scenario.service_ms
        self._shed_until_ms = [0.0] * len(self._in_flight)
        self._waiting: dict[int, _Attempt] = {}
        self._first_count = self._extra_count = 0
        self.control = controller.AdmissionController(play.rng, 0.0)
        self.control.instance_count = play.scenario.instance_count
        self.control.set_goal(
            min(each.goal_ms for each in admissionload.KINDS), 1
        )
        self._set_facts()
        self.limits: list[tuple[float, float, float]] = []

    def _set_facts(self) -> None:
        scenario = self._play.scenario
        facts = controller.GroupFacts(
            goal_ms=min(each.goal_ms for each in admissionload.KINDS),
            slot_count=scenario.slot_count * len(scenario.slow_ratios),
            call_ms=self._median_ms,
        )
        self.control.set_facts(admissionload.GROUP, facts, self._play.now_ms)

    def receive(self, request: admissionload.Request) -> None:
        """Reads an attempt when the processor is free."""
        self._then(self._play.scenario.receive_ms, self._submit, request)

    def _then(
        self,
        cost_ms: float,
        function: collections.abc.Callable,
        *arguments: object,
    ) -> None:
        now_ms = self._play.now_ms
        self._busy_until_ms = max(now_ms, self._busy_until_ms) + cost_ms
        self._play.at(self._busy_until_ms, function, *arguments)

    def _submit(self, request: admissionload.Request) -> None:
        now_ms, kind = self._play.now_ms, request.kind
        if request.ended_ms is not None or now_ms > (
            request.began_ms + kind.deadline_ms
        ):
            return
        ask = queue.Ask(
            ask_id=next(self._play.numbers),
            group=admissionload.GROUP,
            route_name=kind.name,
            team_name=request.team,
            team_weight=0.0,
            priority=kind.priority,
            returning=request.try_count > 1,
            goal_ms=kind.goal_ms,
            started_ms=request.began_ms,
            goal_at_ms=request.began_ms + kind.goal_ms - admissionload.TRIP_MS,
            deadline_at_ms=request.began_ms
            + kind.deadline_ms
            - admissionload.TRIP_MS,
        )
        attempt = _Attempt(request=request, instance=self, ask=ask)
        if not self._play.scenario.admits:
            self._send(attempt, "")
            return
        match self.control.submit(ask, now_ms):
            case controller.Admit():
                self._send(attempt, "")
            case controller.Wait():
                self._waiting[ask.ask_id] = attempt
                self._start_waiting()
            case refusal.Refuse() as refused:
                self._refuse(attempt, refused.retry_after_ms)

    def _start_waiting(self) -> None:
        while ask := self.control.next_start(self._play.now_ms):
            self._send(self._waiting.pop(ask.ask_id), "")

    def review(self) -> None:
        """Refuses and starts waiting attempts."""
        for ask, refused in self.control.review(self._play.now_ms):
            self._refuse(self._waiting.pop(ask.ask_id), refused.retry_after_ms)
        self._start_waiting()

    def tick(self) -> None:
        """Measures the delay of the processor and updates the ceiling."""
        now_ms = self._play.now_ms
        delay_ms = max(0.0, self._busy_until_ms - now_ms)
        self.control.record_delay(delay_ms, now_ms)
        limit = self.control.groups()[admissionload.GROUP]
        self.limits.append((now_ms, limit.limit_count, limit.ceiling_count))
        if len(self.limits) % 40 == 0:
            self.control.maintain(now_ms)
            self._set_facts()

    def _send(self, attempt: _Attempt, reason: str) -> None:
        now_ms = self._play.now_ms
        best = min(
            range(len(self._in_flight)),
            key=lambda index: (
                index in attempt.tried,
                self._call_ms[index] * (1.0 + self._in_flight[index])
                + 150.0 * (self._shed_until_ms[index] > now_ms),
            ),
        )
        attempt.tried.append(best)
        attempt.sent_ms = now_ms
        self._in_flight[best] += 1
        if reason:
            self._extra_count += 1
        else:
            self._first_count += 1
            left_ms = attempt.ask.deadline_at_ms - now_ms
            self._play.after(max(0.0, left_ms), self._on_deadline, attempt)
        self._play.upstreams[best].call(attempt)

    def _on_deadline(self, attempt: _Attempt) -> None:
        if not attempt.over:
            self._in_flight[attempt.tried[-1]] -= 1
            self._end(attempt)

    def _end(self, attempt: _Attempt) -> None:
        attempt.over = True
        if self._play.scenario.admits:
            self.control.end(
                attempt.ask.ask_id,
                attempt.shed_count,
                self._median_ms,
                self._play.now_ms,
            )
            self._start_waiting()

    def on_shed(self, attempt: _Attempt, index: int) -> None:
        """Retries a shed call, or refuses the request as not run."""
        if attempt.over:
            return
        now_ms = self._play.now_ms
        self._in_flight[index] -= 1
        self._shed_until_ms[index] = now_ms + 150.0
        slot_count = self._play.scenario.slot_count
        attempt.shed_count += not any(
            other != index
            and self._shed_until_ms[other] <= now_ms
            and self._in_flight[other] < slot_count
            for other in range(len(self._in_flight))
        )
        held = self._play.scenario.admits and self.control.holds_extra_calls(
            admissionload.GROUP
        )
        affordable = (
            self._extra_count
            < admissionload.EXTRA_CALL_RATIO * self._first_count
        )
        if len(attempt.tried) < 2 and affordable and not held:
            self._send(attempt, "shed")
            return
        attempt.request.refused_with_call = True
        self._end(attempt)
        self._refuse(attempt, 100.0 * self._play.rng.uniform(1.0, 1.25))

    def on_answered(self, attempt: _Attempt, index: int) -> None:
        """Sends the answer when the processor is free."""
        if attempt.over:
            return
        attempt.over = True
        self._in_flight[index] -= 1
        elapsed_ms = self._play.now_ms - attempt.sent_ms
        step_ms = 0.05 * self._median_ms
        self._median_ms += step_ms if elapsed_ms > self._median_ms else -step_ms
        self._call_ms[index] += 0.1 * (elapsed_ms - self._call_ms[index])
        self._then(self._play.scenario.serve_ms, self._answer, attempt)

    def _answer(self, attempt: _Attempt) -> None:
        now_ms, request = self._play.now_ms, attempt.request
        self._end(attempt)
        if now_ms <= attempt.ask.deadline_at_ms:
            request.ended_ms = now_ms + admissionload.TRIP_MS / 2

    def _refuse(self, attempt: _Attempt, retry_after_ms: float) -> None:
        now_ms, request = self._play.now_ms, attempt.request
        gain_ms = refusal.RETRY_GAIN_RATIO * request.kind.goal_ms
        back_ms = now_ms + admissionload.TRIP_MS / 2
        if back_ms - request.began_ms > gain_ms:
            request.refused_late = True
        self._play.refusals.append(
            (back_ms - request.began_ms, request.try_count, request)
        )
        left_ms = request.began_ms + request.kind.deadline_ms - back_ms
        if request.try_count >= admissionload.TRY_COUNT or left_ms <= 0:
            return
        self._play.at(
            back_ms + min(retry_after_ms, left_ms / 3),
            self._play.attempt,
            request,
            self.number,
        )


class Play:
    """One run of a scenario.

    Attributes:
        requests: All requests with their outcomes.
        refusals: Time since the caller began, number of the attempt and
            request of each refusal.
    """

    def __init__(self, scenario: admissionload.Scenario):
        self.scenario = scenario
        self.now_ms = 0.0
        self.rng = random.Random(scenario.seed)
        self.numbers = itertools.count(1)
        self._events: list[tuple] = []
        self.requests: list[admissionload.Request] = []
        self.refusals: list[tuple[float, int, admissionload.Request]] = []
        self.upstreams = [
            _Upstream(self, index) for index in range(len(scenario.slow_ratios))
        ]
        self.instances = [
            _Instance(self, number) for number in range(scenario.instance_count)
        ]

    def at(
        self,
        at_ms: float,
        function: collections.abc.Callable,
        *arguments: object,
    ) -> None:
        """Schedules a call."""
        event = at_ms, next(self.numbers), function, arguments
        heapq.heappush(self._events, event)

    def after(
        self,
        wait_ms: float,
        function: collections.abc.Callable,
        *arguments: object,
    ) -> None:
        """Schedules a call after a time."""
        self.at(self.now_ms + wait_ms, function, *arguments)

    def attempt(
        self, request: admissionload.Request, refused_by: int | None
    ) -> None:
        """Sends an attempt; a retry goes to another instance."""
        target = request.first_instance
        if refused_by is not None:
            others = [
                each for each in self.instances if each.number != refused_by
            ]
            target = self.rng.choice(others).number
        request.try_count += 1
        self.after(
            admissionload.TRIP_MS / 2, self.instances[target].receive, request
        )

    def _schedule_load(self) -> None:
        scenario = self.scenario
        for number, (team, rate) in enumerate(
            scenario.team_rates_per_s.items()
        ):
            at_ms = 0.0
            while True:
                in_burst = (
                    scenario.burst_from_ms <= at_ms < scenario.burst_to_ms
                )
                ratio = 1.0 if in_burst else scenario.calm_ratio
                at_ms += self.rng.expovariate(rate * ratio / 1000.0)
                if at_ms >= scenario.end_ms:
                    break
                kind = self.rng.choices(
                    admissionload.KINDS,
                    [each.weight for each in admissionload.KINDS],
                )[0]
                request = admissionload.Request(
                    team=team,
                    kind=kind,
                    began_ms=at_ms,
                    # A team's callers are spread over a few instances.
                    first_instance=(number + self.rng.randrange(3))
                    % scenario.instance_count,
                )
                self.requests.append(request)
                self.at(at_ms, self.attempt, request, None)

    def run(self) -> "Play":
        """Runs until all requests have ended."""
        self._schedule_load()
        at_ms = 0.0
        while at_ms < self.scenario.end_ms + 2_000.0:
            for each in self.instances:
                if self.scenario.admits:
                    self.at(at_ms, each.review)
                    if (
                        at_ms % admissionload.DELAY_PERIOD_MS
                        < admissionload.REVIEW_PERIOD_MS
                    ):
                        self.at(at_ms, each.tick)
            at_ms += admissionload.REVIEW_PERIOD_MS
        while self._events:
            self.now_ms, _, function, arguments = heapq.heappop(self._events)
            function(*arguments)
        return self

    def burst(self) -> list[admissionload.Request]:
        """Returns the requests that began during the burst."""
        scenario = self.scenario
        return [
            each
            for each in self.requests
            if scenario.burst_from_ms <= each.began_ms < scenario.burst_to_ms
        ]
