"""Tests of a whole gateway between simulated callers, upstreams and store."""

import asyncio
import dataclasses

import msgspec
import pytest

from hyssoptack.gateway import harness

SINGLE = {"prefix": "/one/", "service": "desk"}
ONCE = {"prefix": "/once/", "service": "desk", "route_type": "non_idempotent"}
SHARDS = {
    "prefix": "/all/",
    "fanout_services": ["s0", "s1", "s2", "s3"],
    "top_k": 3,
    "min_shard_fraction": 0.75,
}


def run(test):
    """Runs an async test on its own event loop."""
    asyncio.run(test)


async def _start_single_service(site: harness.Site, count: int = 2) -> None:
    for index in range(count):
        await site.add_upstream(f"i-{index}", "desk", b"booked" * 4)
    site.configure(SINGLE, ONCE)
    await site.start()


async def _start_sharded_service(site: harness.Site) -> None:
    for index in range(4):
        body = bytes([index]) * 16 + bytes([200 - index]) * 16 + b"rest"
        await site.add_upstream(f"i-{index}", f"s{index}", body)
    site.configure(SHARDS)
    await site.start()


def test_a_request_gets_the_upstreams_reply_unchanged():
    async def test():
        async with harness.Site() as site:
            await _start_single_service(site)
            reply = await site.get("/one/x?q=1", "r1")
            assert reply.status == 200
            assert reply.body == b"booked" * 4
            assert reply.headers["x-server-stamp"].endswith(".r1")
            sent = [h for s in site.upstreams.values() for h in s.request_heads]
            assert sent[0].startswith(b"GET /one/x?q=1 HTTP/1.1\r\n")
            assert b"X-Request-Deadline: " in sent[0]
            assert site.run_count("r1") == 1

    run(test())


def test_a_query_merges_the_greatest_records_of_all_shards():
    async def test():
        async with harness.Site() as site:
            await _start_sharded_service(site)
            reply = await site.get("/all/", "r1")
            expected = b"".join(bytes([b]) * 16 for b in (200, 199, 198))
            assert (reply.status, reply.body) == (200, expected)
            assert reply.headers["x-missing-parts"] == "0"
            assert len(reply.headers["x-part-stamps"].split(",")) == 4

    run(test())


def test_a_silent_shard_is_omitted_at_the_latency_goal():
    async def test():
        async with harness.Site() as site:
            await _start_sharded_service(site)
            site.upstreams["i-3"].behaviour.never = True
            started = asyncio.get_running_loop().time()
            reply = await site.get("/all/", "r1")
            took_s = asyncio.get_running_loop().time() - started
            assert reply.status == 200
            assert reply.headers["x-missing-parts"] == "1"
            assert took_s < 0.4

    run(test())


def test_a_query_below_the_coverage_floor_fails_without_retry_after():
    async def test():
        async with harness.Site() as site:
            await _start_sharded_service(site)
            for each in ("i-2", "i-3"):
                site.upstreams[each].behaviour.fail_count = 9
            reply = await site.get("/all/", "r1")
            assert reply.status == 502
            assert "retry-after" not in reply.headers

    run(test())


def test_a_non_idempotent_request_is_not_retried_after_a_reset():
    async def test():
        async with harness.Site() as site:
            await _start_single_service(site)
            for each in site.upstreams.values():
                each.behaviour.reset_count = 1
            reply = await site.get("/once/x", "r1", method="POST", body=b"book")
            assert reply.status == 502
            assert site.run_count("r1") == 1

    run(test())


def test_a_non_idempotent_request_is_retried_after_a_refusal():
    async def test():
        async with harness.Site() as site:
            await _start_single_service(site)
            for each in site.upstreams.values():
                each.behaviour.shed_count = 1
            reply = await site.get("/once/x", "r1", method="POST", body=b"book")
            assert reply.status == 200
            assert site.run_count("r1") == 1

    run(test())


def test_a_request_refused_by_all_upstreams_gets_503_and_never_runs():
    async def test():
        async with harness.Site() as site:
            await _start_single_service(site)
            for each in site.upstreams.values():
                each.behaviour.shed_count = 9
            reply = await site.get("/once/x", "r1", method="POST", body=b"book")
            assert reply.status == 503
            assert float(reply.headers["retry-after"]) > 0
            assert site.run_count("r1") == 0

    run(test())


def test_an_idempotent_request_is_retried_after_a_reset():
    async def test():
        async with harness.Site() as site:
            await _start_single_service(site)
            for each in site.upstreams.values():
                each.behaviour.reset_count = 1
            first = await site.get("/one/x", "r1")
            assert first.status == 502
            site.upstreams["i-0"].behaviour.reset_count = 1
            site.upstreams["i-1"].behaviour.reset_count = 0
            for number in range(4):
                reply = await site.get("/one/x", f"r1{number}")
                assert reply.status == 200

    run(test())


