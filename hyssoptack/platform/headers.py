"""Reads and writes the headers that the platform gives a meaning to.

The names of headers and of the readiness path appear nowhere else.
"""

import dataclasses

from hyssoptack.core import traffic
from hyssoptack.http1 import httpclient
from hyssoptack.http1 import message
from hyssoptack.policy import callcommand

READINESS_PATH = b"/hyssoptack/readiness"
REQUEST_ID = b"x-request-id"

_DEADLINE = b"x-request-deadline"
_EXPECTED = b"x-expected-instance"
# The upstream's signature under its reply.
_SIGNATURE = b"x-server-stamp"
_SIGNATURES = b"X-Part-Stamps"
_MISSING = b"X-Missing-Parts"
_NOT_RUN = b"x-not-executed"

_OWN_HEADERS = frozenset((_DEADLINE, _EXPECTED, b"expect"))

STATUS_MISDIRECTED = 421
STATUS_BAD_GATEWAY = 502
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
"""With these a caller is told that its request has not run."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class RequestMetadata:
    """What a request says of itself besides its content.

    Attributes:
        request_id: Names this attempt of the caller.
        deadline_ms: How long the caller waits; None where it does not say.
        host: The host, without a port.
    """

    request_id: bytes
    deadline_ms: float | None
    host: str


def read_metadata(request: message.Request) -> RequestMetadata | str:
    """Reads a request's facts, or says what is wrong with them."""
    ids = request.values(REQUEST_ID)
    hosts = request.values(b"host")
    if len(ids) != 1 or not ids[0]:
        return "request_id_missing_or_repeated"
    if len(hosts) != 1:
        return "host_missing_or_repeated"
    if not request.target.startswith(b"/"):
        return "target_is_no_path"
    host = hosts[0].decode("latin-1").rpartition(":")
    name = (
        host[0] if host[2].isdigit() and host[0] else hosts[0].decode("latin-1")
    )
    return RequestMetadata(
        request_id=ids[0], deadline_ms=_deadline(request), host=name
    )


def request_id_text(request: message.Request) -> str:
    """Returns the caller's id of a request, for the log."""
    return request.value(REQUEST_ID).decode("latin-1")


def _deadline(request: message.Request) -> float | None:
    try:
        return max(0.0, float(request.value(_DEADLINE)))
    except ValueError:
        return None


@dataclasses.dataclass(frozen=True, kw_only=True)
class ForwardedRequest:
    """What all calls of one request have in common on the wire.

    Attributes:
        head: Its head, but for the headers that differ from call to call.
        body: Its body.
    """

    head: bytes
    body: bytes


def forwarded_request(request: message.Request) -> ForwardedRequest:
    """Returns what goes to each upstream that a request is sent to."""
    head = message.request_head(
        request.method,
        request.target,
        message.end_to_end_headers(request.headers, _OWN_HEADERS),
        len(request.body),
    )
    return ForwardedRequest(head=head, body=request.body)


def upstream_request(
    common: ForwardedRequest, upstream: traffic.Upstream, remaining_ms: float
) -> bytes:
    """Returns a request as it goes to one upstream."""
    return b"%sX-Request-Deadline: %d\r\nX-Expected-Instance: %s\r\n\r\n%s" % (
        common.head,
        max(1, remaining_ms),
        upstream.expected_id.encode(),
        common.body,
    )


def call_outcome(
    seen: httpclient.Outcome, is_part: bool
) -> callcommand.Outcome:
    """Reads what became of a call.

    Args:
        seen: What the connection saw of it.
        is_part: Whether its reply is to be part of a merged answer.
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
    """Reads what an upstream's reply says about the request.

    Args:
        reply: A whole reply.

    Returns:
        Its meaning. Only an explicit word of the upstream, or another
        upstream's at its address, says that the request has not run.
    """
    if reply.status == STATUS_MISDIRECTED:
        return callcommand.Outcome(
            kind=callcommand.OutcomeKind.NOT_RUN,
            reply=reply,
            reason="other_upstream",
        )
    if reply.value(_NOT_RUN):
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
    passable = signed and reply.status not in NOT_RUN_STATUSES
    if success or (passable and 400 <= reply.status < 500):
        return callcommand.Outcome(
            kind=callcommand.OutcomeKind.ANSWERED, reply=reply
        )
    return callcommand.Outcome(
        kind=callcommand.OutcomeKind.FAILED,
        reply=reply if passable else None,
        reason=f"status_{reply.status}",
    )


def part_outcome(reply: message.Reply) -> callcommand.Outcome:
    """Reads a reply that is to be part of a merged answer.

    A failure is no part, even where it would do as an answer of its own.
    """
    read = reply_outcome(reply)
    if read.kind is callcommand.OutcomeKind.ANSWERED and reply.status != 200:
        return _failed(f"status_{reply.status}")
    return read


def has_missing_parts(reply: message.Reply) -> bool:
    """Whether a merged answer leaves shards out."""
    return reply.value(_MISSING.lower()) not in (b"", b"0")


def signature(reply: message.Reply) -> bytes:
    """Returns the upstream's signature under a reply."""
    return reply.value(_SIGNATURE)


def relayed_part(signed: bytes, body: bytes) -> message.Reply:
    """Returns a part whose reply another instance has read.

    Args:
        signed: The upstream's signature.
        body: Its records, or the greatest of them.
    """
    return message.Reply(status=200, headers=((_SIGNATURE, signed),), body=body)


def _failed(reason: str) -> callcommand.Outcome:
    return callcommand.Outcome(
        kind=callcommand.OutcomeKind.FAILED, reason=reason
    )


def single_reply(reply: message.Reply) -> message.Reply:
    """Returns an upstream's reply as the caller gets it."""
    headers = message.end_to_end_headers(reply.headers, frozenset())
    return message.Reply(
        status=reply.status, headers=tuple(headers), body=reply.body
    )


def merged_reply(
    request_id: bytes,
    parts: tuple[message.Reply, ...],
    part_count: int,
    body: bytes,
) -> message.Reply:
    """Returns the answer that merges the replies of several shards."""
    signatures = b", ".join(each.value(_SIGNATURE) for each in parts)
    return message.Reply(
        status=200,
        headers=(
            (b"X-Request-Id", request_id),
            (b"Content-Type", b"application/octet-stream"),
            (_SIGNATURES, signatures),
            (_MISSING, b"%d" % (part_count - len(parts))),
        ),
        body=body,
    )
