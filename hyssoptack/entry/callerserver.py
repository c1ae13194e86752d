"""HTTP server for callers: checks requests and runs them on the event loop."""

import asyncio
import collections.abc
import concurrent.futures
import dataclasses
import re
import threading
import time
import urllib.parse

import expression
import msgspec
from cheroot import errors as cheroot_errors
from cheroot import wsgi

from hyssoptack.core import action
from hyssoptack.core import catalog
from hyssoptack.core import decoding
from hyssoptack.core import digits
from hyssoptack.core import query
from hyssoptack.core import refusal
from hyssoptack.entry import actioncoordinator
from hyssoptack.entry import callerconnections
from hyssoptack.entry import metrics
from hyssoptack.entry import querycoordinator
from hyssoptack.entry import responses
from hyssoptack.entry import state
from hyssoptack.events import log

MS_PER_S = 1000.0
HEADER_LIMIT_BYTES = 16_384
BACKLOG_COUNT = 512
TEXT_LIMIT_COUNT = 1_000
HIT_LIMIT_COUNT = 1_000
HIT_DEFAULT_COUNT = 10
DEADLINE_MIN_MS = 10
STARTING_RETRY_MS = 1_000

_ORIGIN = re.compile(r"^[A-Za-z][A-Za-z0-9+.-]*://[^/]*")
_SERVICE = r"/services/(?P<service>[^/]+)"
_SEARCH = re.compile(_SERVICE + r"/search")
_ACTIONS = re.compile(_SERVICE + r"/actions")
_OUTCOME = re.compile(_SERVICE + r"/actions/(?P<key>[^/]+)")
_UNREAD_BODY_REASONS = (
    refusal.Reason.TOO_LARGE,
    refusal.Reason.TIMEOUT_READING,
)
_KEY = re.compile(r"[\x21-\x7e]{1,255}")


class SearchBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """JSON body of a search request."""

    text: str
    limit: int = HIT_DEFAULT_COUNT
    deadline_ms: int | None = None
    class_: query.Urgency | None = msgspec.field(default=None, name="class")


class ActionBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """JSON body of an action request."""

    subject: str
    request: dict[str, object]
    deadline_ms: int | None = None


_SEARCH_DECODER = msgspec.json.Decoder(SearchBody)
_ACTION_DECODER = msgspec.json.Decoder(ActionBody)
_SORTED_ENCODER = msgspec.json.Encoder(order="sorted")


@dataclasses.dataclass(frozen=True, kw_only=True)
class Refused(Exception):
    """Ends a request with a refusal; raised and handled in this module only."""

    refusal: refusal.Refusal


def _refused(reason: refusal.Reason, detail: str) -> Refused:
    return Refused(
        refusal=refusal.Refusal(
            reason=reason, ran=refusal.Ran.NO, detail=detail
        )
    )


def _malformed(detail: str) -> Refused:
    return _refused(refusal.Reason.MALFORMED, detail)


_REQUEST = "hyssoptack.request"
"""Key of the HTTP library's request object in the WSGI environment."""


class _Gateway(wsgi.Gateway_10):
    """Passes the library's request object to the application.

    With it the application can close a connection whose body it has not read.
    """

    def get_environ(self) -> dict[str, object]:
        """Returns the WSGI environment with the library's request object."""
        return {**super().get_environ(), _REQUEST: self.req}


Environ = dict[str, object]
Work = collections.abc.Coroutine[object, object, responses.Response]


