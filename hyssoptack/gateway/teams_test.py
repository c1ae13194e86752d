"""Keys and teams of callers, seen from callers and upstreams of a gateway."""

import asyncio
import contextlib
import dataclasses
import io
import json

import eliot

from hyssoptack.gateway import gateway_test
from hyssoptack.gateway import harness
from hyssoptack.gateway import requesthandler
from hyssoptack.http1 import message

KEY, OTHER_KEY = b"k-red-31415926", b"k-blue-27182818"
RED = {"name": "red", "api_keys": [KEY.decode()], "priority": 0}
BLUE = {"name": "blue", "api_keys": [OTHER_KEY.decode()]}
OPEN = {"prefix": "/open/", "service": "desk", "allow_anonymous": True}
FORGED = (b"X-Tenant-Id", b"forged")
CHANGE_LIMIT_S = 5.0


def bearer(key):
    return (b"Authorization", b"Bearer " + key)


@contextlib.contextmanager
def log_lines():
    """Collects everything that is logged, including tracebacks."""
    lines = io.StringIO()
    destination = eliot.FileDestination(file=lines)
    eliot.add_destinations(destination)
    try:
        yield lines
    finally:
        eliot.remove_destination(destination)


def logged(lines, field):
    """Returns the values of one field in all log lines that have it."""
    entries = [json.loads(line) for line in lines.getvalue().splitlines()]
    values = [each[field] for each in entries if field in each]
    return {tuple(v) if isinstance(v, list) else v for v in values}


async def _start_desk(site, *tenants, **changes):
    await site.add_upstream("i-0", "desk")
    site.configure(gateway_test.SINGLE, OPEN, tenants=[*tenants])
    started = await site.start(**changes)
    async with asyncio.timeout(CHANGE_LIMIT_S):
        while not started.view.upstreams:
            await asyncio.sleep(0.01)
    return started


async def wait_for_version(site, version, *names):
    async with asyncio.timeout(CHANGE_LIMIT_S):
        while any(site.gateways[n].view.version < version for n in names):
            await asyncio.sleep(0.02)


def upstream_fields(site, request_id=None):
    """Returns the header fields of the requests that upstreams received.

    Names are in lower case. If `request_id` is given, only of this request.
    """
    heads = [h for each in site.upstreams.values() for h in each.request_heads]
    requests = []
    for head in heads:
        lines = [line for line in head.split(b"\r\n")[1:] if line]
        fields = [line.split(b": ", 1) for line in lines]
        requests.append([(name.lower(), value) for name, value in fields])
    if request_id is None:
        return requests
    return [r for r in requests if (b"x-request-id", request_id) in r]


def assert_teams(site, request_id, team, count):
    """Asserts what upstreams saw of one request: its team and no key."""
    seen = upstream_fields(site, request_id)
    assert len(seen) == count
    for fields in seen:
        names = [name for name, _ in fields]
        assert b"authorization" not in names
        teams = [value for name, value in fields if name == b"x-tenant-id"]
        assert teams == ([team] if team else [])
        assert not any(
            KEY in value or OTHER_KEY in value for _, value in fields
        )


def run(test):
    """Runs an async test on its own event loop."""
    asyncio.run(test())


ACCEPTED = [
    (b"Bearer " + KEY,),
    (b"bearer " + KEY,),
    (b"BEARER   \t" + KEY + b"  ",),
]
REJECTED = [
    (),
    (b"",),
    (b"Bearer",),
    (b"Bearer ",),
    (b"Bearer unknown",),
    (b"Bearer " + KEY, b"Bearer " + KEY),
    (b"Bearer " + KEY, b"Bearer " + OTHER_KEY),
    (b"Bearer " + KEY + b", Bearer " + OTHER_KEY,),
    (b"Bearer " + KEY + b" " + OTHER_KEY,),
    (b"Basic " + KEY,),
    (KEY,),
    (b"Bearer" + KEY,),
    (b"Bearer " + KEY.upper(),),
    (b"Bearer " + b"x" * 8_192,),
    (b"Bearer \xff\xfe\xe9",),
]


