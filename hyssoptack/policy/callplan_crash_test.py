"""How a request is sent under which upstreams end."""

from hyssoptack.policy import callcommand
from hyssoptack.policy import callplan_test
from hyssoptack.policy import callresult

SHARD_COUNT = 4
COPY_COUNT = 3
NAME = "00c0ffee"
ANSWERED = callcommand.Outcome(
    kind=callcommand.OutcomeKind.ANSWERED, reply=b"records"
)
ENDED = callcommand.Outcome(
    kind=callcommand.OutcomeKind.FAILED,
    reason="connection_closed",
    upstream_exited=True,
    was_only_call=True,
)
BROKEN = callcommand.Outcome(
    kind=callcommand.OutcomeKind.FAILED, reason="connection_reset"
)
CRASHES = callcommand.Fail(reason=callresult.CRASHES_UPSTREAMS, timed_out=False)


class _Sent:
    """One attempt of a query, and the calls of it that are out."""

    def __init__(self, know, name=NAME, single=False, **given):
        target = None if single else callplan_test.shards(SHARD_COUNT, 0.75)
        self.plan = callplan_test.plan(know, target, name=name, **given)
        self.out: dict[int, callcommand.Send] = {}
        self.result = None
        self.count = 0

    def take(self, commands):
        """Carries commands out."""
        for each in commands:
            match each:
                case callcommand.Send():
                    self.out[each.call_id] = each
                    self.count += 1
                case callcommand.Cancel(call_id=call_id):
                    self.out.pop(call_id)
                case callcommand.Finish(result=result):
                    self.result = result

    def start(self, now_ms=0.0):
        """Starts the attempt."""
        self.take(self.plan.start(now_ms))
        return self

    def end(self, outcome, now_ms, count=1):
        """Ends the oldest calls that are out, one after the other."""
        for call_id in list(self.out)[:count]:
            if self.out.pop(call_id, None) is None:
                # Cancelled, as the attempt was over.
                continue
            self.take(self.plan.on_outcome(call_id, outcome, now_ms))


def _know(**given):
    upstreams = [
        callplan_test.upstream(f"u{shard}-{copy}", f"s{shard}")
        for shard in range(SHARD_COUNT)
        for copy in range(COPY_COUNT)
    ]
    return callplan_test.plan_context(*upstreams, **given)


def test_a_query_that_ends_all_its_upstreams_costs_two_more_and_no_third():
    know = _know()
    sent = _Sent(know).start()
    assert len(sent.out) == SHARD_COUNT
    # The others are waited for: one of them may answer.
    sent.end(ENDED, 20.0, SHARD_COUNT - 1)
    assert sent.count == SHARD_COUNT
    sent.end(ENDED, 20.0)
    for now_ms in (40.0, 60.0):
        assert len(sent.out) == 1
        assert all(each.is_probe for each in sent.out.values())
        sent.end(ENDED, now_ms)
    assert sent.result == CRASHES
    assert sent.count == SHARD_COUNT + 2


def test_it_is_refused_from_then_on_at_once_whoever_repeats_it():
    know = _know()
    sent = _Sent(know).start()
    sent.end(ENDED, 20.0, SHARD_COUNT)
    sent.end(ENDED, 40.0)
    sent.end(ENDED, 60.0)
    again = _Sent(know).start(70.0)
    assert (again.count, again.result) == (0, CRASHES)
    other = _Sent(know, name="0ddba11").start(70.0)
    assert other.count == SHARD_COUNT


def test_one_answer_sends_all_the_rest_as_ever():
    know = _know()
    sent = _Sent(know).start()
    sent.end(ENDED, 20.0, SHARD_COUNT)
    assert len(sent.out) == 1
    sent.end(ANSWERED, 30.0)
    assert len(sent.out) == SHARD_COUNT - 1
    assert not any(each.is_probe for each in sent.out.values())
    sent.end(ANSWERED, 40.0, SHARD_COUNT)
    assert len(sent.result.replies) == SHARD_COUNT
    assert not know.suspicions.has_entries


def test_what_is_answered_in_part_is_not_held_up_by_an_end():
    # Most queries that lose an upstream: nothing but the usual retry.
    know = _know()
    sent = _Sent(know).start()
    sent.end(ANSWERED, 10.0)
    sent.end(ENDED, 20.0)
    assert len(sent.out) == SHARD_COUNT - 1
    assert not any(each.is_probe for each in sent.out.values())
    assert not know.suspicions.has_entries


def test_a_broken_connection_is_no_end():
    know = _know()
    sent = _Sent(know).start()
    sent.end(BROKEN, 10.0, SHARD_COUNT)
    assert len(sent.out) == SHARD_COUNT
    assert not know.suspicions.has_entries