@pytest.mark.parametrize("fault", ["twice", "stale_first", "unframed"])
def test_a_reply_to_another_request_is_not_passed_on(fault):
    async def test():
        async with harness.Site() as site:
            await _start_single_service(site, 1)
            setattr(site.upstreams["i-0"].behaviour, fault, True)
            for number in range(6):
                reply = await site.get("/one/x", f"r{number}")
                assert reply.status == 200
                assert reply.body == b"booked" * 4
                assert reply.headers["x-server-stamp"].endswith(f".r{number}")

    run(test())


@pytest.mark.parametrize("fault", ["unsigned", "cut"])
def test_an_unsigned_or_truncated_success_is_not_passed_on(fault):
    async def test():
        async with harness.Site() as site:
            await _start_single_service(site, 1)
            setattr(site.upstreams["i-0"].behaviour, fault, True)
            reply = await site.get("/one/x", "r1")
            assert reply.status == 502

    run(test())


def test_a_request_does_not_run_at_an_address_reused_by_another_upstream():
    async def test():
        async with harness.Site() as site:
            await _start_single_service(site, 1)
            site.upstreams["i-0"].upstream_id = "i-other"
            reply = await site.get("/once/x", "r1", method="POST")
            assert reply.status == 503
            assert site.run_count("r1") == 0

    run(test())


def test_a_caller_that_disconnects_cancels_the_upstream_call():
    async def test():
        async with harness.Site() as site:
            await _start_single_service(site, 1)
            site.upstreams["i-0"].behaviour.never = True
            address = site.settings["gateway-1"].callers_address
            host, _, port = address.rpartition(":")
            _, writer = await asyncio.open_connection(host, int(port))
            writer.write(harness.request_bytes("/one/x", "r1"))
            await asyncio.sleep(0.1)
            writer.close()
            await asyncio.sleep(0.3)
            assert site.upstreams["i-0"].cancelled_count == 1

    run(test())


def test_a_persistent_connection_answers_pipelined_requests_in_order():
    async def test():
        async with harness.Site() as site:
            await _start_single_service(site, 1)
            address = site.settings["gateway-1"].callers_address
            host, _, port = address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            for number in range(3):
                writer.write(harness.request_bytes("/one/x", f"r{number}"))
            for number in range(3):
                reply = await harness.read_response(reader)
                assert reply.headers["x-request-id"] == f"r{number}"
            writer.close()

    run(test())


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"nonsense\r\n\r\n", 400),
        (b"GET /one/x HTTP/1.1\r\nHost: shop.example\r\n\r\n", 400),
        (
            b"POST /one/x HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: r\r\n"
            b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            400,
        ),
        (
            b"POST /one/x HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: r\r\n"
            b"Content-Length: 5000\r\n\r\n" + b"x" * 5000,
            413,
        ),
        (
            b"GET /one/x HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: r\r\n"
            b"X-Long: " + b"x" * 5000 + b"\r\n\r\n",
            431,
        ),
        (b"GET /one/x HTTP/1.1\r\nHost: shop", 408),
    ],
)
def test_invalid_input_gets_its_error_status_and_reaches_no_upstream(
    data, status
):
    async def test():
        async with harness.Site() as site:
            await _start_single_service(site, 1)
            address = site.settings["gateway-1"].callers_address
            reply = await harness.send_raw(address, data)
            assert reply.status == status
            assert not sum(
                map(len, (s.run_counts for s in site.upstreams.values()))
            )

    run(test())


def test_a_chunked_body_reaches_the_upstream_with_a_content_length():
    async def test():
        async with harness.Site() as site:
            await _start_single_service(site, 1)
            address = site.settings["gateway-1"].callers_address
            data = (
                b"POST /once/x HTTP/1.1\r\nHost: shop.example\r\n"
                b"X-Request-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n"
                b"4\r\nbook\r\n3\r\ning\r\n0\r\n\r\n"
            )
            reply = await harness.send_raw(address, data)
            assert reply.status == 200
            head = site.upstreams["i-0"].request_heads[0].lower()
            assert b"content-length: 7\r\n" in head
            assert b"transfer-encoding" not in head

    run(test())


def test_requests_get_503_and_not_404_before_a_configuration_is_read():
    async def test():
        async with harness.Site() as site:
            await site.start(ready=False)
            await asyncio.sleep(0.3)
            assert await site.readiness_status() == 503
            assert (await site.get("/one/x", "r1")).status == 503
            await site.add_upstream("i-0", "desk")
            site.configure(SINGLE)
            await site.wait_ready()
            await asyncio.sleep(1.5)
            assert (await site.get("/one/x", "r2")).status == 200
            assert (await site.get("/none/x", "r3")).status == 404

    run(test())