class CallerServer:
    """Serves the callers' port on a pool of threads."""

    def __init__(
        self,
        instance_state: state.InstanceState,
        queries: querycoordinator.QueryCoordinator,
        actions: actioncoordinator.ActionCoordinator,
        instance_metrics: metrics.Metrics,
        loop: asyncio.AbstractEventLoop,
    ):
        self._state = instance_state
        self._queries = queries
        self._actions = actions
        self._metrics = instance_metrics
        self._loop = loop
        self._lock = threading.Lock()
        self._open_count = 0
        self._is_ending = False
        self._running: set[concurrent.futures.Future[responses.Response]] = (
            set()
        )
        settings = instance_state.settings
        host, _, port = settings.front_address.rpartition(":")
        self._server = callerconnections.CallerHTTPServer(
            (host, int(port)),
            self._application,
            numthreads=settings.front.thread_count,
            request_queue_size=BACKLOG_COUNT,
            timeout=settings.front.client_timeout_ms / MS_PER_S,
            shutdown_timeout=1,
        )
        self._server.gateway = _Gateway
        self._server.max_request_header_size = HEADER_LIMIT_BYTES
        # The library's body limit stays unset: `_read` checks the size, so that
        # the response names the reason.
        self._thread = threading.Thread(target=self._server.serve, name="front")

    def start(self) -> None:
        """Opens the port."""
        self._server.prepare()
        self._thread.start()

    def stop(self) -> None:
        """Closes the port and stops its threads."""
        self._server.stop()
        self._thread.join()

    def end_requests(self) -> None:
        """Answers the requests in progress, because this process ends."""
        with self._lock:
            self._is_ending = True
            running = tuple(self._running)
        for each in running:
            each.cancel()

    def open_request_count(self) -> int:
        """Returns the number of requests received and not yet answered."""
        with self._lock:
            return self._open_count

    def _application(
        self, environ: Environ, start_response: collections.abc.Callable
    ) -> list[bytes]:
        with self._lock:
            self._open_count += 1
        try:
            response = self._respond(environ)
        finally:
            with self._lock:
                self._open_count -= 1
        headers = [
            *response.headers,
            ("Content-Length", str(len(response.body))),
        ]
        if self._state.is_leaving():
            headers.append(("Connection", "close"))
        start_response(responses.STATUS_LINES[response.status], headers)
        return [response.body]

    def _respond(self, environ: Environ) -> responses.Response:
        try:
            response = self._run(self._route(environ))
        except concurrent.futures.CancelledError:
            log.write(
                log.Event.REQUEST_ENDED,
                path=environ["REQUEST_URI"],
                status=504,
                reason="stopping",
            )
            return responses.refusal_response(
                refusal.Refusal(
                    reason=refusal.Reason.OUTCOME_UNKNOWN,
                    ran=refusal.Ran.UNKNOWN,
                    detail="this instance stops before the request has ended",
                )
            )
        except Refused as refused:
            if refused.refusal.reason in _UNREAD_BODY_REASONS:
                # Otherwise the library would first read the rest of the body.
                environ[_REQUEST].close_connection = True
            return responses.refusal_response(refused.refusal)
        except Exception as error:  # An internal error still gets a response.
            log.write(log.Event.REQUEST_FAULT, error=repr(error))
            return responses.refusal_response(
                refusal.Refusal(
                    reason=refusal.Reason.INTERNAL,
                    ran=refusal.Ran.UNKNOWN,
                    detail="a fault of ours; see the log",
                )
            )
        return response

    def _run(self, work: Work) -> responses.Response:
        """Runs a request on the event loop and waits for its response.

        Raises:
            concurrent.futures.CancelledError: `end_requests` was called.
        """
        future = asyncio.run_coroutine_threadsafe(work, self._loop)
        with self._lock:
            self._running.add(future)
            is_ending = self._is_ending
        if is_ending:
            future.cancel()
        try:
            return future.result()
        finally:
            with self._lock:
                self._running.discard(future)

    def _route(self, environ: Environ) -> Work:
        """Checks a request and returns the coroutine that executes it.

        Raises:
            Refused: The request is malformed or can't be served.
        """
        # `PATH_INFO` is decoded, which hides whether a slash is part of a name.
        uri = str(environ["REQUEST_URI"])
        path = _ORIGIN.sub("", uri.partition("?")[0])
        method = environ["REQUEST_METHOD"]
        if found := _SEARCH.fullmatch(path):
            _require_method(method, "POST")
            return self._search(_unquoted(found, "service"), environ)
        if found := _ACTIONS.fullmatch(path):
            _require_method(method, "POST")
            return self._submit_action(_unquoted(found, "service"), environ)
        if found := _OUTCOME.fullmatch(path):
            _require_method(method, "GET")
            return self._query_outcome(
                _unquoted(found, "service"), _unquoted(found, "key")
            )
        raise _refused(
            refusal.Reason.UNKNOWN_PATH,
            "paths are /services/NAME/search, /services/NAME/actions and "
            "/services/NAME/actions/KEY",
        )

    def _search(self, service_name: str, environ: Environ) -> Work:
        body = _decode(_SEARCH_DECODER, self._read(environ))
        deadline_ms = self._effective_deadline_ms(
            service_name, body.deadline_ms
        )
        if not 1 <= len(body.text) <= TEXT_LIMIT_COUNT:
            raise _malformed(f"text: 1 to {TEXT_LIMIT_COUNT} characters")
        if not 1 <= body.limit <= HIT_LIMIT_COUNT:
            raise _malformed(f"limit: 1 to {HIT_LIMIT_COUNT}")
        request = query.Query(
            query_id=self._queries.new_query_id(),
            service=service_name,
            text=body.text,
            limit_count=body.limit,
            urgency=body.class_ or self._profile(service_name).urgency,
            deadline_ms=deadline_ms,
        )
        return self._run_query(request)

    async def _run_query(self, request: query.Query) -> responses.Response:
        result = await self._queries.run_query(request)
        decided_s = time.perf_counter()
        match result:
            case query.Answer():
                return responses.answer_response(result)
            case refusal.Refusal():
                response = responses.refusal_response(result)
                elapsed_ms = (time.perf_counter() - decided_s) * MS_PER_S
                self._metrics.refusal_write_ms.observe({}, elapsed_ms)
                return response

    def _submit_action(self, service_name: str, environ: Environ) -> Work:
        key = str(environ.get("HTTP_IDEMPOTENCY_KEY", ""))
        if not _KEY.fullmatch(key):
            raise _malformed(
                "header Idempotency-Key: 1 to 255 visible ASCII characters"
            )
        body = _decode(_ACTION_DECODER, self._read(environ))
        deadline_ms = self._effective_deadline_ms(
            service_name, body.deadline_ms
        )
        if not 1 <= len(body.subject) <= TEXT_LIMIT_COUNT:
            raise _malformed(f"subject: 1 to {TEXT_LIMIT_COUNT} characters")
        self._require_actions(service_name)
        request = action.Action(
            idempotency_key=key,
            service=service_name,
            subject=body.subject,
            body_text=_SORTED_ENCODER.encode(body.request).decode(),
            deadline_ms=deadline_ms,
        )
        return self._run_action(request)

    async def _run_action(self, request: action.Action) -> responses.Response:
        return responses.outcome_response(
            await self._actions.run_action(request)
        )

    def _query_outcome(self, service_name: str, key: str) -> Work:
        # Called only for its checks of the instance and the service.
        self._effective_deadline_ms(service_name, None)
        self._require_actions(service_name)
        if not _KEY.fullmatch(key):
            raise _malformed("key: 1 to 255 visible ASCII characters")
        return self._run_outcome_query(service_name, key)

    async def _run_outcome_query(
        self, service_name: str, key: str
    ) -> responses.Response:
        outcome = await self._actions.read_outcome(service_name, key)
        return responses.outcome_response(outcome)

    def _require_actions(self, service_name: str) -> None:
        if not self._state.catalog.services[service_name].accepts_actions:
            raise _refused(
                refusal.Reason.WRONG_KIND,
                f"service {service_name} takes no actions",
            )

    def _profile(self, service_name: str) -> catalog.Profile:
        current = self._state.catalog
        return current.profiles[current.services[service_name].profile]

    def _effective_deadline_ms(
        self, service_name: str, requested_ms: int | None
    ) -> int:
        """Returns the effective deadline, after checks of instance and service.

        Args:
            service_name: Name of the requested service.
            requested_ms: The caller's deadline, at most the profile's; None for
                the profile's.

        Raises:
            Refused: The instance does not serve requests, the service is
                unknown, or the deadline is out of range.
        """
        if not self._state.accepts_requests():
            raise Refused(
                refusal=refusal.Refusal(
                    reason=refusal.Reason.STARTING,
                    ran=refusal.Ran.NO,
                    detail="this instance does not serve yet",
                    retry_after_ms=STARTING_RETRY_MS,
                )
            )
        current = self._state.catalog
        service = current.services.get(service_name)
        if service is None:
            raise _refused(
                refusal.Reason.UNKNOWN_SERVICE,
                f"no service {service_name!r}; there are: "
                + ", ".join(sorted(current.services)),
            )
        longest_ms = self._profile(service_name).deadline_ms
        if requested_ms is None:
            return longest_ms
        if not DEADLINE_MIN_MS <= requested_ms <= longest_ms:
            raise _malformed(
                f"deadline_ms: {DEADLINE_MIN_MS} to {longest_ms}, the "
                f"deadline of profile {service.profile}"
            )
        return requested_ms

    def _read(self, environ: Environ) -> bytes:
        limit = self._state.settings.front.body_limit_bytes
        length = digits.parse(str(environ.get("CONTENT_LENGTH") or ""))
        if length is None:
            raise _malformed("header Content-Length: the body's length")
        if length > limit:
            raise _refused(
                refusal.Reason.TOO_LARGE, f"the body may have {limit} bytes"
            )
        source = environ["wsgi.input"]
        try:
            raw = source.read(length)
        except (TimeoutError, OSError, cheroot_errors.MaxSizeExceeded):
            raise _refused(
                refusal.Reason.TIMEOUT_READING, "the body came too slowly"
            ) from None
        if len(raw) < length:
            raise _malformed("the body is shorter than Content-Length")
        return raw


def _unquoted(found: re.Match, group: str) -> str:
    return urllib.parse.unquote(found[group])


def _require_method(method: object, expected: str) -> None:
    if method != expected:
        raise _malformed(f"this path takes {expected}")


def _decode(decoder: msgspec.json.Decoder, raw: bytes):
    match decoding.decode(decoder.decode, raw):
        case expression.Result(tag="ok", ok=found):
            return found
        case expression.Result(error=detail):
            raise _malformed(f"body: {detail}")