def test_only_one_bearer_header_with_a_listed_key_identifies_a_caller():
    async def test():
        async with harness.Site() as site:
            started = await _start_desk(site, RED)
            # The limit of the harness is too low for a key of 8 KB.
            limits = started._caller_server.limits
            started._caller_server.limits = dataclasses.replace(
                limits, max_header_bytes=16_384
            )
            with log_lines() as lines:
                for number, values in enumerate((*ACCEPTED, *REJECTED)):
                    fields = tuple((b"authorization", v) for v in values)
                    got = await site.get("/one/x", f"r{number}", fields=fields)
                    accepted = number < len(ACCEPTED)
                    assert got.status == (200 if accepted else 401), values
                    assert site.run_count(f"r{number}") == accepted
                    opened = await site.get(
                        "/open/", f"o{number}", fields=fields
                    )
                    assert opened.status == 200, values
                    team = b"red" if accepted else b""
                    assert_teams(site, b"o%d" % number, team, 1)
            assert got.headers["www-authenticate"] == "Bearer"
            assert "retry-after" not in got.headers
            for secret in (KEY, OTHER_KEY, b"x" * 80):
                assert secret.decode() not in lines.getvalue()

    run(test)


def test_a_key_that_is_not_ascii_is_compared_as_utf_8():
    async def test():
        async with harness.Site() as site:
            key = "schlüssel"
            await _start_desk(site, {"name": "red", "api_keys": [key]})
            for encoding, status in (("utf-8", 200), ("latin-1", 401)):
                got = await site.get(
                    "/one/x", "r1", fields=(bearer(key.encode(encoding)),)
                )
                assert got.status == status

    run(test)


def test_a_head_above_the_limit_is_refused_without_a_key_in_the_log():
    async def test():
        async with harness.Site() as site:
            await _start_desk(site, RED)
            with log_lines() as lines:
                fields = (bearer(KEY + b"y" * 8_192),)
                got = await site.get("/one/x", "r1", fields=fields)
                assert got.status == 431
                # No request id: refused before the key is read.
                address = site.settings["gateway-1"].callers_address
                data = (
                    b"GET /one/x HTTP/1.1\r\nAuthorization: Bearer %s\r\n\r\n"
                )
                got = await harness.send_raw(address, data % KEY)
                assert got.status == 400
            assert lines.getvalue()
            assert KEY.decode() not in lines.getvalue()

    run(test)


def test_a_caller_can_not_choose_its_team():
    async def test():
        async with harness.Site() as site:
            await _start_desk(site, RED)
            forged = (FORGED, (b"x-tenant-id", b"blue"))
            await site.get("/one/x", "r1", fields=(*forged, bearer(KEY)))
            assert_teams(site, b"r1", b"red", 1)
            await site.get("/open/x", "r2", fields=forged)
            assert_teams(site, b"r2", b"", 1)

    run(test)


def test_a_caller_can_not_hide_its_team_by_a_connection_option():
    # Fields named by `Connection` are not forwarded; the team's was among them.
    async def test():
        async with harness.Site() as site:
            await _start_desk(site, RED)
            hidden = (b"Connection", b"close, X-Tenant-Id, Authorization")
            await site.get("/one/x", "r1", fields=(hidden, bearer(KEY)))
            assert_teams(site, b"r1", b"red", 1)

    run(test)


def test_an_unknown_path_is_answered_before_the_key_is_checked():
    async def test():
        async with harness.Site() as site:
            await _start_desk(site, RED)
            assert (await site.get("/none/x", "r1")).status == 404
            assert (await site.get("/one/x", "r2")).status == 401

    run(test)


def test_without_a_configuration_no_key_is_called_wrong():
    # A caller that gets 401 does not retry, although its key may be valid.
    async def test():
        async with harness.Site() as site:
            site.store.faults.down = True
            await site.start(ready=False)
            async with asyncio.timeout(harness.START_TIMEOUT_S):
                got = None
                while got is None:
                    with contextlib.suppress(ConnectionError):
                        got = await site.get(
                            "/one/x", "r1", fields=(bearer(b"any"),)
                        )
                    await asyncio.sleep(0.01)
            assert got.status == 503

    run(test)


def test_a_configuration_without_teams_forwards_both_headers():
    async def test():
        async with harness.Site() as site:
            await site.add_upstream("i-0", "desk")
            site.configure(gateway_test.SINGLE)
            await site.start()
            fields = (bearer(b"theirs"), FORGED)
            assert (await site.get("/one/x", "r0")).status == 200
            got = await site.get("/one/x", "r1", fields=fields)
            assert got.status == 200
            seen = upstream_fields(site, b"r1")[0]
            assert (b"authorization", b"Bearer theirs") in seen
            assert (b"x-tenant-id", b"forged") in seen

    run(test)


