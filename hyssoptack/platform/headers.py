"""Reads and writes the headers that the platform defines.

The names of these headers and the readiness path appear in no other module.
"""

import dataclasses
import http

from hyssoptack.core import digits
from hyssoptack.core import traffic
from hyssoptack.http1 import httpclient
from hyssoptack.http1 import message
from hyssoptack.planning import callcommand

READINESS_PATH = b"/hyssoptack/readiness"
REQUEST_ID = b"x-request-id"

_DEADLINE = b"x-request-deadline"
_EXPECTED_INSTANCE = b"x-expected-instance"
# The signature that an upstream puts on its reply.
_SIGNATURE = b"x-server-stamp"
_PART_SIGNATURES = b"X-Part-Stamps"
_MISSING_PARTS = b"X-Missing-Parts"
_NOT_EXECUTED = b"x-not-executed"
_AUTHORIZATION = b"authorization"
_TEAM = b"X-Tenant-Id"
_KEY_SCHEME = b"bearer"

_IDENTITY_HEADERS = frozenset((_AUTHORIZATION, _TEAM.lower()))

_NOT_FORWARDED_HEADERS = frozenset((_DEADLINE, _EXPECTED_INSTANCE, b"expect"))

_REQUEST_HEADERS = frozenset((REQUEST_ID, b"host"))
_REPLY_HEADERS = frozenset((REQUEST_ID, _SIGNATURE))
"""Headers without which an upstream can't serve a request, or a caller can't
verify a reply: a `Connection` header that names them does not remove them."""

STATUS_MISDIRECTED = 421
STATUS_BAD_GATEWAY = 502
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
"""Statuses that tell a caller that its request was not executed."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class RequestMetadata:
    """The request id, deadline and host from a request's headers.

    Attributes:
        request_id: Identifies this attempt of the caller.
        deadline_ms: How long the caller waits; None where the header is absent
            or no number.
        host: The host, without a port.
    """

    request_id: bytes
    deadline_ms: float | None
    host: str


def read_metadata(request: message.Request) -> RequestMetadata | str:
    """Returns a request's metadata, or the reason for which it is invalid."""
    ids = request.values(REQUEST_ID)
    hosts = request.values(b"host")
    if len(ids) != 1 or not ids[0]:
        return "request_id_missing_or_repeated"
    if len(hosts) != 1:
        return "host_missing_or_repeated"
    if not request.target.startswith(b"/"):
        return "target_is_no_path"
    parts = hosts[0].decode("latin-1").rpartition(":")
    host = (
        parts[0]
        if digits.parse(parts[2]) is not None and parts[0]
        else hosts[0].decode("latin-1")
    )
    return RequestMetadata(
        request_id=ids[0], deadline_ms=_deadline(request), host=host
    )


def request_id_text(request: message.Request) -> str:
    """Returns the caller's request id as text, for the log."""
    return request.value(REQUEST_ID).decode("latin-1")


def _deadline(request: message.Request) -> float | None:
    """Returns the deadline in ms; None where it is absent or no number."""
    try:
        return max(0.0, float(request.value(_DEADLINE)))
    except ValueError:
        return None


def caller_key(request: message.Request) -> bytes | None:
    """Returns the key of a request's caller; None if it has none.

    A repeated header, another scheme or a key with spaces counts as no key.
    """
    values = request.values(_AUTHORIZATION)
    if len(values) != 1:
        return None
    words = values[0].split()
    if len(words) != 2 or words[0].lower() != _KEY_SCHEME:
        return None
    return words[1]


def without_identity(request: message.Request) -> message.Request:
    """Returns a request without its caller's key and the team it named.

    Names with underscores are removed too: some web frameworks of upstreams
    read `X_Tenant_Id` as `X-Tenant-Id`.
    """
    kept = tuple(
        each
        for each in request.headers
        if each[0].lower().replace(b"_", b"-") not in _IDENTITY_HEADERS
    )
    return dataclasses.replace(request, headers=kept)


def unauthorized_reply(reason: str) -> message.Reply:
    """Builds the reply to a request whose key belongs to no team."""
    reply = message.problem_reply(http.HTTPStatus.UNAUTHORIZED, reason)
    challenge = (b"WWW-Authenticate", b"Bearer")
    return dataclasses.replace(reply, headers=(*reply.headers, challenge))


@dataclasses.dataclass(frozen=True, kw_only=True)
class ForwardedRequest:
    """The bytes that all upstream calls of one request share.

    Attributes:
        head: The request's head, without the headers that differ per call.
        body: The request's body.
    """

    head: bytes
    body: bytes


def forwarded_request(
    request: message.Request, team_name: str = ""
) -> ForwardedRequest:
    """Builds the bytes that every upstream call of a request shares.

    Args:
        request: The request, `without_identity` where there are teams.
        team_name: Name of the caller's team; empty if there is none.
    """
    fields = message.end_to_end_headers(
        request.headers, _NOT_FORWARDED_HEADERS, _REQUEST_HEADERS
    )
    if team_name:
        # Added last: a caller's `Connection` field may name this header, and
        # the fields that it names are removed.
        fields.append((_TEAM, team_name.encode()))
    head = message.request_head(
        request.method, request.target, fields, len(request.body)
    )
    return ForwardedRequest(head=head, body=request.body)


