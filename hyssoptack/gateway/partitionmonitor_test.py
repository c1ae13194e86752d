"""A partitioned gateway leaves rotation and returns after the partition."""

import asyncio

from hyssoptack.gateway import gateway_test
from hyssoptack.gateway import harness
from hyssoptack.gateway import partitionmonitor
from hyssoptack.membership import partitiondetector
from hyssoptack.standins import ports


def test_a_partitioned_instance_leaves_rotation_until_the_partition_ends():
    async def test():
        async with harness.Site() as site:
            await site.add_upstream("i-0", "desk", zone="south")
            await site.add_upstream("i-1", "near", zone="north")
            near = {"prefix": "/near/", "service": "near"}
            site.configure(gateway_test.SINGLE, near)
            running = await site.start()
            alive = False

            async def probe(_address):
                return alive

            running._partition_monitor._probe = probe
            assert await site.readiness_status() == 200
            running._partition_detector.state = (
                partitiondetector.PartitionState.SUSPECTED
            )
            await asyncio.sleep(4 * partitionmonitor.CHECK_PERIOD_S)
            assert running._partition_detector.is_partitioned
            assert await site.readiness_status() == 503
            got = await site.get("/near/x", "r1")
            assert got.status == 200
            assert got.headers["connection"] == "close"
            # A request that needs another domain is refused at once until
            # callers are sent to that domain.
            got = await site.get("/one/x", "r1")
            assert got.status == 503
            assert float(got.headers["retry-after"]) > 1.5
            assert site.run_count("r1") == 1
            alive = True
            await asyncio.sleep(2 * partitionmonitor.PARTITIONED_CHECK_PERIOD_S)
            assert await site.readiness_status() == 200
            got = await site.get("/one/x", "r2")
            assert "connection" not in got.headers

    asyncio.run(test())


def test_a_refused_connection_counts_as_unreachable():
    # A partition may refuse all connections. If a refusal counted as a sign of
    # life, such a partition would not be detected (one lasted 5.6 s).
    address = f"127.0.0.1:{ports.free_port()}"
    assert not asyncio.run(partitionmonitor.accepts_connection(address))


def test_a_partition_notice_makes_neighbours_check_for_themselves():
    async def test():
        async with harness.Site() as site:
            await site.add_upstream("i-0", "desk", zone="south")
            site.configure(gateway_test.SINGLE)
            first = await site.start("g-1")
            second = await site.start("g-2")
            async with asyncio.timeout(6.0):
                while not first.reader_election.neighbours():
                    await asyncio.sleep(0.05)

            async def silence(_address):
                return False

            for each in (first, second):
                each._partition_monitor._probe = silence
            first._partition_detector.record_wait(
                partitiondetector.RemoteCallTally(sent_count=4), 200.0
            )
            async with asyncio.timeout(3.0):
                while not second._partition_detector.is_partitioned:
                    await asyncio.sleep(0.05)
            assert await site.readiness_status("g-2") == 503

    asyncio.run(test())
