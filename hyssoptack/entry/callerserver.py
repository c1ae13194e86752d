"""The callers' port: HTTP by cheroot; checks input, hands work to the loop."""

import asyncio
import collections.abc
import dataclasses
import re
import socket
import threading
import time
import urllib.parse

import msgspec
from cheroot import errors as cheroot_errors
from cheroot import wsgi

from hyssoptack.core import action
from hyssoptack.core import catalog
from hyssoptack.core import query
from hyssoptack.core import refusal
from hyssoptack.entry import actioncoordinator
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

_SERVICE = r"/services/(?P<service>[^/]+)"
_SEARCH = re.compile(_SERVICE + r"/search")
_ACTIONS = re.compile(_SERVICE + r"/actions")
_OUTCOME = re.compile(_SERVICE + r"/actions/(?P<key>[^/]+)")
_BODY_UNREAD = (refusal.Reason.TOO_LARGE, refusal.Reason.TIMEOUT_READING)
_KEY = re.compile(r"[\x21-\x7e]{1,255}")


class SearchBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The JSON body of a search."""

    text: str
    limit: int = HIT_DEFAULT_COUNT
    deadline_ms: int | None = None
    class_: query.Urgency | None = msgspec.field(default=None, name="class")


class ActionBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The JSON body of an action."""

    subject: str
    request: dict[str, object]
    deadline_ms: int | None = None


_SEARCH_DECODER = msgspec.json.Decoder(SearchBody)
_ACTION_DECODER = msgspec.json.Decoder(ActionBody)
_SORTED_ENCODER = msgspec.json.Encoder(order="sorted")


@dataclasses.dataclass(frozen=True, kw_only=True)
class Refused(Exception):
    """Ends a request early with a refusal; never leaves this module."""

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
"""Where the HTTP library's own request stands in the environment."""


class _Gateway(wsgi.Gateway_10):
    """Lets the application end a connection whose body it has not read."""

    def get_environ(self) -> dict[str, object]:
        """Returns the environment with the library's request in it."""
        return {**super().get_environ(), _REQUEST: self.req}


Environ = dict[str, object]
Work = collections.abc.Coroutine[object, object, responses.Response]


