"""HTTP client for upstreams, based on aiohttp.

The project's style guide prescribes urllib3, but its calls can't be cancelled
in flight and each needs a thread; see docs/design/0001-upstream-client.md.
"""

import asyncio
import dataclasses

import aiohttp
import expression
import msgspec

from hyssoptack.core import action
from hyssoptack.core import catalog
from hyssoptack.core import clock
from hyssoptack.core import decoding
from hyssoptack.core import keyspace
from hyssoptack.core import message
from hyssoptack.core import query
from hyssoptack.core import timeouts

STATE_HEADER = "Upstream-State"
DRAINING = "draining"
STATUS_OK = 200
STATUS_CONFLICT = 409
STATUS_UNAVAILABLE = 503
CONNECT_TIMEOUT_MS = 250.0
MS_PER_S = 1000.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class SearchRequest:
    """JSON body of a search request to an upstream."""

    query_id: str
    service: str
    text: str
    limit: int
    version: int
    deadline_ms: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class SearchReply:
    """JSON body of an upstream's reply to a search.

    Also the reply of an upstream that does not hold the requested index
    version; `held` lists the versions that it holds.
    """

    query_id: str = ""
    version: int = 0
    held: tuple[int, ...] = ()
    low: int = 0
    high: int = 0
    hits: tuple[tuple[int, float, str], ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class ActRequest:
    """JSON body of a non-idempotent request to an upstream."""

    key: str
    attempt_id: str
    subject: str
    body: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class ActionReplyBody:
    """JSON body of an upstream's reply to a non-idempotent request."""

    receipt: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class DidRun:
    """The upstream ran the action and returned a receipt."""

    receipt: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class DidNotRun:
    """The upstream certainly did not run the action."""

    detail: str
    draining: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class MayHaveRun:
    """The request may have reached the upstream, but no valid reply came."""

    detail: str


ActionResult = DidRun | DidNotRun | MayHaveRun

_ENCODER = msgspec.json.Encoder()
_SEARCH_DECODER = msgspec.json.Decoder(SearchReply)
_ACT_DECODER = msgspec.json.Decoder(ActionReplyBody)


_CONNECT_TIMEOUT = aiohttp.ClientTimeout(
    total=None, sock_connect=CONNECT_TIMEOUT_MS / MS_PER_S
)


class UpstreamClient:
    """HTTP client that owns the connections to this instance's upstreams."""

    def __init__(self) -> None:
        connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=60.0)
        self._session = aiohttp.ClientSession(
            connector=connector, auto_decompress=False
        )

    async def close(self) -> None:
        """Closes all connections."""
        await self._session.close()

    async def search(
        self,
        upstream: catalog.Upstream,
        ask: message.UpstreamAsk,
        sub_query: message.SubQuery,
        remaining_ms: float,
    ) -> message.UpstreamReply:
        """Sends a search to an upstream.

        Args:
            upstream: Upstream to call.
            ask: Requested call.
            sub_query: Sub-query that the call belongs to.
            remaining_ms: Time left for the call, in milliseconds.

        Returns:
            The reply; a failed call is reported by its status, not raised.
        """
        body = SearchRequest(
            query_id=sub_query.query_id,
            service=sub_query.service,
            text=sub_query.text,
            limit=sub_query.limit_count,
            version=ask.index_version,
            deadline_ms=remaining_ms,
        )
        sent_ms = clock.now_ms()
        reached = True
        limit = timeouts.limit(max(remaining_ms, 1.0), timeouts.STOP_MIN_MS)
        try:
            async with (
                limit,
                self._session.post(
                    f"http://{upstream.address}/search",
                    data=_ENCODER.encode(body),
                    timeout=_CONNECT_TIMEOUT,
                ) as response,
            ):
                raw = await response.read()
                elapsed_ms = clock.now_ms() - sent_ms
                state = response.headers.get(STATE_HEADER, "")
                return _parse_search_response(
                    ask,
                    response.status,
                    state,
                    raw,
                    elapsed_ms,
                    sub_query.query_id,
                )
        except TimeoutError:
            status = message.CallStatus.TIMED_OUT
        except aiohttp.ClientConnectorError:
            reached = False
            status = message.CallStatus.FAILED
        except (aiohttp.ClientError, OSError):
            status = message.CallStatus.FAILED
        return message.UpstreamReply(
            call_id=ask.call_id,
            upstream_id=ask.upstream_id,
            status=status,
            service_ms=clock.now_ms() - sent_ms,
            reached_upstream=reached,
        )

    async def send_action(
        self,
        upstream: catalog.Upstream,
        request: action.Action,
        attempt_id: str,
        remaining_ms: float,
    ) -> ActionResult:
        """Sends a non-idempotent request once.

        The result is `DidNotRun` only if the connection failed or the upstream
        refused the request before running it.

        Args:
            upstream: Upstream to call.
            request: Action to send.
            attempt_id: Identifier of the attempt, sent to the upstream.
            remaining_ms: Time left for the call, in milliseconds.
        """
        body = ActRequest(
            key=request.idempotency_key,
            attempt_id=attempt_id,
            subject=request.subject,
            body=request.body_text,
        )
        call = asyncio.ensure_future(
            self._post_act(f"http://{upstream.address}/act", body)
        )
        try:
            if await timeouts.wait_until_done(call, remaining_ms):
                return call.result()
        finally:
            call.cancel()
        return MayHaveRun(detail="no answer from the upstream in time")

    async def _post_act(self, url: str, body: ActRequest) -> ActionResult:
        try:
            async with self._session.post(
                url, data=_ENCODER.encode(body), timeout=_CONNECT_TIMEOUT
            ) as response:
                raw = await response.read()
                return _parse_act_response(response, raw)
        except aiohttp.ClientConnectorError as error:
            return DidNotRun(detail=f"no connection to the upstream: {error}")
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            return MayHaveRun(detail=f"no answer from the upstream: {error!r}")


