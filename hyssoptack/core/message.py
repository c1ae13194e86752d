"""Messages between instances of the query daemon (`entry`)."""

import dataclasses
import enum

from hyssoptack.core import action
from hyssoptack.core import keyspace
from hyssoptack.core import member
from hyssoptack.core import query


class CallStatus(enum.Enum):
    """What became of one call to an upstream."""

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
    """One upstream to be asked within a sub-query."""

    call_id: int
    upstream_id: str
    index_version: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class UpstreamReply:
    """What became of one ask.

    Attributes:
        call_id: The ask that it belongs to.
        upstream_id: The upstream that was asked.
        status: What became of the call.
        index_version: The version answered at.
        held_versions: The versions that the upstream holds, when known.
        key_range: The range that the upstream really answered for.
        hits: Its hits.
        service_ms: From the send to the upstream until its answer.
        reached_upstream: True when any byte may have gone to the upstream.
        draining: True when the upstream said with its answer that it leaves.
    """

    call_id: int
    upstream_id: str
    status: CallStatus
    index_version: int = 0
    held_versions: tuple[int, ...] = ()
    key_range: keyspace.KeyRange | None = None
    hits: tuple[query.Hit, ...] = ()
    service_ms: float = 0.0
    reached_upstream: bool = False
    draining: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class SubQuery:
    """Asks a relay to call upstreams on behalf of one query."""

    origin: str
    query_id: str
    service: str
    text: str
    limit_count: int
    urgency: query.Urgency
    remaining_ms: float
    asks: tuple[UpstreamAsk, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class SubAnswer:
    """A batch of upstream replies, sent back to the origin of the query."""

    origin: str
    query_id: str
    replies: tuple[UpstreamReply, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Cancel:
    """Tells a relay that answers to some asks are no longer wanted."""

    query_id: str
    call_ids: tuple[int, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class ActionAsk:
    """Asks an executor to claim and run an action on one upstream."""

    origin: str
    request_id: str
    remaining_ms: float
    upstream_id: str
    action: action.Action


@dataclasses.dataclass(frozen=True, kw_only=True)
class ActionReply:
    """What the executor made of an action."""

    request_id: str
    outcome: action.Outcome


@dataclasses.dataclass(frozen=True, kw_only=True)
class UpstreamNote:
    """What other owners of an upstream should know of it at once."""

    upstream_id: str
    draining: bool
    observer: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Heartbeat:
    """Periodic gossip: the sender, its revision, whom it has heard."""

    sender: member.Member
    revision: int
    beat_number: int
    fresh: tuple[member.Member, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class ConfigWanted:
    """Asks a peer for its configuration head and the parts the asker lacks."""

    sender: member.Member
    have_digests: tuple[str, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class ConfigOffer:
    """A configuration head with part texts by digest."""

    manifest_text: str
    parts: dict[str, str]


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
}
"""Kinds by number, for `peers.codec`; `core.gatewaymessage` has the others."""