class CallerServer:
    """Owns the callers' socket and the threads that serve it."""

    def __init__(
        self,
        knowledge: state.InstanceState,
        queries: querycoordinator.QueryCoordinator,
        actions: actioncoordinator.ActionCoordinator,
        counts: metrics.Metrics,
        loop: asyncio.AbstractEventLoop,
    ):
        self._state = knowledge
        self._queries = queries
        self._actions = actions
        self._metrics = counts
        self._loop = loop
        self._lock = threading.Lock()
        self._open_count = 0
        settings = knowledge.settings
        host, _, port = settings.front_address.rpartition(":")
        self._server = wsgi.Server(
            (host, int(port)),
            self._application,
            numthreads=settings.front.thread_count,
            request_queue_size=BACKLOG_COUNT,
            timeout=settings.front.client_timeout_ms / MS_PER_S,
            shutdown_timeout=1,
        )
        self._server.gateway = _Gateway
        self._server.max_request_header_size = HEADER_LIMIT_BYTES
        # The body limit is checked here, so that the answer names the reason.
        self._thread = threading.Thread(target=self._server.serve, name="front")

    def start(self) -> None:
        """Opens the port."""
        self._server.prepare()
        self._server.socket.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_NODELAY, 1
        )
        self._thread.start()

    def stop(self) -> None:
        """Closes the port and ends its threads."""
        self._server.stop()
        self._thread.join()

    def open_request_count(self) -> int:
        """Returns the requests that were read and are not yet answered."""
        with self._lock:
            return self._open_count

    def _application(
        self, environ: Environ, start_response: collections.abc.Callable
    ) -> list[bytes]:
        with self._lock:
            self._open_count += 1
        try:
            page = self._page(environ)
        finally:
            with self._lock:
                self._open_count -= 1
        headers = [
            *page.headers,
            ("Content-Length", str(len(page.body))),
        ]
        if self._state.is_leaving():
            headers.append(("Connection", "close"))
        start_response(responses.STATUS_LINES[page.status], headers)
        return [page.body]

    def _page(self, environ: Environ) -> responses.Response:
        try:
            work = self._work(environ)
            page = asyncio.run_coroutine_threadsafe(work, self._loop).result()
        except Refused as refused:
            if refused.refusal.reason in _BODY_UNREAD:
                # The library would wait for the rest of the body first.
                environ[_REQUEST].close_connection = True
            return responses.refusal_response(refused.refusal)
        except Exception as error:  # A fault of ours must still be answered.
            log.write(log.Event.REQUEST_FAULT, error=repr(error))
            return responses.refusal_response(
                refusal.Refusal(
                    reason=refusal.Reason.INTERNAL,
                    ran=refusal.Ran.UNKNOWN,
                    detail="a fault of ours; see the log",
                )
            )
        return page

    def _work(self, environ: Environ) -> Work:
        """Checks a request and returns what is to be run on the loop."""
        path = urllib.parse.unquote(str(environ["PATH_INFO"]))
        method = environ["REQUEST_METHOD"]
        if found := _SEARCH.fullmatch(path):
            _want_method(method, "POST")
            return self._search(found["service"], environ)
        if found := _ACTIONS.fullmatch(path):
            _want_method(method, "POST")
            return self._act(found["service"], environ)
        if found := _OUTCOME.fullmatch(path):
            _want_method(method, "GET")
            return self._look_up(found["service"], found["key"])
        raise _refused(
            refusal.Reason.UNKNOWN_PATH,
            "paths are /services/NAME/search, /services/NAME/actions and "
            "/services/NAME/actions/KEY",
        )

    def _search(self, service_name: str, environ: Environ) -> Work:
        body = _decoded(_SEARCH_DECODER, self._read(environ))
        deadline_ms = self._deadline(service_name, body.deadline_ms)
        if not 1 <= len(body.text) <= TEXT_LIMIT_COUNT:
            raise _malformed(f"text: 1 to {TEXT_LIMIT_COUNT} characters")
        if not 1 <= body.limit <= HIT_LIMIT_COUNT:
            raise _malformed(f"limit: 1 to {HIT_LIMIT_COUNT}")
        asked = query.Query(
            query_id=self._queries.new_query_id(),
            service=service_name,
            text=body.text,
            limit_count=body.limit,
            urgency=body.class_ or self._profile(service_name).urgency,
            deadline_ms=deadline_ms,
        )
        return self._run_query(asked)

    async def _run_query(self, asked: query.Query) -> responses.Response:
        result = await self._queries.run_query(asked)
        decided_s = time.perf_counter()
        match result:
            case query.Answer():
                return responses.answer_response(result)
            case refusal.Refusal():
                page = responses.refusal_response(result)
                took_ms = (time.perf_counter() - decided_s) * MS_PER_S
                self._metrics.refusal_write_ms.observe({}, took_ms)
                return page

    def _act(self, service_name: str, environ: Environ) -> Work:
        key = str(environ.get("HTTP_IDEMPOTENCY_KEY", ""))
        if not _KEY.fullmatch(key):
            raise _malformed(
                "header Idempotency-Key: 1 to 255 visible ASCII characters"
            )
        body = _decoded(_ACTION_DECODER, self._read(environ))
        deadline_ms = self._deadline(service_name, body.deadline_ms)
        if not 1 <= len(body.subject) <= TEXT_LIMIT_COUNT:
            raise _malformed(f"subject: 1 to {TEXT_LIMIT_COUNT} characters")
        self._want_actions(service_name)
        asked = action.Action(
            idempotency_key=key,
            service=service_name,
            subject=body.subject,
            body_text=_SORTED_ENCODER.encode(body.request).decode(),
            deadline_ms=deadline_ms,
        )
        return self._run_action(asked)

    async def _run_action(self, asked: action.Action) -> responses.Response:
        return responses.outcome_response(await self._actions.run_action(asked))

    def _look_up(self, service_name: str, key: str) -> Work:
        self._deadline(service_name, None)
        self._want_actions(service_name)
        if not _KEY.fullmatch(key):
            raise _malformed("key: 1 to 255 visible ASCII characters")
        return self._run_look_up(service_name, key)

    async def _run_look_up(
        self, service_name: str, key: str
    ) -> responses.Response:
        outcome = await self._actions.read_outcome(service_name, key)
        return responses.outcome_response(outcome)

    def _want_actions(self, service_name: str) -> None:
        if not self._state.catalog.services[service_name].accepts_actions:
            raise _refused(
                refusal.Reason.WRONG_KIND,
                f"service {service_name} takes no actions",
            )

    def _profile(self, service_name: str) -> catalog.Profile:
        current = self._state.catalog
        return current.profiles[current.services[service_name].profile]

    def _deadline(self, service_name: str, wanted_ms: int | None) -> int:
        """Returns the deadline: the profile's, or the caller's shorter one."""
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
        if wanted_ms is None:
            return longest_ms
        if not DEADLINE_MIN_MS <= wanted_ms <= longest_ms:
            raise _malformed(
                f"deadline_ms: {DEADLINE_MIN_MS} to {longest_ms}, the "
                f"deadline of profile {service.profile}"
            )
        return wanted_ms

    def _read(self, environ: Environ) -> bytes:
        limit = self._state.settings.front.body_limit_bytes
        length = str(environ.get("CONTENT_LENGTH") or "")
        if not length.isdigit():
            raise _malformed("header Content-Length: the body's length")
        if int(length) > limit:
            raise _refused(
                refusal.Reason.TOO_LARGE, f"the body may have {limit} bytes"
            )
        source = environ["wsgi.input"]
        try:
            raw = source.read(int(length))
        except (TimeoutError, OSError, cheroot_errors.MaxSizeExceeded):
            raise _refused(
                refusal.Reason.TIMEOUT_READING, "the body came too slowly"
            ) from None
        if len(raw) < int(length):
            raise _malformed("the body is shorter than Content-Length")
        return raw


def _want_method(method: object, wanted: str) -> None:
    if method != wanted:
        raise _malformed(f"this path takes {wanted}")


def _decoded(decoder: msgspec.json.Decoder, raw: bytes):
    try:
        return decoder.decode(raw)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise _malformed(f"body: {error}") from None
