"""Messages between gateways.

They are separate from the messages of the query daemon (`core.message`): on a
small machine, each imported record adds 0.7 ms to a gateway's start.
"""

import dataclasses

from hyssoptack.core import decoding
from hyssoptack.core import listmessage
from hyssoptack.core import member
from hyssoptack.core import position
from hyssoptack.core import ratelimitmessage


@dataclasses.dataclass(frozen=True, kw_only=True)
class ViewNotice:
    """Configuration and upstreams that a reader of the store publishes.

    A reader sends it to the instances of its failure domain.

    Attributes:
        sender_id: Id of the reader.
        sender_address: Address for messages to the reader.
        version: Version of the configuration that the reader uses.
        configuration: That configuration as stored, compressed; empty if the
            receiver should already have it.
        revision: Revision of the store at which the list of upstreams was read.
        era: The store's era of that read; 0 from an earlier release.
        change: Change of the list since the previous notice.
        kept: Upstreams that the sender keeps beside the list.
        departures: Upstreams that have left, soon after the store's return.
        grace_ms: Remaining time in which entries that vanish may have expired
            in an outage of the store, as far as the sender has observed.
        list_age_ms: Age of the list, in milliseconds.
        observed_age_ms: Time for which the list has been read without a gap in
            which entries could expire unseen, in milliseconds.
        exact_age_ms: Age of the last read that can't have returned stale data,
            in milliseconds.
        evacuated: Failure domains whose upstreams must not be called.
        evacuated_at: Position in the store's history at which `evacuated` was
            read.
        run_id: Id of the sender's process.
        sent_ms: Time of sending by the sender's clock, in milliseconds.
    """

    sender_id: str
    sender_address: str
    version: int
    configuration: bytes
    revision: int
    change: listmessage.ListChange
    kept: tuple[listmessage.KeptUpstream, ...] = ()
    grace_ms: decoding.Finite = 0.0
    list_age_ms: decoding.Finite = 0.0
    observed_age_ms: decoding.Finite = 0.0
    exact_age_ms: decoding.Finite = 0.0
    evacuated: tuple[str, ...] = ()
    evacuated_at: position.Position = position.START
    run_id: int = 0
    sent_ms: decoding.Finite = 0.0
    era: int = 0
    departures: listmessage.Departures = listmessage.NO_DEPARTURES

    @property
    def read_at(self) -> position.Position:
        """Position in the store's history at which the list was read."""
        return position.Position(self.era, self.revision)


@dataclasses.dataclass(frozen=True, kw_only=True)
class ViewRequest:
    """Requests a full notice from a reader when a change can't be applied.

    Attributes:
        address: Address for the reply.
        version: Version of the configuration that the sender has.
    """

    address: str
    version: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class InstancesNotice:
    """Live instances that a reader found in the platform's store.

    Attributes:
        sender_id: Id of the reader.
        neighbours: Instances in the reader's failure domain.
        total_count: Number of instances in all failure domains.
        far_gatherers: Instances in other failure domains that relay calls to
            upstreams there.
        read_at: Position in the store's history at which they were read.
    """

    sender_id: str
    neighbours: tuple[member.Peer, ...]
    total_count: int
    far_gatherers: tuple[member.Peer, ...] = ()
    read_at: position.Position = position.START


@dataclasses.dataclass(frozen=True, kw_only=True)
class PartitionNotice:
    """Reports that the failure domain is partitioned from all others.

    Attributes:
        sender_id: Id of the instance that detected the partition.
    """

    sender_id: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class LatencySample:
    """Latency of one call to an upstream.

    Attributes:
        ratio: Latency divided by the usual latency of calls of the route.
        age_ms: Time from the end of the call to the creation of the message, in
            milliseconds.
    """

    ratio: decoding.Finite
    age_ms: decoding.Finite


@dataclasses.dataclass(frozen=True, kw_only=True)
class LatencyNotice:
    """Latencies of upstreams that are slow or were slow recently.

    Attributes:
        sender_id: Id of the instance that made the calls.
        seen_calls: Sample of the newest relevant call, by upstream id.
    """

    sender_id: str
    seen_calls: dict[str, LatencySample]


@dataclasses.dataclass(frozen=True, kw_only=True)
class DelegationRequest:
    """Delegates a caller's query to a neighbour.

    Attributes:
        sender_address: Address for the answer.
        ask_id: Id of the delegation, unique at the sender.
        version: Version of the sender's configuration; a neighbour that uses
            another version declines.
        route_name: Name of the request's route.
        method: Method of the request.
        target: Path and query of the request.
        headers: Headers of the request.
        body: Body of the request.
        elapsed_ms: Time since the request reached the sender, in milliseconds.
        away_ms: Part of the latency goal that the neighbour can't use, in
            milliseconds: the time that the caller had spent on earlier
            attempts, the time reserved for transit, and the estimated delay
            that delegation adds.
        fresh: Whether the neighbour may start the query; if not, the sender
            only asks whether it is still running.
        team: Name of the caller's team, which the sender determined by this
            version; empty if there is none.
        sender_list: The sender's list of upstreams.
    """

    sender_address: str
    ask_id: int
    version: int
    route_name: str
    method: bytes
    target: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    elapsed_ms: decoding.Finite
    away_ms: decoding.Finite = 0.0
    fresh: bool = True
    team: str = ""
    sender_list: listmessage.ListSummary = listmessage.UNKNOWN_LIST