def test_a_careful_call_goes_where_least_is_in_hand():
    know = _know()
    _Sent(know).start().end(ENDED, 20.0, SHARD_COUNT)
    for shard in range(SHARD_COUNT):
        for copy in range(COPY_COUNT - 1):
            know.load_balancer.begin_call(f"u{shard}-{copy}", 0.0)
    sent = _Sent(know).start(100.0)
    (only,) = sent.out.values()
    assert only.upstream.upstream_id.endswith(f"-{COPY_COUNT - 1}")


def test_a_careful_call_that_is_late_is_hedged():
    know = _know()
    _Sent(know).start().end(ENDED, 20.0, SHARD_COUNT)
    sent = _Sent(know).start(100.0)
    assert len(sent.out) == 1
    sent.take(sent.plan.on_timeout(sent.plan.next_deadline_ms()))
    assert len(sent.out) == 2
    services = {each.upstream.service for each in sent.out.values()}
    assert len(services) == 1


def test_upstreams_that_end_with_other_calls_beside_convict_nobody():
    # Two requests that lost the same upstreams and were sent on side by side.
    know = _know()
    sent = _Sent(know).start()
    beside = callcommand.Outcome(
        kind=callcommand.OutcomeKind.FAILED,
        reason="connection_closed",
        upstream_exited=True,
    )
    sent.end(beside, 20.0, SHARD_COUNT)
    for step in range(SHARD_COUNT):
        sent.end(beside, 40.0 + step)
    assert sent.result != CRASHES
    assert not know.suspicions.is_quarantined(NAME, 100.0)


def test_requests_that_lost_the_same_upstreams_go_different_ways():
    know = _know()
    names = [f"{number:08x}" for number in range(SHARD_COUNT)]
    first = set()
    for name in names:
        sent = _Sent(know, name=name).start()
        sent.end(ENDED, 20.0, SHARD_COUNT)
        first.update(each.upstream.service for each in sent.out.values())
    assert len(first) == SHARD_COUNT


def test_a_single_request_is_refused_after_three_upstreams():
    for idempotent, attempt_count in ((True, 2), (False, 3)):
        know = callplan_test.plan_context(
            *(callplan_test.upstream(f"u{index}") for index in range(6))
        )
        count = 0
        for attempt in range(attempt_count):
            sent = _Sent(know, single=True, idempotent=idempotent)
            now_ms = 300.0 * attempt
            sent.start(now_ms)
            while sent.out:
                now_ms += 20.0
                sent.end(ENDED, now_ms)
            count += sent.count
        assert count == 3
        assert sent.result == CRASHES
        assert know.suspicions.is_quarantined(NAME, now_ms)


def test_word_from_elsewhere_ends_what_is_out_unless_it_was_answered():
    know = _know()
    sent = _Sent(know).start()
    sent.take(sent.plan.on_quarantined(10.0))
    assert (sent.result, sent.out) == (CRASHES, {})
    answered = _Sent(know, name="0ddba11").start()
    answered.end(ANSWERED, 10.0)
    answered.take(answered.plan.on_quarantined(20.0))
    assert answered.result is None


def test_a_gatherer_that_refuses_it_ends_it():
    know = _know()
    sent = _Sent(know).start()
    refused = callcommand.Outcome(
        kind=callcommand.OutcomeKind.NOT_RUN,
        reason=callresult.CRASHES_UPSTREAMS,
        reached=False,
    )
    sent.end(refused, 10.0)
    assert sent.result == CRASHES


def test_without_budget_for_more_the_query_ends_and_others_are_told():
    know = _know(tokens=0.0)
    sent = _Sent(know).start()
    sent.end(ENDED, 20.0, SHARD_COUNT)
    assert sent.result is not None
    assert [
        each.fingerprint for each in know.suspicions.pop_new_notices(9, 20.0)
    ]


def test_a_careful_request_goes_to_no_upstream_more_than_its_route_allows():
    # Both upstreams that it may be sent to refuse it for want of room: the
    # first is asked again, though it had to wait for its turn.
    know = _know()
    _Sent(know).start().end(ENDED, 20.0, SHARD_COUNT)
    sent = _Sent(know).start(100.0)
    shed = callcommand.Outcome(kind=callcommand.OutcomeKind.SHED)
    asked: dict[str, set[str]] = {}
    for step in range(12):
        for each in sent.out.values():
            asked.setdefault(each.upstream.service, set()).add(
                each.upstream.upstream_id
            )
        sent.end(shed, 110.0 + step)
    assert asked
    assert max(len(each) for each in asked.values()) <= 2
