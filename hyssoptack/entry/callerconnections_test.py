"""Timeouts of connections of callers, with stops of the server."""

import contextlib
import http.client
import multiprocessing
import os
import signal
import socket
import threading
import time

import pytest

from hyssoptack.entry import callerconnections
from hyssoptack.standins import ports

TIMEOUT_S = 0.5
STOP_S = 1.2
CONNECTION_COUNT = 8
"""Below the number of idle connections that the library keeps open."""

REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"


def _application(_environ, start_response):
    start_response("200 OK", [("Content-Length", "2")])
    return [b"ok"]


def _new_server(port: int) -> callerconnections.CallerHTTPServer:
    return callerconnections.CallerHTTPServer(
        ("127.0.0.1", port),
        _application,
        numthreads=16,
        request_queue_size=64,
        timeout=TIMEOUT_S,
    )


def _serve(port: int) -> None:
    _new_server(port).start()


@contextlib.contextmanager
def _running_process():
    """Yields the process id and the port of a server that can be stopped."""
    port = ports.free_port()
    context = multiprocessing.get_context("spawn")
    process = context.Process(target=_serve, args=(port,))
    process.start()
    try:
        _wait_for_port(port)
        yield process.pid, port
    finally:
        process.kill()
        process.join()


def _wait_for_port(port: int) -> None:
    due_s = time.monotonic() + 10.0
    while time.monotonic() < due_s:
        with contextlib.suppress(ConnectionRefusedError):
            socket.create_connection(("127.0.0.1", port)).close()
            return
        time.sleep(0.02)
    raise TimeoutError("the server does not accept connections")


def _connect(port: int) -> socket.socket:
    return socket.create_connection(("127.0.0.1", port), timeout=5.0)


def _status(connection: socket.socket) -> int:
    """Returns the status of the next response; 0 if there is none."""
    response = http.client.HTTPResponse(connection)
    try:
        response.begin()
        response.read()
    except (http.client.HTTPException, OSError):
        return 0
    return response.status


def test_a_request_sent_around_a_stop_of_the_server_gets_its_response():
    # Guards against idle connections closed at the end of a stop, with a
    # request in them or on its way.
    with _running_process() as (pid, port):
        connections = [_connect(port) for _ in range(CONNECTION_COUNT)]
        for each in connections:
            each.sendall(REQUEST)
            assert _status(each) == 200
        os.kill(pid, signal.SIGSTOP)
        time.sleep(STOP_S)
        for each in connections[:4]:
            each.sendall(REQUEST)
        os.kill(pid, signal.SIGCONT)
        for each in connections[4:]:
            time.sleep(0.01)
            with contextlib.suppress(OSError):
                each.sendall(REQUEST)
        assert [_status(each) for each in connections] == [
            200
        ] * CONNECTION_COUNT


@pytest.mark.parametrize("sent_count", [0, 10])
def test_a_head_interrupted_by_a_stop_of_the_server_is_read_on(sent_count):
    # Guards against a 408 for a caller that stood still with the server.
    with _running_process() as (pid, port):
        connection = _connect(port)
        connection.sendall(REQUEST[:sent_count])
        time.sleep(0.1)
        os.kill(pid, signal.SIGSTOP)
        time.sleep(STOP_S)
        os.kill(pid, signal.SIGCONT)
        time.sleep(0.1)
        connection.sendall(REQUEST[sent_count:])
        assert _status(connection) == 200


@contextlib.contextmanager
def _running_thread():
    port = ports.free_port()
    server = _new_server(port)
    server.prepare()
    thread = threading.Thread(target=server.serve)
    thread.start()
    try:
        yield port
    finally:
        server.stop()
        thread.join()


def test_a_step_of_the_wall_clock_closes_no_connection(monkeypatch):
    # Guards against idle times that are measured by the wall clock.
    with _running_thread() as port:
        connection = _connect(port)
        connection.sendall(REQUEST)
        assert _status(connection) == 200
        time.sleep(0.1)
        wall_clock = time.time
        monkeypatch.setattr(time, "time", lambda: wall_clock() + 3.0)
        time.sleep(TIMEOUT_S / 2)
        connection.sendall(REQUEST)
        assert _status(connection) == 200


def test_an_idle_connection_is_closed_after_the_timeout():
    with _running_thread() as port:
        connection = _connect(port)
        connection.sendall(REQUEST)
        assert _status(connection) == 200
        started_s = time.monotonic()
        assert connection.recv(1) == b""
        assert TIMEOUT_S <= time.monotonic() - started_s < 2 * TIMEOUT_S
