"""Messages between gateways.

They stand apart from those of the query daemon: a gateway on a small machine
pays 0.7 ms of its start for each record that it imports.
"""

import dataclasses

from hyssoptack.core import member
from hyssoptack.core import position
from hyssoptack.core import traffic


@dataclasses.dataclass(frozen=True, kw_only=True)
class ListChange:
    """What turns one list of upstreams into another.

    Attributes:
        base_digest: Digest of the list that it applies to.
        digest: Digest of the list that comes of it.
        changed: Entries that are new or differ.
        removed: Identifiers of the entries that are gone.
    """

    base_digest: int
    digest: int
    changed: tuple[traffic.Upstream, ...] = ()
    removed: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class ViewNotice:
    """What a reader of the platform's store tells its failure domain.

    Attributes:
        sender_id: The instance that read.
        sender_address: Where it takes messages.
        version: The version of the configuration in force there.
        configuration: That configuration as stored, compressed; empty where
            the receiver should have it already.
        revision: The store's revision that the list of upstreams is of.
        change: What has changed in the list since the notice before.
        grace_ms: How much longer the sender keeps upstreams that the store
            has lost in an outage and that may enter themselves again.
        list_age_ms: How long ago the list was read.
        exact_age_ms: Age of the last reading that can't have been an old one.
        evacuated: Failure domains whose upstreams must get nothing.
        evacuated_at: Where in the store's history that held.
    """

    sender_id: str
    sender_address: str
    version: int
    configuration: bytes
    revision: int
    change: ListChange
    grace_ms: float = 0.0
    list_age_ms: float = 0.0
    exact_age_ms: float = 0.0
    evacuated: tuple[str, ...] = ()
    evacuated_at: position.Position = position.START