def upstream_request(
    common: ForwardedRequest, upstream: traffic.Upstream, remaining_ms: float
) -> bytes:
    """Serializes a request for one upstream."""
    return b"%sX-Request-Deadline: %d\r\nX-Expected-Instance: %s\r\n\r\n%s" % (
        common.head,
        max(1, remaining_ms),
        upstream.expected_id.encode(),
        common.body,
    )


def call_outcome(
    seen: httpclient.Outcome, is_part: bool
) -> callcommand.Outcome:
    """Classifies the outcome of an upstream call.

    Args:
        seen: The outcome reported by the connection.
        is_part: Whether the reply is meant as part of a merged answer.
    """
    match seen:
        case httpclient.BrokenCall(reason=reason, sent=False):
            return callcommand.Outcome(
                kind=callcommand.OutcomeKind.NOT_RUN,
                reason=reason,
                reached=False,
            )
        case httpclient.BrokenCall():
            return callcommand.Outcome(
                kind=callcommand.OutcomeKind.FAILED,
                reason=seen.reason,
                upstream_exited=seen.upstream_exited,
                was_only_call=seen.was_only_call,
            )
        case message.Reply() if is_part:
            return part_outcome(seen)
        case message.Reply():
            return reply_outcome(seen)


def reply_outcome(reply: message.Reply) -> callcommand.Outcome:
    """Classifies an upstream's complete reply.

    Args:
        reply: A complete reply.

    Returns:
        The outcome. A request counts as not executed only if the upstream's
        header says so, or if another upstream replied at its address.
    """
    if reply.status == STATUS_MISDIRECTED:
        return callcommand.Outcome(
            kind=callcommand.OutcomeKind.NOT_RUN,
            reply=reply,
            reason="other_upstream",
        )
    if reply.value(_NOT_EXECUTED):
        return callcommand.Outcome(
            kind=callcommand.OutcomeKind.SHED,
            reply=reply,
            reason=f"shed_{reply.status}",
        )
    signed = bool(reply.value(_SIGNATURE))
    success = 200 <= reply.status < 300
    if reply.value(b"content-encoding"):
        return _failed("encoded_reply")
    if success and not signed:
        return _failed("unsigned_success")
    forwardable = signed and reply.status not in NOT_RUN_STATUSES
    if success or (forwardable and 400 <= reply.status < 500):
        return callcommand.Outcome(
            kind=callcommand.OutcomeKind.ANSWERED, reply=reply
        )
    return callcommand.Outcome(
        kind=callcommand.OutcomeKind.FAILED,
        reply=reply if forwardable else None,
        reason=f"status_{reply.status}",
    )


def part_outcome(reply: message.Reply) -> callcommand.Outcome:
    """Classifies a reply that is meant as part of a merged answer.

    A reply with any status but 200 counts as failed here, also where it would
    be a valid answer to a request for a single service.
    """
    read = reply_outcome(reply)
    if read.kind is callcommand.OutcomeKind.ANSWERED and reply.status != 200:
        return _failed(f"status_{reply.status}")
    return read


def has_missing_parts(reply: message.Reply) -> bool:
    """Returns whether a merged answer lacks the results of some shards."""
    return reply.value(_MISSING_PARTS.lower()) not in (b"", b"0")


def signature(reply: message.Reply) -> bytes:
    """Returns the upstream's signature of a reply; empty if unsigned."""
    return reply.value(_SIGNATURE)


def relayed_part(upstream_signature: bytes, body: bytes) -> message.Reply:
    """Builds the reply for a part that another instance received.

    Args:
        upstream_signature: The upstream's signature.
        body: The part's records, or only the highest-ranked ones.
    """
    return message.Reply(
        status=200, headers=((_SIGNATURE, upstream_signature),), body=body
    )


def _failed(reason: str) -> callcommand.Outcome:
    return callcommand.Outcome(
        kind=callcommand.OutcomeKind.FAILED, reason=reason
    )


def single_reply(reply: message.Reply) -> message.Reply:
    """Returns an upstream's reply as it is forwarded to the caller."""
    headers = message.end_to_end_headers(
        reply.headers, frozenset(), _REPLY_HEADERS
    )
    return message.Reply(
        status=reply.status, headers=tuple(headers), body=reply.body
    )


def merged_reply(
    request_id: bytes,
    parts: tuple[message.Reply, ...],
    part_count: int,
    body: bytes,
) -> message.Reply:
    """Builds the caller's answer from the merged replies of several shards."""
    signatures = b", ".join(each.value(_SIGNATURE) for each in parts)
    return message.Reply(
        status=200,
        headers=(
            (b"X-Request-Id", request_id),
            (b"Content-Type", b"application/octet-stream"),
            (_PART_SIGNATURES, signatures),
            (_MISSING_PARTS, b"%d" % (part_count - len(parts))),
        ),
        body=body,
    )
