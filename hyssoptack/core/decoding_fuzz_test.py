"""Damaged data, for all that reads bytes from outside the process."""

import json
import math
import random
import re
import types

import msgspec
import pytest

from hyssoptack.core import gatewaymessage
from hyssoptack.core import message
from hyssoptack.entry import callerserver
from hyssoptack.entry import claimstore
from hyssoptack.gateway import peering
from hyssoptack.gateway import quarantinestore
from hyssoptack.gateway import replicatedview
from hyssoptack.gateway import storewatch
from hyssoptack.membership import readerelection
from hyssoptack.peers import codec
from hyssoptack.platform import keyvalue
from hyssoptack.platform import storeformat
from hyssoptack.relay import client
from hyssoptack.reports import timeline
from hyssoptack.revisions import configuration
from hyssoptack.revisions import store
from hyssoptack.settings import gateway

DEPTHS = (1_200, 100_000)
NUMBERS = (b"100000000000000000000", b"1e400", b"-1", b'"3"', b"null", b"0.5")
TEXTS = (b'"\\ud800"', b'"\xff"', b'"\x00"', b"{}", b"[]")
RANDOM_COUNT = 150

SERVER = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "north",
    "slots": 3,
    "state": "ready",
    "warmup_remaining_ms": 5.0,
    "born": 7,
}
PEER = {
    "instance_id": "g",
    "failure_domain": "north",
    "address": "10.0.0.2:1",
    "link_mbps": 5.0,
}
BLOCKED = {
    "fingerprint": "f",
    "blocked_count": 2,
    "until_unix_ms": 1.0,
    "over_unix_ms": 2.0,
}
CONFIGURATION = {
    "version": 3,
    "routes": [
        {
            "name": "r",
            "host": "h",
            "prefix": "/",
            "route_type": "idempotent",
            "timeout_ms": 5,
            "target_latency_ms": 3,
            "priority": 1,
            "max_attempts": 2,
            "fanout_services": ["s"],
            "top_k": 4,
        }
    ],
    "services": [{"name": "s", "max_connections": 4, "warmup_s": 1.0}],
    "limits": {
        "max_header_bytes": 1,
        "max_body_bytes": 2,
        "header_timeout_ms": 3,
        "idle_timeout_ms": 4,
    },
    "tenants": [{"name": "t", "api_keys": ["k"], "priority": 1}],
}
PAGE = {
    "items": [{"key": "k", "value": "eA==", "revision": 3}],
    "current_rev": 3,
    "has_more": False,
}
SETTINGS = {"instance_id": "g", "lease_ms": 5.0}


def damaged(document):
    """Yields a document's bytes with all kinds of damage."""
    data = json.dumps(document).encode()
    rng = random.Random(1)
    yield b""
    for depth in DEPTHS:
        for opening in (b"[", b'{"a":'):
            yield opening * depth
            yield b'{"x": ' + opening * depth
    for found in re.finditer(rb'(?<=: )("[^"]*"|[0-9.]+)', data):
        for value in (*NUMBERS, *TEXTS, b"[" * DEPTHS[0]):
            yield data[: found.start()] + value + data[found.end() :]
    for _ in range(RANDOM_COUNT):
        yield data[: rng.randrange(len(data))]
        at = rng.randrange(len(data))
        yield data[:at] + rng.randbytes(rng.randint(1, 3)) + data[at + 1 :]


def item(key, value):
    return keyvalue.Item(key=key, value=value, revision=3)


def read_upstream(data):
    """Reads an entry; an accepted one is encoded for the neighbours."""
    found = storeformat.parse_upstream("servers/i", data)
    if found.is_ok():
        msgspec.msgpack.encode(found.ok)


def read_configuration(data):
    found = storeformat.parse_configuration(data)
    if found.is_ok():
        msgspec.msgpack.encode((found.ok.version, found.ok.routes))


