"""Who may send a non-idempotent request, and what may be said of it.

A claim is one value in the platform's key-value service, created by
compare-and-swap. Only the attempt that created it may send, only once, and only
while the claim is young.

A front that lost its executor writes the claim itself, released and with its
own request barred. If that succeeds, the late executor finds its request barred
and never sends: "not run" is then true and stays true. A released claim may be
taken over by the attempt of a request that is not barred.
"""

import dataclasses

import xxhash

from hyssoptack.core import action
from hyssoptack.core import refusal

RETRY_AFTER_STORE_MS = 1_000
RETRY_AFTER_PENDING_MS = 500
BARRED_LIMIT_COUNT = 32
"""Requests that one claim can bar; after that the key can't be used again."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Create:
    """Create the claim; there must be none yet."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class TakeOver:
    """Replace a released claim of exactly this version."""

    version: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Proceed:
    """The claim is this attempt's: it may send."""

    version: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Settled:
    """The action was decided elsewhere; this is its outcome."""

    outcome: action.Outcome


Decision = Create | TakeOver | Proceed | Settled


def digest_of(asked: action.Action) -> str:
    """Returns a digest of what is asked, to notice a key reused for another."""
    text = f"{asked.service}\0{asked.subject}\0{asked.body_text}"
    return xxhash.xxh128_hexdigest(text.encode())


def key_of(asked: action.Action) -> str:
    """Returns the key that an action's claim is kept under."""
    digest = xxhash.xxh128_hexdigest(asked.idempotency_key.encode())
    return f"claims/{asked.service}/{digest}"


def decide(
    found: action.Claim | None,
    version: int,
    attempt_id: str,
    request_id: str,
    body_digest: str,
) -> Decision:
    """Decides what an attempt does about the claim that it found.

    Args:
        found: The claim that the store holds; None when there is none.
        version: The store's version of it.
        attempt_id: This attempt.
        request_id: The request that the attempt belongs to.
        body_digest: The digest of the action that this attempt would run.

    Returns:
        What to do next.
    """
    if found is None:
        return Create()
    if found.body_digest != body_digest:
        return Settled(outcome=_reused())
    if request_id in found.barred:
        return Settled(outcome=_given_up())
    if found.attempt_id == attempt_id and found.state is action.ClaimState.HELD:
        return Proceed(version=version)
    match found.state:
        case action.ClaimState.RELEASED:
            if len(found.barred) >= BARRED_LIMIT_COUNT:
                return Settled(outcome=_worn_out())
            return TakeOver(version=version)
        case _:
            return Settled(outcome=recorded_outcome(found))


def held_claim(
    found: action.Claim | None,
    attempt_id: str,
    body_digest: str,
    upstream_id: str,
) -> action.Claim:
    """Returns the claim that permits an attempt to send."""
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
    """Returns the claim after which a request can never send any more."""
    before = found.barred if found else ()
    return action.Claim(
        attempt_id=request_id,
        state=action.ClaimState.RELEASED,
        body_digest=body_digest,
        note=note,
        barred=(*before, request_id),
    )


def may_release(found: action.Claim | None, body_digest: str) -> bool:
    """Tells whether a front may still write the release of its request.

    Not once any attempt holds the claim: that attempt may have sent.
    """
    if found is None:
        return True
    return (
        found.state is action.ClaimState.RELEASED
        and found.body_digest == body_digest
        and len(found.barred) < BARRED_LIMIT_COUNT
    )


def recorded_outcome(found: action.Claim | None) -> action.Outcome:
    """Returns what can be said of a key when its outcome is looked up."""
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
    """Returns the outcome of an action that did not run and won't."""
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


def _reused() -> action.Outcome:
    return not_run_outcome(
        refusal.Reason.KEY_REUSED,
        "this key was used for another request; use a new key",
        None,
    )


def _given_up() -> action.Outcome:
    return not_run_outcome(
        refusal.Reason.UPSTREAM_UNAVAILABLE, "the request was given up before"
    )


def _worn_out() -> action.Outcome:
    return not_run_outcome(
        refusal.Reason.KEY_REUSED,
        "this key was given up too many times; use a new key",
        None,
    )
