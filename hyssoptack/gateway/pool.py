"""Connections to upstreams: kept ones, new ones, and calls waiting for one."""

import asyncio
import collections
import collections.abc
import dataclasses
import errno

from hyssoptack.core import clock
from hyssoptack.core import traffic
from hyssoptack.http1 import httpclient
from hyssoptack.http1 import message

CONNECT_TIMEOUT_MS = 150.0
"""Longest wait for a connection: 6 ms of handshake, 4 ms of network, and some
tens while this process is busy. A dark machine never answers, and an opening
packet that a full queue dropped comes again after a second only: another
upstream is then better, while there is time to the goal (40 to 175 ms)."""

IDLE_MARGIN_RATIO = 0.6
"""A kept connection is used for this share of the time that its upstream keeps
it, so that the two do not cross."""

IDLE_DEFAULT_MS = 3_000.0
"""Idle time where the upstream says nothing of it."""

FRESH_MS = 1_500.0
"""A connection that answered this lately still works: silent ones show by then.
Calls that must not fail take no older one."""

SWEEP_S = 0.5

WITHDRAWN = "upstream_withdrawn"
"""Reason of a call that was not sent, as its upstream may get nothing more."""

CHECK_TIMEOUT_MS = 50.0
"""Longest look at whether an upstream has ended. One that has refuses at once
(0.2 to 4 ms for the way there and back); a living one accepts within 15 ms. Who
does neither is silent, which calls find out for themselves."""

LOOKS_COUNT = 3
"""Looks at most: a process that is just ending may reset a connection that its
system still took, and refuses the next."""

SETTLED_MS = 2.0
"""A connection that lasts so long was taken by a process that lives."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Job:
    """One call to make.

    Attributes:
        upstream: Whom to call.
        build_request: The whole request.
        request_id: The id that the reply must carry.
        is_head: Whether it is a HEAD request.
        needs_new_connection: Whether the request may run once only: never on a
            kept connection.
        needs_recent_connection: Whether only a connection that lately worked
            will do.
        on_outcome: Takes the outcome, once.
        fingerprint: Names the request's content; empty where nobody asks what
            an upstream had in hand when it ended.
    """

    upstream: traffic.Upstream
    build_request: collections.abc.Callable[[], bytes]
    request_id: bytes
    is_head: bool
    needs_new_connection: bool
    needs_recent_connection: bool
    on_outcome: httpclient.Sink
    fingerprint: str = ""


OnUpstreamExit = collections.abc.Callable[
    [traffic.Upstream, tuple[Job, ...]], None
]
"""Told of an upstream that has ended, and of the jobs that it had in hand."""


def _ignore(_upstream: traffic.Upstream, _jobs: tuple[Job, ...]) -> None:
    """Takes what nobody waits for."""


class Call:
    """A call in progress; cancelling it is final."""

    def __init__(self, lane: "_Lane", job: Job):
        self.job = job
        self._lane = lane
        self.connection: httpclient.UpstreamConnection | None = None
        self.task: asyncio.Task[None] | None = None
        self.is_over = False

    def cancel(self) -> None:
        """Gives the call up; its connection can't be used again."""
        if self.is_over:
            return
        self.is_over = True
        if self.task is not None:
            self.task.cancel()
        if self.connection is not None:
            self.connection.close()
        self._lane.released()

    def complete(self, outcome: httpclient.Outcome) -> None:
        """Hands the outcome over."""
        if self.is_over:
            return
        self.is_over = True
        self.job.on_outcome(outcome)


class Pools:
    """All lanes, one an upstream."""

    def __init__(self, id_header: bytes) -> None:
        self._id_header = id_header
        self._lanes: dict[str, _Lane] = {}
        self.opened_count = 0
        self.on_upstream_exit: OnUpstreamExit = _ignore

    def call(self, job: Job, connection_limit_count: int) -> Call:
        """Starts a call."""
        lane = self._lanes.get(job.upstream.upstream_id)
        if lane is None:
            lane = _Lane(self, job.upstream, self._id_header)
            self._lanes[job.upstream.upstream_id] = lane
        lane.limit_count = connection_limit_count
        return lane.start(job)

    def keep_only(self, upstream_ids: collections.abc.Container[str]) -> None:
        """Withdraws from all other upstreams: they get nothing new."""
        for upstream_id, lane in tuple(self._lanes.items()):
            if upstream_id not in upstream_ids:
                lane.close_idle(0.0)
                lane.withdraw()
                if lane.empty:
                    del self._lanes[upstream_id]

    async def sweep(self) -> None:
        """Closes connections that idled too long, while the pools are used."""
        while True:
            await asyncio.sleep(SWEEP_S)
            now_ms = clock.now_ms()
            for lane in self._lanes.values():
                lane.close_stale(now_ms)