def read_peer(data):
    readers = readerelection.ReaderElection(
        "g0", "north", readerelection.read_timings(3_000.0)
    )
    settings = types.SimpleNamespace(failure_domain="north")
    view = replicatedview.ReplicatedView(
        load_balancer=None, pools=None, on_configuration=None
    )
    peers = peering.Peering(settings, view, readers, None, None)
    watcher = storewatch.StoreWatcher(
        settings, view, None, peers, lambda _: None, None
    )
    listed = item(storeformat.PEER_PREFIX + "g", data)
    watcher._apply_instances(keyvalue.Listing([listed], 3))
    msgspec.msgpack.encode(readers.neighbours())


def read_blocked(data):
    stored = quarantinestore.QuarantineStore(None, None, "b/")
    stored._merge_entry = msgspec.msgpack.encode
    stored._merge_entries(keyvalue.Listing([item("b/f", data)], 1))


def read_body(data):
    try:
        callerserver._decode(callerserver._SEARCH_DECODER, data)
    except callerserver.Refused:
        # The caller gets a 400.
        return


def read_claim(data):
    claimstore.parse_claim(store.Stored(value=data, version=1))


def read_receipt(data):
    response = types.SimpleNamespace(status=client.STATUS_OK, headers={})
    client._parse_act_response(response, data)


READERS = [
    (read_upstream, SERVER),
    (read_configuration, CONFIGURATION),
    (read_peer, PEER),
    (read_blocked, BLOCKED),
    (lambda data: keyvalue._decode(keyvalue._PAGE, data), PAGE),
    (lambda data: keyvalue._decode(keyvalue._CHANGES, data), PAGE),
    (gateway.parse, SETTINGS),
    (read_body, {"text": "t", "limit": 3}),
    (read_claim, {"key": "k", "state": 1}),
    (store._decode_stored, {"value": "v", "version": 1}),
    (configuration.decode_manifest, {"revision": 1}),
    (read_receipt, {"receipt": "r"}),
    (
        lambda data: timeline.read([data.decode("utf-8", "replace")]),
        {"message_type": "m", "timestamp": 1.0},
    ),
    (codec.Codec({}).decode, PAGE),
]


@pytest.mark.parametrize(("read", "document"), READERS)
def test_damaged_data_from_outside_ends_no_reader(read, document):
    # One entry that was nested 1,200 deep, or had a number of over 64 bits,
    # ended all gateways, again after each restart.
    for data in damaged(document):
        read(data)


VIEW = {
    "sender_id": "g",
    "sender_address": "a:1",
    "version": 1,
    "configuration": b"",
    "revision": 1,
    "change": {"base_digest": 1, "digest": 1},
    "run_id": 1,
}


@pytest.mark.parametrize(
    "value", [math.nan, math.inf, -math.inf, 1e308, -1e308]
)
@pytest.mark.parametrize("field", ["sent_ms", "list_age_ms", "grace_ms"])
def test_a_message_with_a_number_that_is_not_finite_is_dropped(field, value):
    # One notice with an infinite time of sending broke the handling of each
    # later notice of its sender.
    notices = codec.Codec({12: gatewaymessage.ViewNotice})
    body = msgspec.Raw(msgspec.msgpack.encode(VIEW | {field: value}))
    assert not notices.decode(codec.encode_frame([(12, body)])).messages
    body = msgspec.Raw(msgspec.msgpack.encode(VIEW | {field: 5.0}))
    assert notices.decode(codec.encode_frame([(12, body)])).messages


def _floats(schema):
    """Yields the float types in a type's JSON schema."""
    match schema:
        case {"type": "number"}:
            yield schema
        case dict():
            for each in schema.values():
                yield from _floats(each)
        case list():
            for each in schema:
                yield from _floats(each)


@pytest.mark.parametrize("kinds", [gatewaymessage.KINDS, message.KINDS])
def test_each_floating_point_number_in_a_message_has_bounds(kinds):
    found = list(_floats(msgspec.json.schema_components(kinds.values())[1]))
    assert found
    assert all({"minimum", "maximum"} <= each.keys() for each in found)
