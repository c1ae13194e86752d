"""The connections to one upstream, and the calls that wait for one."""

import asyncio
import collections
import collections.abc
import dataclasses
import errno

from hyssoptack.core import clock
from hyssoptack.core import timeouts
from hyssoptack.core import traffic
from hyssoptack.gateway import callrequest
from hyssoptack.gateway import connectionslots
from hyssoptack.gateway import poolcontext
from hyssoptack.http1 import httpclient
from hyssoptack.http1 import message

CONNECT_TIMEOUT_MS = 150.0
"""Longest wait for a new connection: 6 ms of handshake, 4 ms of network, and
some tens of milliseconds while this process is busy. A machine that is down
never answers, and a SYN packet that a full queue dropped is sent again only
after a second. After this timeout a call to another upstream is better, if
time is left before the latency goal (40 to 175 ms)."""

IDLE_MARGIN_RATIO = 0.6
"""Part of the upstream's idle timeout for which an idle connection is reused,
so that no request is sent while the upstream closes the connection."""

IDLE_DEFAULT_MS = 3_000.0
"""Idle time limit if the upstream states none."""

RECENT_USE_MS = 1_500.0
"""Maximum age of the last answer on a connection that is known to work: an
unresponsive one shows by then. Calls that must not fail use no older
connection."""

WITHDRAWN = "upstream_withdrawn"
"""Reason of a call that was not sent because its upstream may get no more
requests."""

EXIT_CHECK_TIMEOUT_MS = 50.0
"""Timeout of one connection attempt of a check whether an upstream has exited.
The machine of an exited upstream refuses a connection at once (0.2 to 4 ms for
the round trip); a running upstream accepts within 15 ms. If neither happens,
the upstream is unresponsive, which the timeouts of calls detect."""

EXIT_CHECK_COUNT = 3
"""Maximum number of connection attempts in one exit check. The operating system
of an exiting process may still accept a connection and reset it, and refuses
the next one."""

