"""Quarantined requests persist in the platform's store."""

import asyncio
import time
import types

import expression
import msgspec

from hyssoptack.core import clock
from hyssoptack.gateway import gateway_crash_test
from hyssoptack.gateway import harness
from hyssoptack.gateway import quarantinestore
from hyssoptack.gateway import quarantinesync_test
from hyssoptack.http1 import message
from hyssoptack.platform import keyvalue
from hyssoptack.platform import storeformat

STORED_S = 8.0
"""Longer than a reader's period (5 s plus 15 %)."""


def _stored_keys(site):
    return [
        key
        for key in site.store._items
        if key.startswith(storeformat.BLOCKED_PREFIX)
    ]


async def _wait_until(condition):
    async with asyncio.timeout(STORED_S):
        while not condition():
            await asyncio.sleep(0.05)


async def _quarantine_one(site):
    """Sets up a site on which one request is quarantined and stored."""
    await gateway_crash_test.start_sharded_site(site)
    recorder = gateway_crash_test.CrashRecorder(site, b"/all/bad")
    await site.get("/all/bad", "bad-1", name="n1")
    await quarantinesync_test._wait_quarantined(site, "n1", "n2", "s1")
    await _wait_until(lambda: _stored_keys(site))
    return recorder


class _Store:
    """Accepts deletions as the platform's store does."""

    def __init__(self):
        self.deleted = []

    async def delete(self, keys):
        assert len(keys) <= keyvalue.TRANSACTION_LIMIT_COUNT
        self.deleted.extend(keys)
        return expression.Ok(None)


def test_more_cleared_requests_than_a_transaction_takes_are_all_deleted():
    # The store refused the whole call, again at each reading.
    registry = types.SimpleNamespace(
        newest_quarantined=lambda *_: [],
        merge_notice=lambda *_: None,
        was_cleared=lambda _: True,
    )
    store = _Store()
    stored = quarantinestore.QuarantineStore(registry, store, "q/")
    items = [
        keyvalue.Item(
            key=f"q/{number}",
            value=msgspec.json.encode(
                quarantinestore.StoredEntry(
                    fingerprint=str(number),
                    blocked_count=1,
                    until_unix_ms=0.0,
                    over_unix_ms=0.0,
                )
            ),
        )
        for number in range(70)
    ]
    asyncio.run(stored.reconcile(keyvalue.Listing(items, 1)))
    assert store.deleted == [each.key for each in items]


def test_an_entry_of_another_era_is_merged_at_the_same_revision():
    # Revisions are given out again after the store's return from a copy.
    merged = []
    registry = types.SimpleNamespace(
        newest_quarantined=lambda *_: [],
        merge_notice=lambda *each: merged.append(each),
        was_cleared=lambda _: False,
    )
    stored = quarantinestore.QuarantineStore(registry, _Store(), "q/")
    entry = quarantinestore.StoredEntry(
        fingerprint="f",
        blocked_count=1,
        until_unix_ms=0.0,
        over_unix_ms=0.0,
    )
    item = keyvalue.Item("q/f", msgspec.json.encode(entry), 7)
    for era, count in ((1, 1), (1, 1), (2, 2)):
        asyncio.run(stored.reconcile(keyvalue.Listing([item], 9, era)))
        assert len(merged) == count


def _put_entry(site, name, **changes):
    unix_ms = time.time() * message.MS_PER_S
    entry = {
        "fingerprint": name,
        "blocked_count": 2,
        "until_unix_ms": unix_ms + 60_000.0,
        "over_unix_ms": unix_ms + 120_000.0,
        **changes,
    }
    site.store.put(
        storeformat.BLOCKED_PREFIX + name, msgspec.json.encode(entry)
    )


def test_a_strange_quarantine_entry_ends_no_instance():
    # One readable entry with a count of some thousand ended every gateway of
    # the domain, again after each restart.
    async def test():
        async with harness.Site() as site:
            await site.add_upstream("u1", "shop")
            site.configure({"prefix": "/", "service": "shop"})
            for count in (10_000, 2**63 - 1, 2**53, 0, -1):
                _put_entry(site, f"count{count}", blocked_count=count)
            _put_entry(site, "other", fingerprint="x" * 100_000)
            _put_entry(site, "until", until_unix_ms=1e308, over_unix_ms=1e308)
            _put_entry(site, "past", until_unix_ms=-1e308, over_unix_ms=-1e308)
            _put_entry(site, "valid")
            await site.start("n1")
            known = quarantinesync_test._suspect_registry(site, "n1")
            await _wait_until(lambda: known.quarantined_count)
            assert set(known._quarantined) == {"count10000", "until", "valid"}
            assert not known._suspects
            assert await site.readiness_status("n1") == 200

    asyncio.run(test())


def test_a_quarantine_survives_the_restart_of_all_instances():
    async def test():
        async with harness.Site() as site:
            recorder = await _quarantine_one(site)
            for name in tuple(site.gateways):
                site.kill(name)
            await asyncio.sleep(0.2)
            site.gateways.clear()
            await site.start("n4")
            await site.start("s4", failure_domain="south")
            await quarantinesync_test._wait_quarantined(site, "n4", "s4")
            count = len(recorder.runs)
            for name in site.gateways:
                got = await site.get("/all/bad", f"bad-{name}", name=name)
                assert got.status == 502
            assert len(recorder.runs) == count

    asyncio.run(test())


def test_a_cleared_request_is_removed_and_not_quarantined_again():
    async def test():
        async with harness.Site() as site:
            await _quarantine_one(site)
            for name in site.gateways:
                known = quarantinesync_test._suspect_registry(site, name)
                (fingerprint,) = known._quarantined
                known.record_answer(fingerprint, clock.now_ms())
            await _wait_until(lambda: not _stored_keys(site))
            for name in site.gateways:
                known = quarantinesync_test._suspect_registry(site, name)
                assert not known.has_entries

    asyncio.run(test())


def test_instances_are_found_beside_stored_quarantines():
    async def test():
        async with harness.Site() as site:
            await _quarantine_one(site)
            await site.start("n3")
            await _wait_until(
                lambda: site.gateways["n3"].reader_election.instance_count == 4
            )

    asyncio.run(test())
