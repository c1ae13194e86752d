"""Tests of claims on non-idempotent requests."""

from hyssoptack.core import action
from hyssoptack.core import refusal
from hyssoptack.planning import claim

_DIGEST = "d"


def _decide(found, request="r2", attempt="a2"):
    return claim.decide(found, 7, attempt, request, _DIGEST)


def _held(attempt="a1", state=action.ClaimState.HELD, barred=()):
    return action.Claim(
        attempt_id=attempt,
        state=state,
        body_digest=_DIGEST,
        receipt="done",
        barred=barred,
    )


def test_a_missing_claim_is_created():
    assert _decide(None) == claim.Create()


def test_only_the_attempt_that_holds_the_claim_proceeds():
    assert _decide(_held("a2")) == claim.Proceed(version=7)
    other = _decide(_held("a1"))
    assert other.outcome.ran is refusal.Ran.UNKNOWN


def test_a_recorded_outcome_is_replayed():
    done = _decide(_held(state=action.ClaimState.DONE))
    assert done.outcome.ran is refusal.Ran.YES
    assert done.outcome.replayed


def test_a_released_claim_can_be_taken_over_except_by_a_barred_request():
    released = claim.released_claim(None, "r1", _DIGEST, "lost")
    assert _decide(released, "r2") == claim.TakeOver(version=7)
    late = _decide(released, "r1", "a1")
    assert late.outcome.ran is refusal.Ran.NO


def test_barred_requests_stay_barred_after_a_take_over():
    released = claim.released_claim(None, "r1", _DIGEST, "lost")
    taken = claim.held_claim(released, "a2", _DIGEST, "upstream")
    late = _decide(taken, "r1", "a1")
    assert late.outcome.ran is refusal.Ran.NO
    again = claim.released_claim(taken, "r2", _DIGEST, "lost")
    assert set(again.barred) == {"r1", "r2"}


def test_a_held_or_done_claim_must_not_be_released():
    assert claim.may_release(None, _DIGEST)
    assert not claim.may_release(_held(), _DIGEST)
    assert not claim.may_release(_held(state=action.ClaimState.DONE), _DIGEST)


def test_a_key_used_for_another_request_is_refused():
    other = _held()
    decision = claim.decide(other, 7, "a2", "r2", "another digest")
    assert decision.outcome.refused.reason is refusal.Reason.KEY_REUSED


def test_a_key_with_too_many_barred_requests_is_refused():
    found = None
    for number in range(claim.BARRED_LIMIT_COUNT):
        found = claim.released_claim(found, f"r{number}", _DIGEST, "lost")
    assert not claim.may_release(found, _DIGEST)
    assert _decide(found, "new").outcome.ran is refusal.Ran.NO
