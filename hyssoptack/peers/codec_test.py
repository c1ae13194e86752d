"""Fuzz tests of the peer codec: invalid input is counted, never raised."""

import msgspec
from hypothesis import given
from hypothesis import strategies

from hyssoptack.core import gatewaymessage
from hyssoptack.core import message
from hyssoptack.core import query
from hyssoptack.peers import codec

_CODEC = codec.Codec(message.KINDS)
_NOTE = message.UpstreamNote(upstream_id="a", draining=True, observer="b")


def test_every_message_kind_has_one_number():
    numbers = [*message.KINDS, *gatewaymessage.KINDS]
    kinds = [*message.KINDS.values(), *gatewaymessage.KINDS.values()]
    assert len(set(numbers)) == len(numbers) == len(set(kinds))
    assert _CODEC.decode(
        codec.encode_frame([_CODEC.encode(_NOTE)])
    ).messages == (_NOTE,)


@given(strategies.binary(max_size=400))
def test_arbitrary_bytes_never_raise(data):
    decoded = _CODEC.decode(data)
    # Only a frame without messages yields neither messages nor an error.
    assert decoded.messages or decoded.dropped_count or _is_empty_frame(data)


def _is_empty_frame(data):
    plain = codec.decompress(data) if data[:1] == b"\x78" else data
    return msgspec.msgpack.decode(plain) == [codec.FRAME_VERSION, []]


def test_a_frame_without_messages_yields_nothing():
    frame = codec.encode_frame([])
    assert _is_empty_frame(frame)
    assert _CODEC.decode(frame) == codec.DecodedFrame()


@given(strategies.data())
def test_a_damaged_frame_never_raises(data):
    hits = (query.Hit(1, 0.5, "Baguette"),)
    reply = message.UpstreamReply(
        call_id=1,
        upstream_id="a",
        status=message.CallStatus.ANSWERED,
        hits=hits,
    )
    whole = message.SubAnswer(origin="a", query_id="q", replies=(reply,))
    raw = bytearray(
        codec.encode_frame([_CODEC.encode(whole), _CODEC.encode(_NOTE)])
    )
    for _ in range(data.draw(strategies.integers(1, 4))):
        position = data.draw(strategies.integers(0, len(raw) - 1))
        raw[position] = data.draw(strategies.integers(0, 255))
    _CODEC.decode(bytes(raw))


def test_other_versions_unknown_kinds_and_large_frames_are_dropped():
    packed = [_CODEC.encode(_NOTE)]
    other = msgspec.msgpack.encode((codec.FRAME_VERSION + 1, packed))
    assert _CODEC.decode(other).dropped_count == 1
    unknown = codec.encode_frame([(99, msgspec.Raw(b"\x80")), *packed])
    decoded = _CODEC.decode(unknown)
    assert (decoded.messages, decoded.dropped_count) == ((_NOTE,), 1)
    large = _CODEC.decode(b"\x00" * (codec.FRAME_LIMIT_BYTES + 1))
    assert large.dropped_count == 1
