"""Tests of the front's side of actions, without processes or sockets."""

import asyncio
import types

from hyssoptack.core import action
from hyssoptack.core import clock
from hyssoptack.core import message
from hyssoptack.core import refusal
from hyssoptack.entry import actioncoordinator
from hyssoptack.policy import example
from hyssoptack.policy import membership
from hyssoptack.policy import routing

EXECUTOR_ID = "plateau-2"
SUSPECT_AFTER_MS = 3_000.0


def _asked() -> action.Action:
    return action.Action(
        idempotency_key="key",
        service="service",
        subject="Awa",
        body_text="",
        deadline_ms=1_000,
    )


def _state(current) -> types.SimpleNamespace:
    """Returns a state whose only way to each upstream is another instance."""
    lane = routing.RelayPath(
        upstream_id="any", instance_id=EXECUTOR_ID, slot_count=1
    )
    return types.SimpleNamespace(
        settings=types.SimpleNamespace(
            instance_id=example.OWN_ID,
            front=types.SimpleNamespace(max_action_count=1),
        ),
        incarnation=f"{example.OWN_ID}-1",
        catalog=types.SimpleNamespace(services={"service": current}),
        pending_answers=membership.PendingAnswers(),
        router=types.SimpleNamespace(paths=lambda *_: [lane]),
        upstream_health=types.SimpleNamespace(is_draining=lambda *_: False),
    )


def test_an_executor_that_answered_owes_nothing():
    """Else a busy executor is avoided until its next heartbeat comes by."""
    knowledge = _state(example.service(4, 3))
    done = action.Outcome(ran=refusal.Ran.YES, receipt="r")

    async def run() -> action.Outcome:
        def send_to(_instance_id: str, ask: message.ActionAsk) -> bool:
            reply = message.ActionReply(request_id=ask.request_id, outcome=done)
            asyncio.get_running_loop().call_soon(acting.on_reply, reply)
            return True

        acting = actioncoordinator.ActionCoordinator(
            knowledge, None, None, None, send_to
        )
        return await acting.run_action(_asked())

    assert asyncio.run(run()) == done
    later_ms = clock.now_ms() + 2 * SUSPECT_AFTER_MS
    assert not knowledge.pending_answers.is_overdue(
        EXECUTOR_ID, SUSPECT_AFTER_MS, later_ms
    )
