"""Tests call plans of requests that crash the upstreams that run them."""

from hyssoptack.planning import callcommand
from hyssoptack.planning import callplan_test
from hyssoptack.planning import callresult

SHARD_COUNT = 4
COPY_COUNT = 3
FINGERPRINT = "00c0ffee"
ANSWERED = callcommand.Outcome(
    kind=callcommand.OutcomeKind.ANSWERED, reply=b"records"
)
EXITED = callcommand.Outcome(
    kind=callcommand.OutcomeKind.FAILED,
    reason="connection_closed",
    upstream_exited=True,
    was_only_call=True,
)
RESET = callcommand.Outcome(
    kind=callcommand.OutcomeKind.FAILED, reason="connection_reset"
)
CRASHES = callcommand.Fail(reason=callresult.CRASHES_UPSTREAMS, timed_out=False)


class _RequestRun:
    """One run of a request.

    Attributes:
        plan: The plan of the request.
        open_calls: The open calls, by call ID.
        result: The result; None until the request has ended.
        sent_count: Number of calls sent so far.
    """

    def __init__(self, context, name=FINGERPRINT, single=False, **given):
        target = None if single else callplan_test.shards(SHARD_COUNT, 0.75)
        self.plan = callplan_test.plan(context, target, name=name, **given)
        self.open_calls: dict[int, callcommand.Send] = {}
        self.result = None
        self.sent_count = 0

    def execute(self, commands):
        """Applies commands to the open calls, the count and the result."""
        for each in commands:
            match each:
                case callcommand.Send():
                    self.open_calls[each.call_id] = each
                    self.sent_count += 1
                case callcommand.Cancel(call_id=call_id):
                    self.open_calls.pop(call_id)
                case callcommand.Finish(result=result):
                    self.result = result

    def start(self, now_ms=0.0):
        """Starts the run."""
        self.execute(self.plan.start(now_ms))
        return self

    def end_calls(self, outcome, now_ms, count=1):
        """Ends the oldest open calls with an outcome, one after the other."""
        for call_id in list(self.open_calls)[:count]:
            if self.open_calls.pop(call_id, None) is None:
                # The call was cancelled because the request ended.
                continue
            self.execute(self.plan.on_outcome(call_id, outcome, now_ms))


def _plan_context(**given):
    upstreams = [
        callplan_test.upstream(f"u{shard}-{copy}", f"s{shard}")
        for shard in range(SHARD_COUNT)
        for copy in range(COPY_COUNT)
    ]
    return callplan_test.plan_context(*upstreams, **given)


def test_a_query_that_crashes_all_its_upstreams_gets_only_two_probes():
    context = _plan_context()
    run = _RequestRun(context).start()
    assert len(run.open_calls) == SHARD_COUNT
    # The last call is waited for, since it may be answered.
    run.end_calls(EXITED, 20.0, SHARD_COUNT - 1)
    assert run.sent_count == SHARD_COUNT
    run.end_calls(EXITED, 20.0)
    for now_ms in (40.0, 60.0):
        assert len(run.open_calls) == 1
        assert all(each.is_probe for each in run.open_calls.values())
        run.end_calls(EXITED, now_ms)
    assert run.result == CRASHES
    assert run.sent_count == SHARD_COUNT + 2


def test_repeats_of_a_quarantined_query_are_rejected_at_once():
    context = _plan_context()
    run = _RequestRun(context).start()
    run.end_calls(EXITED, 20.0, SHARD_COUNT)
    run.end_calls(EXITED, 40.0)
    run.end_calls(EXITED, 60.0)
    repeated = _RequestRun(context).start(70.0)
    assert (repeated.sent_count, repeated.result) == (0, CRASHES)
    other = _RequestRun(context, name="0ddba11").start(70.0)
    assert other.sent_count == SHARD_COUNT


def test_an_answered_probe_releases_all_other_parts():
    context = _plan_context()
    run = _RequestRun(context).start()
    run.end_calls(EXITED, 20.0, SHARD_COUNT)
    assert len(run.open_calls) == 1
    run.end_calls(ANSWERED, 30.0)
    assert len(run.open_calls) == SHARD_COUNT - 1
    assert not any(each.is_probe for each in run.open_calls.values())
    run.end_calls(ANSWERED, 40.0, SHARD_COUNT)
    assert len(run.result.replies) == SHARD_COUNT
    assert not context.suspect_registry.has_entries


def test_a_partly_answered_query_is_retried_normally_after_a_crash():
    # The usual case of a query that loses an upstream: a retry, no probe.
    context = _plan_context()
    run = _RequestRun(context).start()
    run.end_calls(ANSWERED, 10.0)
    run.end_calls(EXITED, 20.0)
    assert len(run.open_calls) == SHARD_COUNT - 1
    assert not any(each.is_probe for each in run.open_calls.values())
    assert not context.suspect_registry.has_entries


def test_a_connection_reset_does_not_count_as_a_crash():
    context = _plan_context()
    run = _RequestRun(context).start()
    run.end_calls(RESET, 10.0, SHARD_COUNT)
    assert len(run.open_calls) == SHARD_COUNT
    assert not context.suspect_registry.has_entries