@dataclasses.dataclass(frozen=True, kw_only=True)
class ViewRequest:
    """Asks a reader for all that it knows: its last notice did not suffice.

    Attributes:
        address: Where the answer goes.
        version: The version of the configuration that the asker has.
    """

    address: str
    version: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class InstancesNotice:
    """The live instances, as a reader of the platform's store found them.

    Attributes:
        sender_id: The instance that read.
        neighbours: Those of the own failure domain.
        total_count: All of them, in all failure domains.
        far_gatherers: Those of other failure domains that make calls there.
    """

    sender_id: str
    neighbours: tuple[member.Peer, ...]
    total_count: int
    far_gatherers: tuple[member.Peer, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class PartitionNotice:
    """The sender takes its failure domain as cut off from all others.

    Attributes:
        sender_id: The instance that found so.
    """

    sender_id: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class LatencySample:
    """One call to an upstream as an instance has measured it.

    Attributes:
        ratio: Its time over what calls of its route usually take.
        age_ms: How long ago it ended, when the message was made.
    """

    ratio: float
    age_ms: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class LatencyNotice:
    """Calls to upstreams that are slow, or were lately.

    Attributes:
        sender_id: The instance that measured.
        seen_calls: The newest such call of each, by upstream.
    """

    sender_id: str
    seen_calls: dict[str, LatencySample]


@dataclasses.dataclass(frozen=True, kw_only=True)
class DelegationRequest:
    """Asks a neighbour to run a caller's query on the sender's behalf.

    Attributes:
        sender_address: Where the answer goes.
        ask_id: Names the ask among the sender's.
        version: The configuration that the sender serves by; a neighbour that
            has another one in force declines.
        route_name: The request's route.
        method: The request's method.
        target: Its path and query.
        headers: Its headers.
        body: Its body.
        elapsed_ms: Time since the request reached the sender.
        away_ms: Time to the goal that the ways and earlier tries take.
        fresh: Whether it may be begun; else the sender only wants to know
            whether it still runs.
    """

    sender_address: str
    ask_id: int
    version: int
    route_name: str
    method: bytes
    target: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    elapsed_ms: float
    away_ms: float = 0.0
    fresh: bool = True


@dataclasses.dataclass(frozen=True, kw_only=True)
class DelegationStatus:
    """Says that an asked query runs, or that it does not and never will.

    Attributes:
        sender_address: Who was asked.
        ask_id: The ask.
        begun: Whether it runs.
    """

    sender_address: str
    ask_id: int
    begun: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class DelegationAnswer:
    """The answer to an asked query, as its caller gets it.

    Attributes:
        sender_address: Who was asked.
        ask_id: The ask.
        reply_bytes: The usual size of an upstream's reply on its route.
        status: The status code.
        headers: All headers.
        body: The body.
    """

    sender_address: str
    ask_id: int
    reply_bytes: float
    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


@dataclasses.dataclass(frozen=True, kw_only=True)
class DelegationCancel:
    """Says that nobody waits for an asked query any more.

    Attributes:
        sender_address: Who asked.
        ask_id: The ask.
    """

    sender_address: str
    ask_id: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class RelayedCall:
    """A call to be made for another instance.

    Attributes:
        call_id: Its number in the query.
        upstream_id: Whom to call.
    """

    call_id: int
    upstream_id: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class RelayRequest:
    """Asks an instance beside the upstreams to make calls of a query.

    Attributes:
        sender_address: Where outcomes go.
        ask_id: Names the ask among the sender's.
        route_name: The query's route.
        top_count: Records that its answer has at most.
        request_id: The id that replies must carry.
        head: The request's head, but for what differs from call to call.
        body: Its body.
        remaining_ms: How long its caller still waits.
        to_goal_ms: Time until its answer loses most of its use.
        calls: The calls.
        fingerprint: Names the query's content.
    """

    sender_address: str
    ask_id: int
    route_name: str
    top_count: int
    request_id: bytes
    head: bytes
    body: bytes
    remaining_ms: float
    to_goal_ms: float
    calls: tuple[RelayedCall, ...]
    fingerprint: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class RelayedOutcome:
    """What became of a relayed call.

    Attributes:
        call_id: Its number in the query.
        kind: What it says about the request, as in `policy.callcommand`.
        reason: What was seen, for logs.
        reached: Whether the upstream may have seen the request.
        signature: The upstream's signature under its reply.
        records: The greatest records of its reply, as many as the answer has.
        ended: Whether the upstream has ended with the call in hand.
    """

    call_id: int
    kind: str
    reason: str = ""
    reached: bool = True
    signature: bytes = b""
    records: bytes = b""
    ended: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class RelayBatch:
    """Outcomes of relayed calls, as soon as they are worth a message.

    Attributes:
        sender_address: Who made the calls.
        ask_id: The ask.
        outcomes: The outcomes since the message before.
        dried_up: Whether answers came in until now and have paused: what is
            missing waits for its upstream.
    """

    sender_address: str
    ask_id: int
    outcomes: tuple[RelayedOutcome, ...]
    dried_up: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class RelayCancel:
    """Says that relayed calls are not waited for any more.

    Attributes:
        sender_address: Who asked.
        ask_id: The ask.
    """

    sender_address: str
    ask_id: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class SuspectCrash:
    """An upstream that ended with a suspected request in hand.

    Attributes:
        upstream_id: The upstream.
        age_ms: How long ago, when the message was made.
        proven: Whether it had been found alive after an earlier end.
    """

    upstream_id: str
    age_ms: float
    proven: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class Suspect:
    """What is held against a request that may crash upstreams.

    Attributes:
        fingerprint: The request.
        age_ms: How long ago an upstream last ended under it; where it is
            cleared, how long ago one answered it.
        cleared: Whether nothing is held against it any more.
        blocked_count: How often in a row it was blocked; 0 while suspected.
        blocked_for_ms: How much longer it is blocked.
        kept_for_ms: How much longer that is known, for it to be tried.
        endings: Upstreams that ended under it, as far as kept.
    """

    fingerprint: str
    age_ms: float
    cleared: bool = False
    blocked_count: int = 0
    blocked_for_ms: float = 0.0
    kept_for_ms: float = 0.0
    endings: tuple[SuspectCrash, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class SuspectsNotice:
    """Tells of requests that may crash upstreams.

    Attributes:
        sender_id: Who tells.
        suspects: The requests.
    """

    sender_id: str
    suspects: tuple[Suspect, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class SuspectsRequest:
    """Asks for all such requests: the asker has just started.

    Attributes:
        address: Where the answer goes.
    """

    address: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class DelegationCommit:
    """Says that an asked query will not be taken back.

    Attributes:
        sender_address: Who asked.
        ask_id: The ask.
    """

    sender_address: str
    ask_id: int


Message = (
    ViewNotice
    | ViewRequest
    | InstancesNotice
    | PartitionNotice
    | LatencyNotice
    | DelegationRequest
    | DelegationStatus
    | DelegationAnswer
    | DelegationCancel
    | DelegationCommit
    | RelayRequest
    | RelayBatch
    | RelayCancel
    | SuspectsNotice
    | SuspectsRequest
)

KINDS: dict[int, type] = {
    12: ViewNotice,
    13: LatencyNotice,
    14: ViewRequest,
    15: InstancesNotice,
    16: PartitionNotice,
    17: DelegationRequest,
    18: DelegationStatus,
    19: DelegationAnswer,
    20: DelegationCancel,
    21: RelayRequest,
    22: RelayBatch,
    23: RelayCancel,
    24: SuspectsNotice,
    25: SuspectsRequest,
    26: DelegationCommit,
}
"""Kinds by number, for `peers.codec`. Numbers are never used again for another
kind: 10 and 11 were notices with whole lists."""
