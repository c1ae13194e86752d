"""Messages between instances of the query daemon (`entry`)."""

import dataclasses
import enum

from hyssoptack.core import action
from hyssoptack.core import decoding
from hyssoptack.core import keyspace
from hyssoptack.core import member
from hyssoptack.core import query


class CallStatus(enum.Enum):
    """Result of one call to an upstream."""

    ANSWERED = "answered"
    VERSION_MISSING = "version_missing"
    SHED = "shed"
    DRAINING = "draining"
    FAILED = "failed"
    NOT_OWNER = "not_owner"
    TIMED_OUT = "timed_out"
    CANCELLED = "cancelled"


@dataclasses.dataclass(frozen=True, kw_only=True)
class UpstreamAsk:
    """An upstream call requested within a sub-query."""

    call_id: int
    upstream_id: str
    index_version: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class UpstreamReply:
    """Result of one requested upstream call.

    Attributes:
        call_id: Id of the call.
        upstream_id: Id of the upstream that was called.
        status: Status of the call.
        index_version: Index version of the answer.
        held_versions: Index versions that the upstream holds; empty if unknown.
        key_range: Key range that the answer covers; None without an answer.
        hits: Hits in the answer.
        service_ms: Time from the send to the upstream until its answer, in
            milliseconds.
        reached_upstream: Whether any byte may have been sent to the upstream.
        draining: Whether the upstream reported with its answer that it drains.
    """

    call_id: int
    upstream_id: str
    status: CallStatus
    index_version: int = 0
    held_versions: tuple[int, ...] = ()
    key_range: keyspace.KeyRange | None = None
    hits: tuple[query.Hit, ...] = ()
    service_ms: decoding.Finite = 0.0
    reached_upstream: bool = False
    draining: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class SubQuery:
    """Requests that a relay calls upstreams for one query."""

    origin: str
    query_id: str
    service: str
    text: str
    limit_count: int
    urgency: query.Urgency
    remaining_ms: decoding.Finite
    asks: tuple[UpstreamAsk, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class SubAnswer:
    """A batch of upstream replies for the origin of a query."""

    origin: str
    query_id: str
    replies: tuple[UpstreamReply, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Cancel:
    """Cancels calls of a query at a relay."""

    query_id: str
    call_ids: tuple[int, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class ActionAsk:
    """Requests that an executor claims and runs an action on an upstream."""

    origin: str
    request_id: str
    remaining_ms: decoding.Finite
    upstream_id: str
    action: action.Action


@dataclasses.dataclass(frozen=True, kw_only=True)
class ActionReply:
    """Outcome of an action, sent by its executor."""

    request_id: str
    outcome: action.Outcome


@dataclasses.dataclass(frozen=True, kw_only=True)
class UpstreamNote:
    """Reports to the other owners of an upstream that it is draining."""

    upstream_id: str
    draining: bool
    observer: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Heartbeat:
    """Periodic heartbeat: sender, its revision and some recent senders."""

    sender: member.Member
    revision: int
    beat_number: int
    fresh: tuple[member.Member, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class ConfigWanted:
    """Requests a peer's configuration head and the parts the sender lacks."""

    sender: member.Member
    have_digests: tuple[str, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class ConfigOffer:
    """A configuration head with the texts of its parts by digest."""

    manifest_text: str
    parts: dict[str, str]


@dataclasses.dataclass(frozen=True, kw_only=True)
class OwnershipClaim:
    """Asks a peer to count the sender, which stood still, among the owners.

    Attributes:
        sender: The sender's membership record.
        number: Number of the sender's renewal.
    """

    sender: member.Member
    number: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class OwnershipConfirmation:
    """Confirms a claim: the sender calls no upstream that it does not own.

    Attributes:
        sender: The confirming instance's membership record.
        claimant: Incarnation of the instance whose claim is confirmed.
        number: Number of the claimant's renewal.
    """

    sender: member.Member
    claimant: str
    number: int


Message = (
    SubQuery
    | SubAnswer
    | Cancel
    | ActionAsk
    | ActionReply
    | UpstreamNote
    | Heartbeat
    | ConfigWanted
    | ConfigOffer
    | OwnershipClaim
    | OwnershipConfirmation
)

KINDS: dict[int, type] = {
    1: SubQuery,
    2: SubAnswer,
    3: Cancel,
    4: ActionAsk,
    5: ActionReply,
    6: UpstreamNote,
    7: Heartbeat,
    8: ConfigWanted,
    9: ConfigOffer,
    33: OwnershipClaim,
    34: OwnershipConfirmation,
}
"""Message classes by number for `peers.codec`; `core.gatewaymessage` defines
the other numbers."""
