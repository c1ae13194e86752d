"""Frames between instances: a version, and numbered messages.

The encoding is MessagePack by msgspec, compressed where a frame is large. A
message that can't be read is counted and left out; the others of its frame are
still taken.
"""

import dataclasses
import functools
import typing
import zlib

import msgspec

from hyssoptack.core import message

VERSION = 1
FRAME_LIMIT_BYTES = 4_000_000

COMPRESS_MIN_BYTES = 2_000
"""From here on frames are compressed: a list of 280 upstreams shrinks from 48
to some 9 KB, which small machines (7 Mbit/s) need 50 ms less for."""

COMPRESS_LEVEL = 1
"""The fastest level: lists and configurations repeat themselves a lot."""

_COMPRESSED_MARK = 0x78
"""First byte of zlib's format (RFC 1950); no frame begins with it else."""

KINDS: dict[int, type] = {
    1: message.SubQuery,
    2: message.SubAnswer,
    3: message.Cancel,
    4: message.ActionAsk,
    5: message.ActionReply,
    6: message.UpstreamNote,
    7: message.Heartbeat,
    8: message.ConfigWanted,
    9: message.ConfigOffer,
    12: message.ViewNotice,
    13: message.CallNotice,
    14: message.ViewWanted,
    15: message.InstancesNotice,
    16: message.CutNotice,
    17: message.QueryAsk,
    18: message.QueryTaken,
    19: message.QueryAnswer,
    20: message.QueryLeft,
}
"""Kinds by number. Numbers are never used again for another kind: 10 and 11
were notices with whole lists."""

_NUMBERS = {kind: number for number, kind in KINDS.items()}
_ENCODER = msgspec.msgpack.Encoder()
_FRAME_DECODER = msgspec.msgpack.Decoder(
    tuple[int, list[tuple[int, msgspec.Raw]]]
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Decoded:
    """What a frame held.

    Attributes:
        messages: The messages that could be read.
        dropped_count: How many could not.
        reason: Why the first of those could not.
    """

    messages: tuple[message.Message, ...] = ()
    dropped_count: int = 0
    reason: str = ""


@functools.cache
def _decoder(number: int) -> msgspec.msgpack.Decoder:
    return msgspec.msgpack.Decoder(KINDS[number])


def pack(each: message.Message) -> tuple[int, msgspec.Raw]:
    """Encodes one message, to be put in a frame."""
    return _NUMBERS[type(each)], msgspec.Raw(_ENCODER.encode(each))


def frame(packed: list[tuple[int, msgspec.Raw]]) -> bytes:
    """Encodes a frame of packed messages."""
    data = _ENCODER.encode((VERSION, packed))
    return compressed(data) if len(data) >= COMPRESS_MIN_BYTES else data


def compressed(data: bytes) -> bytes:
    """Compresses what is sent to many."""
    return zlib.compress(data, COMPRESS_LEVEL)


def expanded(data: bytes) -> bytes | None:
    """Undoes `compressed`; None for what is broken or far too large."""
    unpacker = zlib.decompressobj()
    try:
        plain = unpacker.decompress(data, FRAME_LIMIT_BYTES)
    except zlib.error:
        return None
    return plain if unpacker.eof else None


def read(data: bytes) -> Decoded:
    """Decodes a frame; whatever it holds, this never raises."""
    if len(data) > FRAME_LIMIT_BYTES:
        return Decoded(dropped_count=1, reason="frame too large")
    if data[:1] == bytes([_COMPRESSED_MARK]):
        plain = expanded(data)
        if plain is None:
            return Decoded(dropped_count=1, reason="frame can't be expanded")
        data = plain
    try:
        version, packed = _FRAME_DECODER.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return Decoded(dropped_count=1, reason="frame can't be read")
    if version != VERSION:
        return Decoded(dropped_count=1, reason=f"frame of version {version}")
    messages: list[typing.Any] = []
    reason = ""
    for number, raw in packed:
        if number not in KINDS:
            reason = reason or f"kind {number} is not known"
            continue
        try:
            messages.append(_decoder(number).decode(raw))
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
            reason = reason or f"message of kind {number} can't be read"
    return Decoded(
        messages=tuple(messages),
        dropped_count=len(packed) - len(messages),
        reason=reason,
    )
