"""Non-idempotent requests, their claims and their outcomes."""

import dataclasses
import enum

from hyssoptack.core import refusal


@dataclasses.dataclass(frozen=True, kw_only=True)
class Action:
    """A validated non-idempotent request of a caller.

    Attributes:
        idempotency_key: Key set by the caller; the action runs at most once for
            each service and key.
        service: Name of the service that runs the action.
        subject: Object of the action, such as a tail number; determines the
            shard.
        body_text: Body of the request as JSON text; must be the same in every
            retry.
        deadline_ms: Time from admission to the final answer, in milliseconds.
    """

    idempotency_key: str
    service: str
    subject: str
    body_text: str
    deadline_ms: int


class ClaimState(enum.Enum):
    """State of a claim; only `held` permits its attempt to send."""

    HELD = "held"
    RELEASED = "released"
    DONE = "done"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Claim:
    """The record in the platform's key-value service that permits a send.

    Attributes:
        attempt_id: Id of the only attempt that may send, made of incarnation
            and counter. In a released claim, id of the request that released
            it.
        state: State of the claim.
        body_digest: Digest of the action's service, subject and body; detects
            a reused key.
        upstream_id: Id of the upstream that gets the action; empty once
            released.
        receipt: Receipt from the upstream, for a claim that is done.
        note: Explanation in one sentence for operators and callers.
        barred: Ids of requests that were answered "not run"; none of them may
            send.
    """

    attempt_id: str
    state: ClaimState
    body_digest: str
    upstream_id: str = ""
    receipt: str = ""
    note: str = ""
    barred: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Outcome:
    """Outcome of an action.

    Attributes:
        ran: Whether the action ran, if known.
        receipt: Receipt from the upstream, if the action ran.
        refused: Refusal that explains a missing receipt.
        replayed: Whether the outcome was read from an earlier claim.
    """

    ran: refusal.Ran
    receipt: str = ""
    refused: refusal.Refusal | None = None
    replayed: bool = False
