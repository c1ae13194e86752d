"""Tests of the action coordinator without processes or sockets."""

import asyncio
import types

from hyssoptack.balancing import routing
from hyssoptack.core import action
from hyssoptack.core import clock
from hyssoptack.core import message
from hyssoptack.core import refusal
from hyssoptack.entry import actioncoordinator
from hyssoptack.membership import membership
from hyssoptack.planning import example

EXECUTOR_ID = "plateau-2"
SUSPECT_AFTER_MS = 3_000.0


def _request() -> action.Action:
    return action.Action(
        idempotency_key="key",
        service="service",
        subject="Awa",
        body_text="",
        deadline_ms=1_000,
    )


def _state(service) -> types.SimpleNamespace:
    """Returns a state whose only path to each upstream is another instance."""
    path = routing.RelayPath(
        upstream_id="any", instance_id=EXECUTOR_ID, slot_count=1
    )
    return types.SimpleNamespace(
        settings=types.SimpleNamespace(
            instance_id=example.OWN_ID,
            front=types.SimpleNamespace(max_action_count=1),
        ),
        incarnation=f"{example.OWN_ID}-1",
        catalog=types.SimpleNamespace(services={"service": service}),
        pending_answers=membership.PendingAnswers(),
        router=types.SimpleNamespace(paths=lambda *_: [path]),
        upstream_health=types.SimpleNamespace(is_draining=lambda *_: False),
    )


def test_answer_clears_the_pending_request_of_the_executor():
    """An executor that answered has no request pending.

    Otherwise a busy executor is avoided until its next heartbeat arrives.
    """
    instance_state = _state(example.service(4, 3))
    done = action.Outcome(ran=refusal.Ran.YES, receipt="r")

    async def run() -> action.Outcome:
        def send_to(_instance_id: str, ask: message.ActionAsk) -> bool:
            reply = message.ActionReply(request_id=ask.request_id, outcome=done)
            asyncio.get_running_loop().call_soon(coordinator.on_reply, reply)
            return True

        coordinator = actioncoordinator.ActionCoordinator(
            instance_state, None, None, None, send_to
        )
        return await coordinator.run_action(_request())

    assert asyncio.run(run()) == done
    later_ms = clock.now_ms() + 2 * SUSPECT_AFTER_MS
    assert not instance_state.pending_answers.is_overdue(
        EXECUTOR_ID, SUSPECT_AFTER_MS, later_ms
    )


def _run_action(instance_state, send_to):
    coordinator = actioncoordinator.ActionCoordinator(
        instance_state, None, None, None, send_to
    )

    async def run() -> action.Outcome:
        return await coordinator.run_action(_request())

    return coordinator, run


def test_an_action_whose_service_was_dropped_meanwhile_did_not_run():
    # Guards against "may have run" for an action that nobody has sent.
    instance_state = _state(example.service(4, 3))
    instance_state.catalog.services.clear()
    _, run = _run_action(instance_state, None)
    outcome = asyncio.run(run())
    assert outcome.ran is refusal.Ran.NO
    assert outcome.refused.reason is refusal.Reason.UNKNOWN_SERVICE


def test_an_executor_without_an_address_owes_no_answer():
    # Guards against an executor that is avoided though it got no request.
    instance_state = _state(example.service(4, 3))
    _, run = _run_action(instance_state, lambda *_: False)
    assert asyncio.run(run()).ran is refusal.Ran.NO
    later_ms = clock.now_ms() + 2 * SUSPECT_AFTER_MS
    assert not instance_state.pending_answers.is_overdue(
        EXECUTOR_ID, SUSPECT_AFTER_MS, later_ms
    )


def test_an_executor_that_can_not_be_reached_gets_no_more_work():
    instance_state = _state(example.service(4, 3))

    def send_to(_instance_id: str, ask: message.ActionAsk) -> bool:
        loop = asyncio.get_running_loop()
        loop.call_soon(coordinator.on_undelivered, ask)
        return True

    coordinator, run = _run_action(instance_state, send_to)
    assert asyncio.run(run()).ran is refusal.Ran.NO
    assert instance_state.pending_answers.is_overdue(
        EXECUTOR_ID, SUSPECT_AFTER_MS, clock.now_ms()
    )