def test_a_newer_configuration_is_applied_and_an_older_one_is_not():
    async def test():
        async with harness.Site() as site:
            await _start_single_service(site, 1)
            version = site.configure({**SINGLE, "prefix": "/new/"})
            await asyncio.sleep(0.3)
            assert (await site.get("/new/x", "r1")).status == 200
            assert (await site.get("/one/x", "r2")).status == 404
            site._version = 0
            assert site.configure(SINGLE) < version
            await asyncio.sleep(0.3)
            assert (await site.get("/new/x", "r3")).status == 200

    run(test())


def test_a_draining_upstream_gets_no_new_requests():
    async def test():
        async with harness.Site() as site:
            await _start_single_service(site)
            site.put_upstream_entry("i-0", "desk", state="draining")
            await asyncio.sleep(1.5)
            before = sum(site.upstreams["i-0"].run_counts.values())
            for number in range(10):
                reply = await site.get("/one/x", f"r{number}")
                assert reply.status == 200
            assert sum(site.upstreams["i-0"].run_counts.values()) == before

    run(test())


def test_entries_lost_in_an_outage_are_kept_for_their_return_only():
    # Guards against calls to an upstream that the store has lost, beyond the
    # time in which it can register again.
    async def test():
        async with harness.Site() as site:
            await _start_single_service(site, 1)
            site.store.faults.down = True
            await asyncio.sleep(2.6)
            site.store.remove("servers/i-0")
            site.store.faults.down = False
            await asyncio.sleep(1.2)
            assert (await site.get("/one/x", "r1")).status == 200
            await asyncio.sleep(2.4)
            assert (await site.get("/one/x", "r2")).status == 503

    run(test())


def test_a_silent_store_stops_no_request_and_is_read_again_once_it_answers():
    async def test():
        async with harness.Site() as site:
            await _start_single_service(site, 1)
            site.store.faults.silent = True
            await asyncio.sleep(1.5)
            assert (await site.get("/one/x", "r1")).status == 200
            assert await site.readiness_status() == 200
            site.store.faults.silent = False
            site.configure({**SINGLE, "prefix": "/new/"})
            await asyncio.sleep(3.0)
            assert (await site.get("/new/x", "r2")).status == 200

    run(test())


def test_a_traffic_split_keeps_its_weights():
    async def test():
        async with harness.Site() as site:
            await site.add_upstream("i-0", "a")
            await site.add_upstream("i-1", "b")
            site.configure(
                {
                    "prefix": "/one/",
                    "traffic_split": [
                        {"service": "a", "weight": 0.7},
                        {"service": "b", "weight": 0.3},
                    ],
                }
            )
            await site.start()
            for number in range(20):
                await site.get("/one/x", f"r{number}")
            assert sum(site.upstreams["i-0"].run_counts.values()) == 14

    run(test())


def test_a_planned_stop_finishes_requests_in_progress():
    async def test():
        async with harness.Site() as site:
            await _start_single_service(site, 1)
            site.upstreams["i-0"].behaviour.delay_ms = 500
            first = asyncio.create_task(site.get("/one/x", "r1"))
            await asyncio.sleep(0.1)
            site.gateways["gateway-1"].stop()
            await asyncio.sleep(0.05)
            assert await site.readiness_status() == 503
            second = asyncio.create_task(site.get("/one/x", "r2"))
            reply = await first
            assert reply.status == 200
            assert reply.headers["connection"] == "close"
            assert (await second).status == 200

    run(test())


def test_a_reload_applies_valid_settings_and_ignores_invalid_ones(tmp_path):
    async def test():
        async with harness.Site() as site:
            await _start_single_service(site, 1)
            running = site.gateways["gateway-1"]
            path = tmp_path / "settings.yaml"
            running._path = str(path)
            settings = site.settings["gateway-1"]
            changed = dataclasses.replace(settings, crossing_ratio=4.0)
            path.write_bytes(msgspec.json.encode(changed))
            running.reload()
            assert running._load_balancer.settings.crossing_ratio == 4.0
            path.write_text("callers_address: nowhere")
            running.reload()
            assert running._load_balancer.settings.crossing_ratio == 4.0
            assert (await site.get("/one/x", "r1")).status == 200

    run(test())


def test_metrics_count_requests_calls_and_latency():
    async def test():
        async with harness.Site() as site:
            await _start_single_service(site, 1)
            await site.get("/one/x", "r1")
            address = site.settings["gateway-1"].metrics_address
            reply = await harness.send_raw(
                address, b"GET /metrics HTTP/1.1\r\nHost: m\r\n\r\n"
            )
            page = reply.body.decode()
            assert (
                'hyssoptack_requests_total{route="route-0",status="200"} 1'
                in page
            )
            assert "hyssoptack_request_ms_bucket" in page
            assert 'hyssoptack_gateway{name="version"} 3' in page

    run(test())