def test_changes_of_keys_and_names_are_in_force_within_the_bound():
    async def test():
        async with harness.Site() as site:
            await _start_desk(site, RED, BLUE)
            routes = (gateway_test.SINGLE, OPEN)

            async def team_after(request_id, *tenants):
                version = site.configure(*routes, tenants=[*tenants])
                await wait_for_version(site, version, "gateway-1")
                fields = (bearer(KEY),)
                got = await site.get("/one/x", request_id, fields=fields)
                if got.status == 200:
                    seen = dict(upstream_fields(site, request_id.encode())[0])
                    return seen[b"x-tenant-id"]
                return got.status

            renamed = {**RED, "name": "scarlet"}
            moved = {**BLUE, "api_keys": [KEY.decode()]}
            removed = {**RED, "api_keys": []}
            assert await team_after("r1", RED, BLUE) == b"red"
            assert await team_after("r2", renamed, BLUE) == b"scarlet"
            assert await team_after("r3", removed, moved) == b"blue"
            assert await team_after("r4", removed, BLUE) == 401
            assert await team_after("r5") == 401
            assert await team_after("r6", RED) == b"red"
            with log_lines() as lines:
                assert await team_after("r7", RED, moved) == b"red"
            assert "teams_ambiguous" in lines.getvalue()
            assert logged(lines, "teams") == {("blue",)}
            assert KEY.decode() not in lines.getvalue()

    run(test)


def test_an_older_version_does_not_bring_a_removed_key_back():
    async def test():
        async with harness.Site() as site:
            await _start_desk(site, RED)
            version = site.configure(gateway_test.SINGLE, tenants=[BLUE])
            await wait_for_version(site, version, "gateway-1")
            site._version -= 6
            site.configure(gateway_test.SINGLE, tenants=[RED])
            await asyncio.sleep(0.5)
            got = await site.get("/one/x", "r1", fields=(bearer(KEY),))
            assert got.status == 401

    run(test)


def test_the_teams_priority_decides_on_cold_upstreams():
    async def test():
        async with harness.Site() as site:
            site.warmup_per_s = 1_000.0
            started = await _start_desk(site, RED, BLUE)
            site.put_upstream_entry("i-0", "desk", cold_ms=8_000.0)
            async with asyncio.timeout(CHANGE_LIMIT_S):
                while not started.view.upstreams["i-0"].cold_ms:
                    await asyncio.sleep(0.02)
            seen = []
            allows = started._warmups.allows

            def observe(upstream, priority, now_ms):
                seen.append(priority)
                return allows(upstream, priority, now_ms)

            started._warmups.allows = observe
            for key, priority in ((KEY, 0), (OTHER_KEY, 1)):
                seen.clear()
                await site.get("/one/x", "r1", fields=(bearer(key),))
                assert set(seen) == {priority}

    run(test)


def test_metrics_show_no_key():
    async def test():
        async with harness.Site() as site:
            await _start_desk(site, RED)
            for key in (KEY, OTHER_KEY):
                await site.get("/one/x", "r1", fields=(bearer(key),))
            got = await harness.send_raw(
                site.settings["gateway-1"].metrics_address,
                b"GET /metrics HTTP/1.1\r\nHost: m\r\n\r\n",
            )
            assert b'status="401"' in got.body
            for key in (KEY, OTHER_KEY):
                assert key not in got.body

    run(test)


def test_a_fault_while_a_request_is_handled_logs_no_key(monkeypatch):
    async def test():
        async with harness.Site() as site:
            await _start_desk(site, RED)

            def fail(request):
                raise RuntimeError(f"not handled: {request}")

            def fail_later(_, request):
                # An error within the parser's callback would be answered
                # with 400 and not logged as a fault.
                asyncio.get_running_loop().call_soon(
                    fail, request.exchange.request
                )

            handler = requesthandler.RequestHandler
            monkeypatch.setattr(handler, "_identify_caller", fail_later)
            with log_lines() as lines, contextlib.suppress(TimeoutError):
                async with asyncio.timeout(0.3):
                    fields = (bearer(KEY),)
                    await site.get("/one/x", "r1", fields=fields)
            assert "not handled" in lines.getvalue()
            assert KEY.decode() not in lines.getvalue()

    run(test)


def test_a_request_record_prints_no_header_values():
    record = message.Request(
        method=b"GET",
        target=b"/",
        headers=(bearer(KEY),),
        body=b"",
        received_ms=0.0,
        keep_alive=True,
    )
    assert KEY.decode() not in repr(record)
