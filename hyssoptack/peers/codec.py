"""Frames between instances: a version, and numbered messages.

The encoding is MessagePack by msgspec, compressed where a frame is large. A
message that can't be read is counted and left out; the others of its frame are
still taken.
"""

import dataclasses
import typing
import zlib

import msgspec

FRAME_VERSION = 1
FRAME_LIMIT_BYTES = 4_000_000

COMPRESS_MIN_BYTES = 2_000
"""From here on frames are compressed: a list of 280 upstreams shrinks from 48
to some 9 KB, which small machines (7 Mbit/s) need 50 ms less for."""

COMPRESS_LEVEL = 1
"""The fastest level: lists and configurations repeat themselves a lot."""

_COMPRESSED_MARK = 0x78
"""First byte of zlib's format (RFC 1950); no frame begins with it else."""

_ENCODER = msgspec.msgpack.Encoder()
_FRAME_DECODER = msgspec.msgpack.Decoder(
    tuple[int, list[tuple[int, msgspec.Raw]]]
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class DecodedFrame:
    """What a frame held.

    Attributes:
        messages: The messages that could be read.
        dropped_count: How many could not.
        reason: Why the first of those could not.
    """

    messages: tuple[typing.Any, ...] = ()
    dropped_count: int = 0
    reason: str = ""


def encode_frame(packed: list[tuple[int, msgspec.Raw]]) -> bytes:
    """Encodes a frame of packed messages."""
    data = _ENCODER.encode((FRAME_VERSION, packed))
    return compress(data) if len(data) >= COMPRESS_MIN_BYTES else data


def compress(data: bytes) -> bytes:
    """Compresses what is sent to many."""
    return zlib.compress(data, COMPRESS_LEVEL)


def decompress(data: bytes) -> bytes | None:
    """Undoes `compress`; None for what is broken or far too large."""
    unpacker = zlib.decompressobj()
    try:
        plain = unpacker.decompress(data, FRAME_LIMIT_BYTES)
    except zlib.error:
        return None
    return plain if unpacker.eof else None


class Codec:
    """Packs and reads the messages of one kind of daemon."""

    def __init__(self, kinds: dict[int, type]):
        """Makes a codec.

        Args:
            kinds: The messages' types by number.
        """
        self._kinds = kinds
        self._numbers = {kind: number for number, kind in kinds.items()}
        self._decoders: dict[int, msgspec.msgpack.Decoder] = {}

    def encode(self, each: object) -> tuple[int, msgspec.Raw]:
        """Encodes one message, to be put in a frame."""
        return self._numbers[type(each)], msgspec.Raw(_ENCODER.encode(each))

    def _decoder(self, number: int) -> msgspec.msgpack.Decoder:
        found = self._decoders.get(number)
        if found is None:
            found = msgspec.msgpack.Decoder(self._kinds[number])
            self._decoders[number] = found
        return found

    def decode(self, data: bytes) -> DecodedFrame:
        """Decodes a frame; whatever it holds, this never raises."""
        if len(data) > FRAME_LIMIT_BYTES:
            return DecodedFrame(dropped_count=1, reason="frame too large")
        if data[:1] == bytes([_COMPRESSED_MARK]):
            plain = decompress(data)
            if plain is None:
                return DecodedFrame(
                    dropped_count=1, reason="frame can't be expanded"
                )
            data = plain
        try:
            version, packed = _FRAME_DECODER.decode(data)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
            return DecodedFrame(dropped_count=1, reason="frame can't be read")
        if version != FRAME_VERSION:
            return DecodedFrame(
                dropped_count=1, reason=f"frame of version {version}"
            )
        messages: list[typing.Any] = []
        reason = ""
        for number, raw in packed:
            if number not in self._kinds:
                reason = reason or f"kind {number} is not known"
                continue
            try:
                messages.append(self._decoder(number).decode(raw))
            except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
                reason = reason or f"message of kind {number} can't be read"
        return DecodedFrame(
            messages=tuple(messages),
            dropped_count=len(packed) - len(messages),
            reason=reason,
        )
