"""Non-idempotent requests, their claims and their outcomes."""

import dataclasses
import enum

from hyssoptack.core import refusal


@dataclasses.dataclass(frozen=True, kw_only=True)
class Action:
    """One caller's non-idempotent request, checked.

    Attributes:
        idempotency_key: The caller's key; at most one run for each service and
            key.
        service: The service that it acts on.
        subject: What it acts on, such as a tail number; chooses the shard.
        body_text: The request itself as JSON text; a repeat must carry the
            same.
        deadline_ms: Time from admission to the final answer.
    """

    idempotency_key: str
    service: str
    subject: str
    body_text: str
    deadline_ms: int


class ClaimState(enum.Enum):
    """Where a claim stands; only `held` permits a send, to its attempt."""

    HELD = "held"
    RELEASED = "released"
    DONE = "done"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Claim:
    """The arbiter of an action, kept in the platform's key-value service.

    Attributes:
        attempt_id: Names the one attempt that may send: incarnation and
            counter.
        state: Where the claim stands.
        body_digest: Digest of the action's subject and body, to notice a reused
            key.
        upstream_id: The upstream that it is sent to; empty once released.
        receipt: What the upstream returned, for a claim that is done.
        note: One sentence for a person.
        barred: Requests that were told "not run"; none of them may send.
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
    """What became of an action.

    Attributes:
        ran: Whether it ran.
        receipt: What the upstream returned, when it ran.
        refused: Why there is no receipt, when there is none.
        replayed: True when this repeats a recorded outcome.
    """

    ran: refusal.Ran
    receipt: str = ""
    refused: refusal.Refusal | None = None
    replayed: bool = False