def test_a_probe_goes_to_the_upstream_with_the_fewest_open_calls():
    context = _plan_context()
    _RequestRun(context).start().end_calls(EXITED, 20.0, SHARD_COUNT)
    for shard in range(SHARD_COUNT):
        for copy in range(COPY_COUNT - 1):
            context.load_balancer.begin_call(f"u{shard}-{copy}", 0.0)
    run = _RequestRun(context).start(100.0)
    (probe,) = run.open_calls.values()
    assert probe.upstream.upstream_id.endswith(f"-{COPY_COUNT - 1}")


def test_a_late_probe_is_hedged():
    context = _plan_context()
    _RequestRun(context).start().end_calls(EXITED, 20.0, SHARD_COUNT)
    run = _RequestRun(context).start(100.0)
    assert len(run.open_calls) == 1
    run.execute(run.plan.on_timeout(run.plan.next_deadline_ms()))
    assert len(run.open_calls) == 2
    services = {each.upstream.service for each in run.open_calls.values()}
    assert len(services) == 1


def test_crashes_with_other_calls_open_quarantine_no_request():
    # Two requests that were in flight at the same crash are both retried on the
    # same other upstreams, so either may have caused the further crashes.
    context = _plan_context()
    run = _RequestRun(context).start()
    exited_with_other_calls = callcommand.Outcome(
        kind=callcommand.OutcomeKind.FAILED,
        reason="connection_closed",
        upstream_exited=True,
    )
    run.end_calls(exited_with_other_calls, 20.0, SHARD_COUNT)
    for step in range(SHARD_COUNT):
        run.end_calls(exited_with_other_calls, 40.0 + step)
    assert run.result != CRASHES
    assert not context.suspect_registry.is_quarantined(FINGERPRINT, 100.0)


def test_requests_that_lost_the_same_upstreams_probe_different_shards():
    context = _plan_context()
    fingerprints = [f"{number:08x}" for number in range(SHARD_COUNT)]
    first = set()
    for name in fingerprints:
        run = _RequestRun(context, name=name).start()
        run.end_calls(EXITED, 20.0, SHARD_COUNT)
        first.update(each.upstream.service for each in run.open_calls.values())
    assert len(first) == SHARD_COUNT


def test_a_single_request_is_rejected_after_three_crashes():
    for idempotent, attempt_count in ((True, 2), (False, 3)):
        context = callplan_test.plan_context(
            *(callplan_test.upstream(f"u{index}") for index in range(6))
        )
        count = 0
        for attempt in range(attempt_count):
            run = _RequestRun(context, single=True, idempotent=idempotent)
            now_ms = 300.0 * attempt
            run.start(now_ms)
            while run.open_calls:
                now_ms += 20.0
                run.end_calls(EXITED, now_ms)
            count += run.sent_count
        assert count == 3
        assert run.result == CRASHES
        assert context.suspect_registry.is_quarantined(FINGERPRINT, now_ms)


def test_a_quarantine_notice_ends_a_request_without_answers():
    context = _plan_context()
    run = _RequestRun(context).start()
    run.execute(run.plan.on_quarantined(10.0))
    assert (run.result, run.open_calls) == (CRASHES, {})
    answered = _RequestRun(context, name="0ddba11").start()
    answered.end_calls(ANSWERED, 10.0)
    answered.execute(answered.plan.on_quarantined(20.0))
    assert answered.result is None


def test_a_rejection_by_a_gatherer_ends_the_request():
    context = _plan_context()
    run = _RequestRun(context).start()
    refused = callcommand.Outcome(
        kind=callcommand.OutcomeKind.NOT_RUN,
        reason=callresult.CRASHES_UPSTREAMS,
        reached=False,
    )
    run.end_calls(refused, 10.0)
    assert run.result == CRASHES


def test_a_query_without_budget_for_probes_ends_and_is_gossiped():
    context = _plan_context(tokens=0.0)
    run = _RequestRun(context).start()
    run.end_calls(EXITED, 20.0, SHARD_COUNT)
    assert run.result is not None
    assert [
        each.fingerprint
        for each in context.suspect_registry.pop_new_notices(9, 20.0)
    ]


def test_a_probed_request_stays_within_its_routes_attempt_limit():
    # Both upstreams that the route allows shed the request. The first one is
    # called again, although that call was queued behind the probe.
    context = _plan_context()
    _RequestRun(context).start().end_calls(EXITED, 20.0, SHARD_COUNT)
    run = _RequestRun(context).start(100.0)
    shed = callcommand.Outcome(kind=callcommand.OutcomeKind.SHED)
    called_upstream_ids: dict[str, set[str]] = {}
    for step in range(12):
        for each in run.open_calls.values():
            called_upstream_ids.setdefault(each.upstream.service, set()).add(
                each.upstream.upstream_id
            )
        run.end_calls(shed, 110.0 + step)
    assert called_upstream_ids
    assert max(len(each) for each in called_upstream_ids.values()) <= 2
