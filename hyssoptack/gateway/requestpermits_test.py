"""Permits of requests that are refused, never sent or abandoned."""

import dataclasses

import pytest

from hyssoptack.core import teams
from hyssoptack.gateway import inbound
from hyssoptack.gateway import permitdecision
from hyssoptack.gateway import ratelimitreport
from hyssoptack.gateway import requestpermits
from hyssoptack.http1 import message
from hyssoptack.platform import headers

TEAM = teams.Team(
    name="team", rate_limit=teams.RateLimit(rate_per_s=1.0, burst_count=1.0)
)


class _Exchange:
    def __init__(self):
        self.request = message.Request(
            method=b"GET",
            target=b"/",
            headers=(),
            body=b"",
            received_ms=0.0,
            keep_alive=True,
        )
        self.on_abandoned = None
        self.replies = []

    def answer(self, reply):
        self.replies.append(reply)


class _Limiter:
    """Stores the callbacks of requests that wait."""

    def __init__(self):
        self.waiting = []
        self.refund_count = 0
        self.report = ratelimitreport.RateLimitReport()

    def acquire(self, team, on_decision):
        self.waiting.append(on_decision)

    def refund(self, team):
        self.refund_count += 1


class _Site:
    def __init__(self, team=TEAM):
        self.limiter = _Limiter()
        self.served = []
        self.refused = []
        self.exchange = _Exchange()
        request = inbound.RoutedRequest(
            exchange=self.exchange,
            metadata=headers.RequestMetadata(
                request_id=b"r1", deadline_ms=None, host="h"
            ),
            route_match=None,
            version=7,
            team=team,
        )
        requestpermits.RequestPermits(
            self.limiter,
            lambda *given: self.served.append(given),
            lambda *given: self.refused.append(given),
        ).serve(request)

    def decide(self, decision):
        (on_decision,) = self.limiter.waiting
        on_decision(decision)


def _reply(status):
    return message.Reply(status=status, headers=(), body=b"")


@pytest.mark.parametrize("status", [429, 503, 408, 421])
def test_a_request_answered_as_not_run_returns_its_permit_once(status):
    site = _Site()
    site.decide(permitdecision.PERMITTED)
    ((request,),) = site.served
    request.exchange.answer(_reply(status))
    request.exchange.answer(_reply(status))
    assert site.limiter.refund_count == 1
    assert site.exchange.replies


@pytest.mark.parametrize("status", [200, 404, 500, 502, 504])
def test_a_request_that_may_have_run_keeps_its_permit(status):
    site = _Site()
    site.decide(permitdecision.PERMITTED)
    ((request,),) = site.served
    request.exchange.answer(_reply(status))
    request.exchange.answer(_reply(503))
    assert site.limiter.refund_count == 0


def test_a_caller_that_leaves_while_waiting_returns_its_permit():
    site = _Site()
    site.exchange.on_abandoned()
    site.decide(permitdecision.PERMITTED)
    assert not site.served
    assert site.limiter.refund_count == 1


def test_a_caller_that_leaves_before_a_refusal_returns_nothing():
    site = _Site()
    site.exchange.on_abandoned()
    site.decide(permitdecision.OverLimit(retry_after_ms=5.0))
    assert not site.refused
    assert site.limiter.refund_count == 0


def test_a_caller_that_leaves_later_reaches_the_component_that_serves_it():
    site = _Site()
    site.decide(permitdecision.PERMITTED)
    ((request,),) = site.served
    left = []
    request.exchange.on_abandoned = lambda: left.append(1)
    site.exchange.on_abandoned()
    assert left


def test_refusals_state_their_cause():
    site = _Site()
    site.decide(permitdecision.OverLimit(retry_after_ms=5.0, owner_id="o"))
    assert site.refused[0][1:] == (429, "rate_limit", 5.0)
    site = _Site()
    site.decide(permitdecision.Undecided(retry_after_ms=9.0))
    assert site.refused[0][1:] == (503, "rate_limit_unknown", 9.0)
    counts = site.limiter.report.refusals.by_label()
    assert counts == {("other", "undecided"): 1}


@pytest.mark.parametrize(
    "team",
    [
        None,
        dataclasses.replace(TEAM, rate_limit=None),
        dataclasses.replace(
            TEAM,
            rate_limit=teams.RateLimit(rate_per_s=0.0, burst_count=0.0),
        ),
    ],
)
def test_a_request_without_a_limit_needs_no_permit(team):
    site = _Site(team)
    assert site.served and not site.limiter.waiting
    assert site.exchange.on_abandoned is None
