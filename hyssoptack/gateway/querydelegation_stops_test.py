"""Delegated queries of an instance that itself stands still."""

import asyncio
import random
import time
import types

import pytest
import uvloop

from hyssoptack.core import gatewaymessage
from hyssoptack.core import member
from hyssoptack.delegation import delegation
from hyssoptack.gateway import querydelegation

PEER = member.Peer(
    instance_id="wide", failure_domain="plateau", address="w:1", link_mbps=100.0
)
READ_S = 0.005
"""Time after a stop until a message that arrived during it is read."""


def _query(answers):
    route = types.SimpleNamespace(name="r", latency_goal_ms=60_000.0)
    exchange = types.SimpleNamespace(
        request=types.SimpleNamespace(
            method=b"GET",
            target=b"/all/x",
            headers=(),
            body=b"",
            received_ms=0.0,
        ),
        on_abandoned=None,
        answer=answers.append,
    )
    return types.SimpleNamespace(
        exchange=exchange,
        route_match=types.SimpleNamespace(route=route),
        reserved_ms=0.0,
        team_name="",
        team_fields={},
        request_id="r1",
        goal_at_ms=lambda now_ms: now_ms + 300.0,
    )


class _Sender:
    """A delegator with one query at the neighbour."""

    def __init__(self):
        self.sent, self.rerun, self.answers = [], [], []
        self.delegator = querydelegation.Delegator(
            delegation.DelegateSelector(1.0, random.Random(1)),
            "n:1",
            lambda _, each: self.sent.append(each),
            lambda *each: self.rerun.append(each),
            lambda _: True,
        )
        delegated = querydelegation.DelegatedQuery(
            self.delegator, _query(self.answers), PEER, 1
        )
        delegated.start(1)

    def receive_status(self):
        status = gatewaymessage.DelegationStatus(
            sender_address="w:1", ask_id=1, begun=True
        )
        self.delegator.on_message(status)

    def count_sent(self, kind):
        return sum(isinstance(each, kind) for each in self.sent)


@pytest.mark.parametrize("stop_s", [0.06, 0.25, 0.6])
def test_a_query_begun_during_a_stop_of_the_sender_is_not_taken_back(stop_s):
    # Guards against a query that runs on all upstreams twice, or fails for want
    # of budget, as the timeout is acted on before the status is read.
    async def test():
        sender = _Sender()
        time.sleep(stop_s)
        await asyncio.sleep(READ_S)
        sender.receive_status()
        await asyncio.sleep(0.15)
        assert not sender.rerun
        assert sender.count_sent(gatewaymessage.DelegationCommit) == 1

    uvloop.run(test())


def test_a_neighbour_that_answers_during_a_stop_of_the_sender_is_not_lost():
    # Guards against 502 `neighbour_lost` for a query whose neighbour replied.
    async def test():
        sender = _Sender()
        sender.receive_status()
        (delegated,) = sender.delegator.pending.values()
        delegated._check_liveness()
        time.sleep(0.25)
        await asyncio.sleep(READ_S)
        sender.receive_status()
        await asyncio.sleep(0.15)
        assert not sender.answers
        assert sender.delegator.pending

    uvloop.run(test())


def test_a_silent_neighbour_is_given_up_soon_after_a_stop_of_the_sender():
    async def test():
        sender = _Sender()
        time.sleep(0.25)
        await asyncio.sleep(0.1)
        assert len(sender.rerun) == 1
        assert sender.count_sent(gatewaymessage.DelegationCancel) == 1

    uvloop.run(test())


@pytest.mark.parametrize("is_begun", [False, True])
def test_a_query_at_a_neighbour_is_answered_when_this_process_ends(is_begun):
    # The connection of its caller closed without a response.
    async def test():
        sender = _Sender()
        if is_begun:
            sender.receive_status()
        sender.delegator.on_process_end()
        (answer,) = sender.answers
        assert answer.status == 504
        assert not sender.delegator.pending
        assert not sender.rerun
        assert sender.count_sent(gatewaymessage.DelegationCancel) == 1

    uvloop.run(test())
