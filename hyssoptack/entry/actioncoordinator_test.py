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