class _Lane:
    """Connections to one upstream."""

    def __init__(
        self, pools: Pools, upstream: traffic.Upstream, id_header: bytes
    ):
        self._pools = pools
        self._upstream = upstream
        self._id_header = id_header
        host, _, port = upstream.address.rpartition(":")
        self._host = host
        self._port = int(port)
        self._idle: list[httpclient.UpstreamConnection] = []
        self._waiting: collections.deque[Call] = collections.deque()
        self._open_count = 0
        self.limit_count = 1
        self._broken: list[tuple[Call, httpclient.BrokenCall]] = []
        self._check: asyncio.Task[None] | None = None

    @property
    def empty(self) -> bool:
        """Whether nothing is open or waits here."""
        return not (self._open_count or self._waiting or self._check)

    def start(self, job: Job) -> Call:
        """Starts a call on a kept or a new connection, or once one is free."""
        call = Call(self, job)
        connection = (
            None
            if job.needs_new_connection
            else self._take_idle(job.needs_recent_connection)
        )
        if connection is not None:
            self._use(call, connection)
        elif self._make_room():
            self._open(call)
        else:
            self._waiting.append(call)
        return call

    def _take_idle(self, proven: bool) -> httpclient.UpstreamConnection | None:
        now_ms = clock.now_ms()
        while self._idle:
            connection = self._idle[-1]
            age_ms = now_ms - connection.last_used_ms
            if proven and age_ms > FRESH_MS:
                return None
            self._idle.pop()
            if connection.reusable and age_ms < _idle_limit_ms(connection):
                return connection
            connection.close()
        return None

    def _make_room(self) -> bool:
        if self._open_count >= self.limit_count and self._idle:
            self._idle.pop(0).close()
        return self._open_count < self.limit_count

    def _open(self, call: Call) -> None:
        self._open_count += 1
        self._pools.opened_count += 1
        call.task = asyncio.get_running_loop().create_task(self._connect(call))

    async def _connect(self, call: Call) -> None:
        connection = await self._connected(CONNECT_TIMEOUT_MS)
        call.task = None
        match connection:
            case httpclient.UpstreamConnection():
                self._use(call, connection)
            case int(error):
                reason = f"connect_failed_{error}"
                call.complete(httpclient.BrokenCall(reason=reason, sent=False))
                self.released()
            case None:
                reason = "connect_timeout"
                call.complete(httpclient.BrokenCall(reason=reason, sent=False))
                self.released()

    async def _connected(
        self, limit_ms: float
    ) -> httpclient.UpstreamConnection | int | None:
        """Opens a connection that was counted as open already.

        Args:
            limit_ms: The longest wait.

        Returns:
            The connection; the system's error number where it is refused, None
            where nothing was heard in time.
        """
        loop = asyncio.get_running_loop()
        connection = None
        try:
            async with asyncio.timeout(limit_ms / message.MS_PER_S):
                _, connection = await loop.create_connection(
                    lambda: httpclient.UpstreamConnection(self._id_header),
                    self._host,
                    self._port,
                )
        except TimeoutError:
            return None
        except OSError as error:
            return error.errno or 0
        finally:
            # Also when the call was cancelled meanwhile.
            if connection is None:
                self._open_count -= 1
        connection.on_lost = self._on_lost(connection)
        return connection

    # An upstream's end.

    async def _is_lost(
        self, found: httpclient.UpstreamConnection | int | None
    ) -> bool:
        """Whether a connection ends at once: its process ended under it."""
        if not isinstance(found, httpclient.UpstreamConnection):
            return False
        await asyncio.sleep(SETTLED_MS / message.MS_PER_S)
        return found.lost

    def _note_broken(self, call: Call, outcome: httpclient.BrokenCall) -> None:
        """Looks whether an upstream that broke a call off has ended.

        Its outcome waits for that, as what is sent next depends on it.
        """
        self._broken.append((call, outcome))
        if self._check is None:
            self._open_count += 1
            self._pools.opened_count += 1
            loop = asyncio.get_running_loop()
            self._check = loop.create_task(self._look())

    async def _look(self) -> None:
        for _ in range(LOOKS_COUNT):
            found = await self._connected(CHECK_TIMEOUT_MS)
            if found != errno.ECONNRESET and not await self._is_lost(found):
                break
            self._open_count += 1
        else:
            self._open_count -= 1
        self._check = None
        broken, self._broken = tuple(self._broken), []
        ended = found == errno.ECONNREFUSED
        if ended:
            jobs = tuple(call.job for call, _ in broken)
            self._pools.on_upstream_exit(self._upstream, jobs)
        alone = len(broken) == 1
        for call, outcome in broken:
            call.complete(
                dataclasses.replace(
                    outcome, upstream_exited=ended, was_only_call=alone
                )
            )
        if isinstance(found, httpclient.UpstreamConnection):
            # It lives: only the connection had ended.
            self._keep(found)
        else:
            self.released()

    def _on_lost(
        self, connection: httpclient.UpstreamConnection
    ) -> collections.abc.Callable[[], None]:
        def lost() -> None:
            self._open_count -= 1
            if connection in self._idle:
                self._idle.remove(connection)
            self.released()

        return lost

    def _use(
        self, call: Call, connection: httpclient.UpstreamConnection
    ) -> None:
        if call.is_over:
            connection.close()
            return
        call.connection = connection

        def ended(outcome: httpclient.Outcome) -> None:
            call.connection = None
            self._give_back(connection)
            match outcome:
                case httpclient.BrokenCall(sent=True) if call.job.fingerprint:
                    self._note_broken(call, outcome)
                case _:
                    call.complete(outcome)

        job = call.job
        connection.send(job.build_request(), job.request_id, job.is_head, ended)

    def _give_back(self, connection: httpclient.UpstreamConnection) -> None:
        # The parser may still be inside the bytes that brought the reply, and
        # may find more of them: look again when it is done.
        asyncio.get_running_loop().call_soon(self._keep, connection)

    def _keep(self, connection: httpclient.UpstreamConnection) -> None:
        if connection.lost:
            return
        if not connection.reusable:
            connection.close()
            return
        self._idle.append(connection)
        self.released()

    def withdraw(self) -> None:
        """Ends the calls that wait for a connection: none was sent."""
        waiting = tuple(self._waiting)
        self._waiting.clear()
        for call in waiting:
            call.complete(httpclient.BrokenCall(reason=WITHDRAWN, sent=False))

    def released(self) -> None:
        """Starts a call that waited for a connection."""
        while self._waiting and self._waiting[0].is_over:
            self._waiting.popleft()
        if not self._waiting:
            return
        call = self._waiting[0]
        connection = (
            None if call.job.needs_new_connection else self._take_idle(False)
        )
        if connection is not None:
            self._waiting.popleft()
            self._use(call, connection)
        elif self._make_room():
            self._waiting.popleft()
            self._open(call)

    def close_idle(self, older_than_ms: float) -> None:
        """Closes idle connections unused for longer than a time."""
        now_ms = clock.now_ms()
        for connection in tuple(self._idle):
            if now_ms - connection.last_used_ms >= older_than_ms:
                self._idle.remove(connection)
                connection.close()

    def close_stale(self, now_ms: float) -> None:
        """Closes the connections that their upstream may close soon."""
        for connection in tuple(self._idle):
            if now_ms - connection.last_used_ms >= _idle_limit_ms(connection):
                self._idle.remove(connection)
                connection.close()


def _idle_limit_ms(connection: httpclient.UpstreamConnection) -> float:
    return min(
        IDLE_DEFAULT_MS
        if connection.idle_limit_ms == float("inf")
        else connection.idle_limit_ms * IDLE_MARGIN_RATIO,
        30_000.0,
    )