def _parse_search_response(
    ask: message.UpstreamAsk,
    http_status: int,
    state: str,
    raw: bytes,
    elapsed_ms: float,
    query_id: str,
) -> message.UpstreamReply:
    """Converts an upstream's response; one for another query is a failure."""
    failed = message.UpstreamReply(
        call_id=ask.call_id,
        upstream_id=ask.upstream_id,
        status=message.CallStatus.FAILED,
        service_ms=elapsed_ms,
        reached_upstream=True,
    )
    if http_status == STATUS_UNAVAILABLE:
        draining = state == DRAINING
        status = (
            message.CallStatus.DRAINING if draining else message.CallStatus.SHED
        )
        return dataclasses.replace(
            failed, status=status, reached_upstream=not draining
        )
    if http_status not in (STATUS_OK, STATUS_CONFLICT):
        return failed
    match decoding.decode(_SEARCH_DECODER.decode, raw):
        case expression.Result(tag="ok", ok=body):
            pass
        case _:
            return failed
    if body.query_id != query_id:
        return failed
    if http_status == STATUS_CONFLICT:
        return dataclasses.replace(
            failed,
            status=message.CallStatus.VERSION_MISSING,
            held_versions=body.held,
        )
    return message.UpstreamReply(
        call_id=ask.call_id,
        upstream_id=ask.upstream_id,
        status=message.CallStatus.ANSWERED,
        index_version=body.version,
        held_versions=body.held,
        key_range=keyspace.KeyRange(body.low, body.high),
        hits=tuple(query.Hit(*each) for each in body.hits),
        service_ms=elapsed_ms,
        reached_upstream=True,
        draining=state == DRAINING,
    )


def _parse_act_response(
    response: aiohttp.ClientResponse, raw: bytes
) -> ActionResult:
    draining = response.headers.get(STATE_HEADER, "") == DRAINING
    if response.status == STATUS_UNAVAILABLE:
        return DidNotRun(
            detail="the upstream shed the request", draining=draining
        )
    if response.status != STATUS_OK:
        return MayHaveRun(detail=f"the upstream answered {response.status}")
    match decoding.decode(_ACT_DECODER.decode, raw):
        case expression.Result(tag="ok", ok=body):
            return DidRun(receipt=body.receipt)
        case _:
            return MayHaveRun(detail="the upstream's answer can't be read")