@dataclasses.dataclass(frozen=True, kw_only=True)
class DelegationStatus:
    """Reports whether a delegated query is running or will never run.

    Attributes:
        sender_address: Address of the neighbour that received the query.
        ask_id: Id of the delegation.
        begun: Whether the query is running; if not, it never will.
    """

    sender_address: str
    ask_id: int
    begun: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class DelegationAnswer:
    """Response to a delegated query, to be sent to the caller unchanged.

    Attributes:
        sender_address: Address of the neighbour that ran the query.
        ask_id: Id of the delegation.
        reply_bytes: Usual size of an upstream's reply on the query's route.
        status: HTTP status code.
        headers: All response headers.
        body: Response body.
    """

    sender_address: str
    ask_id: int
    reply_bytes: decoding.Finite
    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


@dataclasses.dataclass(frozen=True, kw_only=True)
class DelegationCancel:
    """Cancels a delegated query whose answer is no longer needed.

    Attributes:
        sender_address: Address of the instance that delegated the query.
        ask_id: Id of the delegation.
    """

    sender_address: str
    ask_id: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class RelayedCall:
    """An upstream call to make for another instance.

    Attributes:
        call_id: Number of the call in its query.
        upstream_id: Id of the upstream to call.
    """

    call_id: int
    upstream_id: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class RelayRequest:
    """Requests calls of a query from an instance in the upstreams' domain.

    Attributes:
        sender_address: Address for the outcomes.
        ask_id: Id of the relay request, unique at the sender.
        route_name: Name of the query's route.
        top_count: Maximum number of records in the query's answer.
        request_id: Id that upstreams' replies must carry.
        head: Head of the request without the parts that differ between calls.
        body: Body of the request.
        remaining_ms: Remaining time until the query's deadline, in
            milliseconds.
        to_goal_ms: Remaining time until the latency goal, in milliseconds.
        calls: Calls to make.
        fingerprint: Fingerprint of the query's content.
    """

    sender_address: str
    ask_id: int
    route_name: str
    top_count: int
    request_id: bytes
    head: bytes
    body: bytes
    remaining_ms: decoding.Finite
    to_goal_ms: decoding.Finite
    calls: tuple[RelayedCall, ...]
    fingerprint: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class RelayedOutcome:
    """Outcome of a relayed call.

    Attributes:
        call_id: Number of the call in its query.
        kind: Kind of the outcome, as in `planning.callcommand`.
        reason: Observed cause, for logs.
        reached: Whether the upstream may have received the request.
        signature: Signature of the upstream's reply.
        records: Highest-ranked records of the reply, at most as many as the
            answer has.
        ended: Whether the upstream exited while it processed the call.
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
    """Batched outcomes of relayed calls.

    Attributes:
        sender_address: Address of the instance that made the calls.
        ask_id: Id of the relay request.
        outcomes: Outcomes since the previous batch.
        dried_up: Whether answers have stopped arriving, so that the missing
            ones are delayed by their upstreams.
    """

    sender_address: str
    ask_id: int
    outcomes: tuple[RelayedOutcome, ...]
    dried_up: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class RelayCancel:
    """Cancels relayed calls whose outcomes are no longer needed.

    Attributes:
        sender_address: Address of the instance that requested the calls.
        ask_id: Id of the relay request.
    """

    sender_address: str
    ask_id: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class SuspectCrash:
    """A crash of an upstream while it processed a suspected request.

    Attributes:
        upstream_id: Id of the upstream.
        age_ms: Time from the crash to the creation of the message, in
            milliseconds.
        proven: Whether the upstream was known to be alive after an earlier
            crash, so that this crash is a separate event.
    """

    upstream_id: str
    age_ms: decoding.Finite
    proven: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class Suspect:
    """State of a request that may crash upstreams.

    Attributes:
        fingerprint: Fingerprint of the request.
        age_ms: Time since an upstream last crashed on the request or, if
            cleared, since an upstream answered it, in milliseconds.
        cleared: Whether the request is no longer suspected.
        blocked_count: Number of consecutive times that it was blocked; 0 while
            only suspected.
        blocked_for_ms: Remaining time for which it is blocked, in milliseconds.
        kept_for_ms: Remaining time until a blocked request's record expires, in
            milliseconds.
        endings: Retained crashes of upstreams.
    """

    fingerprint: str
    age_ms: decoding.Finite
    cleared: bool = False
    blocked_count: decoding.Count = 0
    blocked_for_ms: decoding.Finite = 0.0
    kept_for_ms: decoding.Finite = 0.0
    endings: tuple[SuspectCrash, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class SuspectsNotice:
    """Reports requests that may crash upstreams.

    Attributes:
        sender_id: Id of the sender.
        suspects: State of each request.
    """

    sender_id: str
    suspects: tuple[Suspect, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class SuspectsRequest:
    """Requests all suspects; an instance sends it after its start.

    Attributes:
        address: Address for the reply.
    """

    address: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class DelegationCommit:
    """Commits the sender to a delegation: it will not take the query back.

    Attributes:
        sender_address: Address of the instance that delegated the query.
        ask_id: Id of the delegation.
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
    | ratelimitmessage.Message
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
    **ratelimitmessage.KINDS,
}
"""Message classes by number for `peers.codec`. A number is never reused for
another class; 10 and 11 belonged to removed notices with complete lists."""
