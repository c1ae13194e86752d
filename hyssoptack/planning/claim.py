"""Decides which attempt may send a non-idempotent request, and its outcome.

A claim is one value in the platform's key-value service, created by
compare-and-swap. Only the attempt that created it may send, only once, and only
until the claim reaches its maximum age.

The instance that accepted the request (the front) asks another one (the
executor) to send it. If the executor does not answer, the front writes the
claim itself, released and with its own request barred. If that write succeeds,
the executor will find its request barred and never send, so the outcome "not
run" is final. An attempt of a request that is not barred may take over a
released claim.
"""

import dataclasses

import xxhash

from hyssoptack.core import action
from hyssoptack.core import refusal

RETRY_AFTER_STORE_MS = 1_000
RETRY_AFTER_PENDING_MS = 500
BARRED_LIMIT_COUNT = 32
"""Largest number of requests that a claim can bar; beyond it the claim's key is
refused."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Create:
    """The attempt must create the claim; there is none yet."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class TakeOver:
    """The attempt may replace a released claim of exactly this version."""

    version: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Proceed:
    """The attempt holds the claim and may send."""

    version: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Settled:
    """The attempt must not send; the action has this outcome."""

    outcome: action.Outcome


Decision = Create | TakeOver | Proceed | Settled


def digest_of(request: action.Action) -> str:
    """Returns an action's digest, which detects reuse of its key."""
    text = f"{request.service}\0{request.subject}\0{request.body_text}"
    return xxhash.xxh128_hexdigest(text.encode())


def key_of(request: action.Action) -> str:
    """Returns the store key of an action's claim."""
    digest = xxhash.xxh128_hexdigest(request.idempotency_key.encode())
    return f"claims/{request.service}/{digest}"


def decide(
    found: action.Claim | None,
    version: int,
    attempt_id: str,
    request_id: str,
    body_digest: str,
) -> Decision:
    """Decides the next step of an attempt from the stored claim.

    Args:
        found: Claim in the store; None if there is none.
        version: Version of the claim in the store.
        attempt_id: Id of the attempt.
        request_id: Id of the request that the attempt belongs to.
        body_digest: Digest of the action that the attempt would run.

    Returns:
        The next step, or the outcome if the attempt must not send.
    """
    if found is None:
        return Create()
    if found.body_digest != body_digest:
        return Settled(outcome=_key_reused_outcome())
    if request_id in found.barred:
        return Settled(outcome=_barred_outcome())
    if found.attempt_id == attempt_id and found.state is action.ClaimState.HELD:
        return Proceed(version=version)
    match found.state:
        case action.ClaimState.RELEASED:
            if len(found.barred) >= BARRED_LIMIT_COUNT:
                return Settled(outcome=_too_many_barred_outcome())
            return TakeOver(version=version)
        case _:
            return Settled(outcome=recorded_outcome(found))


def held_claim(
    found: action.Claim | None,
    attempt_id: str,
    body_digest: str,
    upstream_id: str,
) -> action.Claim:
    """Returns a claim that permits an attempt to send."""
    return action.Claim(
        attempt_id=attempt_id,
        state=action.ClaimState.HELD,
        body_digest=body_digest,
        upstream_id=upstream_id,
        barred=found.barred if found else (),
    )


def released_claim(
    found: action.Claim | None, request_id: str, body_digest: str, note: str
) -> action.Claim:
    """Returns a released claim that bars a request from sending."""
    before = found.barred if found else ()
    return action.Claim(
        attempt_id=request_id,
        state=action.ClaimState.RELEASED,
        body_digest=body_digest,
        note=note,
        barred=(*before, request_id),
    )


def may_release(found: action.Claim | None, body_digest: str) -> bool:
    """Returns whether a front may release a claim and bar its request.

    A claim that an attempt holds must not be released: the attempt may have
    sent the request.
    """
    if found is None:
        return True
    return (
        found.state is action.ClaimState.RELEASED
        and found.body_digest == body_digest
        and len(found.barred) < BARRED_LIMIT_COUNT
    )


def recorded_outcome(found: action.Claim | None) -> action.Outcome:
    """Returns the outcome recorded for an idempotency key."""
    if found is None:
        return not_run_outcome(
            refusal.Reason.NOT_FOUND,
            "no action with this key is on record",
            None,
        )
    match found.state:
        case action.ClaimState.DONE:
            return action.Outcome(
                ran=refusal.Ran.YES, receipt=found.receipt, replayed=True
            )
        case action.ClaimState.RELEASED:
            note = found.note or "the action was given up before it was sent"
            return not_run_outcome(
                refusal.Reason.UPSTREAM_UNAVAILABLE,
                note,
                RETRY_AFTER_PENDING_MS,
            )
        case action.ClaimState.HELD | action.ClaimState.UNKNOWN:
            return unknown_outcome(
                "the action was claimed and may have run", True
            )


def not_run_outcome(
    reason: refusal.Reason,
    detail: str,
    retry_after_ms: int | None = RETRY_AFTER_STORE_MS,
) -> action.Outcome:
    """Returns the outcome of an action that did not run and never will."""
    return action.Outcome(
        ran=refusal.Ran.NO,
        refused=refusal.Refusal(
            reason=reason,
            ran=refusal.Ran.NO,
            detail=detail,
            retry_after_ms=retry_after_ms,
        ),
    )


def unknown_outcome(detail: str, replayed: bool = False) -> action.Outcome:
    """Returns the outcome of an action that may have run."""
    return action.Outcome(
        ran=refusal.Ran.UNKNOWN,
        refused=refusal.Refusal(
            reason=refusal.Reason.OUTCOME_UNKNOWN,
            ran=refusal.Ran.UNKNOWN,
            detail=detail,
            retry_after_ms=RETRY_AFTER_PENDING_MS,
        ),
        replayed=replayed,
    )


def _key_reused_outcome() -> action.Outcome:
    return not_run_outcome(
        refusal.Reason.KEY_REUSED,
        "this key was used for another request; use a new key",
        None,
    )


def _barred_outcome() -> action.Outcome:
    return not_run_outcome(
        refusal.Reason.UPSTREAM_UNAVAILABLE, "the request was given up before"
    )


def _too_many_barred_outcome() -> action.Outcome:
    return not_run_outcome(
        refusal.Reason.KEY_REUSED,
        "this key was given up too many times; use a new key",
        None,
    )
