"""HTTP requests and replies as immutable records, and their encoding."""

import dataclasses
import http

Header = tuple[bytes, bytes]
"""A header's name, in the case in which it was sent, and its value."""

HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)
"""Headers that apply to one connection only (RFC 9110, section 7.6.1)."""

NO_BODY_STATUSES = frozenset((204, 304))
MS_PER_S = 1000.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Request:
    """One complete request.

    Attributes:
        method: The method as sent.
        target: Path and query as sent.
        headers: All headers in order.
        body: The complete body, without its framing.
        received_ms: Time at which its first byte was received.
        keep_alive: Whether the caller wants to keep the connection open.
        is_first: Whether it is the first request on its connection.
    """

    method: bytes
    target: bytes
    # A header may hold the caller's key, so no record prints them.
    headers: tuple[Header, ...] = dataclasses.field(repr=False)
    body: bytes
    received_ms: float
    keep_alive: bool
    is_first: bool = False

    def values(self, name: bytes) -> list[bytes]:
        """Returns all values of a header; `name` must be in lower case."""
        return [value for key, value in self.headers if key.lower() == name]

    def value(self, name: bytes) -> bytes:
        """Returns a header's first value; empty if the header is absent."""
        found = self.values(name)
        return found[0] if found else b""

    @property
    def path(self) -> bytes:
        """The request target without its query."""
        return self.target.partition(b"?")[0]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Reply:
    """One complete reply.

    Attributes:
        status: The status code.
        headers: All headers in order.
        body: The complete body, without its framing.
    """

    status: int
    headers: tuple[Header, ...]
    body: bytes

    def value(self, name: bytes) -> bytes:
        """Returns a header's first value, or empty; `name` is in lower case."""
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return b""


FRAMING_BYTES = 60
"""Approximate size of a reply's status line and framing."""


def reply_size_bytes(reply: Reply) -> int:
    """Returns the approximate size of a reply on the wire."""
    head_bytes = sum(
        len(name) + len(value) + 4 for name, value in reply.headers
    )
    return FRAMING_BYTES + head_bytes + len(reply.body)


def end_to_end_headers(
    headers: tuple[Header, ...],
    excluded: frozenset[bytes],
    protected: frozenset[bytes],
) -> list[Header]:
    """Returns the headers to forward to the next hop.

    Args:
        headers: The received headers.
        excluded: Further header names to remove, in lower case.
        protected: Names in lower case of headers that are meant for the
            recipient, which a `Connection` header must not remove.

    Returns:
        The headers without those of the connection, of framing, and `excluded`.
    """
    connection_headers = {
        each.strip().lower()
        for key, value in headers
        if key.lower() == b"connection"
        for each in value.split(b",")
    }
    dropped = (
        HOP_BY_HOP
        | excluded
        | {b"content-length"}
        | (connection_headers - protected)
    )
    return [each for each in headers if each[0].lower() not in dropped]


def request_bytes(
    method: bytes, target: bytes, headers: list[Header], body: bytes
) -> bytes:
    """Serializes a request."""
    return request_head(method, target, headers, len(body)) + b"\r\n" + body


def request_head(
    method: bytes, target: bytes, headers: list[Header], body_bytes: int
) -> bytes:
    """Serializes a request's head, without the empty line that ends it."""
    lines = [b"%s %s HTTP/1.1" % (method, target)]
    lines.extend(b"%s: %s" % each for each in headers)
    if body_bytes or method in (b"POST", b"PUT", b"PATCH"):
        lines.append(b"Content-Length: %d" % body_bytes)
    return b"\r\n".join(lines) + b"\r\n"


def reply_bytes(reply: Reply, keep_alive: bool, is_head: bool = False) -> bytes:
    """Serializes a reply.

    Args:
        reply: The reply; its headers include no framing headers.
        keep_alive: Whether the connection stays open after the reply.
        is_head: Whether it answers a HEAD request, so that no body is sent.

    Returns:
        The reply's bytes.
    """
    try:
        phrase = http.HTTPStatus(reply.status).phrase
    except ValueError:
        phrase = "Unknown"
    lines = [b"HTTP/1.1 %d %s" % (reply.status, phrase.encode())]
    lines.extend(b"%s: %s" % each for each in reply.headers)
    if reply.status not in NO_BODY_STATUSES:
        lines.append(b"Content-Length: %d" % len(reply.body))
    if not keep_alive:
        lines.append(b"Connection: close")
    head = b"\r\n".join(lines) + b"\r\n\r\n"
    return head if is_head else head + reply.body


def problem_reply(
    status: int, reason: str, retry_after_ms: float | None = None
) -> Reply:
    """Builds an error reply that originates in this process.

    Args:
        status: The status code.
        reason: Identifier of the cause, for callers and logs.
        retry_after_ms: Delay for the Retry-After header; None omits it.

    Returns:
        The reply, with a short body of problem details (RFC 9457).
    """
    headers = [(b"Content-Type", b"application/problem+json")]
    if retry_after_ms is not None:
        seconds = b"%.3f" % (retry_after_ms / MS_PER_S)
        headers.append((b"Retry-After", seconds))
    body = b'{"status":%d,"reason":"%s"}' % (status, reason.encode())
    return Reply(status=status, headers=tuple(headers), body=body)