RESET_WAIT_MS = 2.0
"""Wait for a reset after a connection was accepted. If the connection is still
open after this wait, a running process has accepted it."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class PoolLoad:
    """The connections and waiting calls of one upstream.

    Attributes:
        used_count: Number of connections that are open or being opened.
        idle_count: Number of these that carry no call.
        limit_count: Number of connections that calls may open.
        waiting_count: Number of calls that wait for a connection.
        longest_wait_ms: Time for which the first of them has waited.
    """

    used_count: int
    idle_count: int
    limit_count: int
    waiting_count: int
    longest_wait_ms: float


class Call:
    """A call that waits for a connection or is in progress."""

    def __init__(
        self, upstream_pool: "UpstreamPool", job: callrequest.CallRequest
    ):
        self.job = job
        self._upstream_pool = upstream_pool
        self.connection: httpclient.UpstreamConnection | None = None
        self.task: asyncio.Task[None] | None = None
        self.created_ms = clock.now_ms()
        self.is_over = False

    def cancel(self) -> None:
        """Cancels the call and closes its connection; no outcome follows."""
        if self.is_over:
            return
        self.is_over = True
        if self.task is not None:
            self.task.cancel()
        if self.connection is not None:
            self.connection.close()
        self._upstream_pool.start_next_waiting()

    def complete(self, outcome: httpclient.Outcome) -> None:
        """Reports the outcome, unless the call is already over."""
        if self.is_over:
            return
        self.is_over = True
        self.job.on_outcome(outcome)


class UpstreamPool:
    """The connections to one upstream, and the calls that wait for one."""

    def __init__(
        self,
        context: poolcontext.PoolContext,
        upstream: traffic.Upstream,
        id_header: bytes,
    ):
        self._context = context
        self._upstream = upstream
        self._id_header = id_header
        # A malformed address, which a neighbour may have sent, has no listener.
        self._host, self._port = traffic.split_address(upstream.address) or (
            "",
            0,
        )
        self._idle: list[httpclient.UpstreamConnection] = []
        self._waiting: collections.deque[Call] = collections.deque()
        self.slots = connectionslots.Slots(self.start_next_waiting)
        self.is_withdrawn = False
        self._broken_calls: list[tuple[Call, httpclient.BrokenCall]] = []
        self._exit_check: asyncio.Task[None] | None = None

    @property
    def empty(self) -> bool:
        """Whether there are no connections, waiting calls or exit checks."""
        return not (self.slots.used_count or self._waiting or self._exit_check)

    @property
    def has_waiting(self) -> bool:
        """Whether calls wait, or did until they ended."""
        return bool(self._waiting)

    def load(self, now_ms: float) -> PoolLoad:
        """Returns the connections in use and the calls that wait."""
        since_ms = [
            each.created_ms for each in self._waiting if not each.is_over
        ]
        return PoolLoad(
            used_count=self.slots.used_count,
            idle_count=len(self._idle),
            limit_count=self.slots.limit_count,
            waiting_count=len(since_ms),
            longest_wait_ms=now_ms - min(since_ms, default=now_ms),
        )

    def start(self, job: callrequest.CallRequest) -> Call:
        """Starts a call, or queues it until a connection is free."""
        call = Call(self, job)
        connection = (
            None
            if job.needs_new_connection
            else self._pop_idle(job.needs_recent_connection)
        )
        if connection is not None:
            self._use(call, connection)
        elif self._make_room():
            self._open(call)
        else:
            self._waiting.append(call)
        return call

    def _pop_idle(
        self, needs_recent: bool
    ) -> httpclient.UpstreamConnection | None:
        now_ms = clock.now_ms()
        while self._idle:
            connection = self._idle[-1]
            age_ms = now_ms - connection.last_used_ms
            if needs_recent and age_ms > RECENT_USE_MS:
                return None
            self._idle.pop()
            if connection.reusable and age_ms < _idle_limit_ms(connection):
                return connection
            connection.close()
        return None

    def _make_room(self) -> bool:
        """Returns whether a connection may be opened.

        At the limit, the connection that was idle longest is closed first.
        """
        if not self.slots.has_room and self._idle:
            self._idle.pop(0).close()
        return self.slots.has_room

    def _open(self, call: Call) -> None:
        slot = self.slots.take()
        call.task = self._start_attempt(slot, self._connect(call, slot))

    def _start_attempt(
        self,
        slot: connectionslots.Slot,
        attempt: collections.abc.Coroutine[None, None, None],
    ) -> asyncio.Task[None]:
        """Starts a task that opens connections in a slot.

        Args:
            slot: The slot, which is released if none is open at the end. The
                task may be cancelled before its first step.
            attempt: Opens connections.
        """
        self._context.opened_count += 1
        task = asyncio.get_running_loop().create_task(attempt)
        task.add_done_callback(lambda _: slot.release_unless_open())
        return task

    async def _connect(self, call: Call, slot: connectionslots.Slot) -> None:
        due_ms = clock.now_ms() + CONNECT_TIMEOUT_MS
        connection = await self._open_connection(slot, CONNECT_TIMEOUT_MS)
        late_ms = clock.now_ms() - due_ms
        if connection is None and late_ms >= timeouts.STOP_MIN_MS:
            # It may have been accepted while this process stood still.
            connection = await self._open_connection(slot, CONNECT_TIMEOUT_MS)
        call.task = None
        match connection:
            case httpclient.UpstreamConnection():
                self._use(call, connection)
            case int(error):
                slot.release()
                reason = f"connect_failed_{error}"
                call.complete(httpclient.BrokenCall(reason=reason, sent=False))
            case None:
                slot.release()
                reason = "connect_timeout"
                call.complete(httpclient.BrokenCall(reason=reason, sent=False))

    async def _open_connection(
        self, slot: connectionslots.Slot, limit_ms: float
    ) -> httpclient.UpstreamConnection | int | None:
        """Opens a connection.

        Args:
            slot: The slot that the connection holds until it is lost.
            limit_ms: Timeout of the attempt.

        Returns:
            The connection; the system's error number if the attempt failed;
            None after a timeout.
        """
        slot.hold()
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(limit_ms / message.MS_PER_S):
                _, connection = await loop.create_connection(
                    lambda: httpclient.UpstreamConnection(
                        self._id_header, self._context.reply_memory
                    ),
                    self._host,
                    self._port,
                )
        except TimeoutError:
            return None
        except OSError as error:
            return error.errno or 0
        except ValueError:
            # The host is no name.
            return errno.EINVAL
        connection.on_lost = lambda: self._on_lost(connection, slot)
        slot.attach(connection)
        return connection

    # Exits of the upstream.

    async def _is_lost_at_once(
        self, found: httpclient.UpstreamConnection | int | None
    ) -> bool:
        """Returns whether a new connection is lost within `RESET_WAIT_MS`.

        The operating system resets connections that it accepted for a process
        that is exiting.
        """
        if not isinstance(found, httpclient.UpstreamConnection):
            return False
        await asyncio.sleep(RESET_WAIT_MS / message.MS_PER_S)
        return found.lost

    def _on_broken_call(
        self, call: Call, outcome: httpclient.BrokenCall
    ) -> None:
        """Starts a check whether the upstream exited after it broke a call.

        The outcome is reported after the check, as the next call depends on it.
        """
        self._broken_calls.append((call, outcome))
        if self._exit_check is None:
            slot = self.slots.take()
            self._exit_check = self._start_attempt(slot, self._check_exit(slot))

    async def _check_exit(self, slot: connectionslots.Slot) -> None:
        for _ in range(EXIT_CHECK_COUNT):
            found = await self._open_connection(slot, EXIT_CHECK_TIMEOUT_MS)
            if found != errno.ECONNRESET and not await self._is_lost_at_once(
                found
            ):
                break
        self._exit_check = None
        broken_calls, self._broken_calls = tuple(self._broken_calls), []
        exited = found == errno.ECONNREFUSED
        if exited:
            jobs = tuple(call.job for call, _ in broken_calls)
            self._context.on_upstream_exit(self._upstream, jobs)
        was_only_call = len(broken_calls) == 1
        for call, outcome in broken_calls:
            call.complete(
                dataclasses.replace(
                    outcome, upstream_exited=exited, was_only_call=was_only_call
                )
            )
        if isinstance(found, httpclient.UpstreamConnection):
            # The upstream is running: only the connection was closed.
            self._return_to_idle(found)

    def _on_lost(
        self,
        connection: httpclient.UpstreamConnection,
        slot: connectionslots.Slot,
    ) -> None:
        if connection in self._idle:
            self._idle.remove(connection)
        if slot.connection is connection:
            slot.release()

    def _use(
        self, call: Call, connection: httpclient.UpstreamConnection
    ) -> None:
        """Sends a call, unless its upstream turns out to have left."""
        self._context.run_when_current(lambda: self._send(call, connection))

    def _send(
        self, call: Call, connection: httpclient.UpstreamConnection
    ) -> None:
        if call.is_over:
            connection.close()
            return
        if self.is_withdrawn:
            # It left while the call waited for the connection or was held.
            connection.close()
            call.complete(httpclient.BrokenCall(reason=WITHDRAWN, sent=False))
            return
        call.connection = connection

        def on_ended(outcome: httpclient.Outcome) -> None:
            call.connection = None
            self._release_connection(connection)
            match outcome:
                case httpclient.BrokenCall(sent=True) if call.job.fingerprint:
                    self._on_broken_call(call, outcome)
                case _:
                    call.complete(outcome)

        job = call.job
        try:
            data = job.build_request()
        except Exception:
            connection.close()
            raise
        connection.send(data, job.request_id, job.is_head, on_ended)

    def _release_connection(
        self, connection: httpclient.UpstreamConnection
    ) -> None:
        # The parser may still be reading the bytes that held the reply and may
        # find surplus bytes, so the connection is checked after the parser has
        # returned.
        asyncio.get_running_loop().call_soon(self._return_to_idle, connection)

    def _return_to_idle(
        self, connection: httpclient.UpstreamConnection
    ) -> None:
        if connection.lost:
            return
        if not connection.reusable:
            connection.close()
            return
        self._idle.append(connection)
        self.start_next_waiting()

    def withdraw(self) -> None:
        """Fails the calls that wait for a connection; none was sent."""
        waiting = tuple(self._waiting)
        self._waiting.clear()
        for call in waiting:
            call.complete(httpclient.BrokenCall(reason=WITHDRAWN, sent=False))

    def start_next_waiting(self) -> None:
        """Starts the next waiting call if a connection is available."""
        while self._waiting and self._waiting[0].is_over:
            self._waiting.popleft()
        if not self._waiting:
            return
        call = self._waiting[0]
        connection = (
            None if call.job.needs_new_connection else self._pop_idle(False)
        )
        if connection is not None:
            self._waiting.popleft()
            self._use(call, connection)
        elif self._make_room():
            self._waiting.popleft()
            self._open(call)

    def close_idle(self, older_than_ms: float) -> None:
        """Closes connections that were idle for at least the given time."""
        now_ms = clock.now_ms()
        for connection in tuple(self._idle):
            if now_ms - connection.last_used_ms >= older_than_ms:
                self._idle.remove(connection)
                connection.close()

    def close_stale(self, now_ms: float) -> None:
        """Closes idle connections that the upstream may close soon."""
        for connection in tuple(self._idle):
            if now_ms - connection.last_used_ms >= _idle_limit_ms(connection):
                self._idle.remove(connection)
                connection.close()


def _idle_limit_ms(connection: httpclient.UpstreamConnection) -> float:
    return min(
        IDLE_DEFAULT_MS
        if connection.idle_limit_ms == float("inf")
        else connection.idle_limit_ms * IDLE_MARGIN_RATIO,
        # Upper limit, also if the upstream states a longer idle time.
        30_000.0,
    )
