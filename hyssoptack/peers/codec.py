"""Encoding of frames between instances: a version and numbered messages.

Frames are encoded as MessagePack by msgspec, and large frames are compressed.
A message that cannot be decoded is counted and dropped; the other messages of
its frame are still delivered.
"""

import dataclasses
import typing
import zlib

import expression
import msgspec

from hyssoptack.core import decoding

FRAME_VERSION = 1
FRAME_LIMIT_BYTES = 4_000_000

COMPRESS_MIN_BYTES = 2_000
"""Size from which frames are compressed. A list of 280 upstreams shrinks from
48 to some 9 KB, which small machines (7 Mbit/s) send 50 ms faster."""

COMPRESS_LEVEL = 1
"""The fastest level: lists and configurations are highly repetitive."""

_ZLIB_FIRST_BYTE = 0x78
"""First byte of zlib's format (RFC 1950); no plain frame begins with it."""

_ENCODER = msgspec.msgpack.Encoder()
_FRAME_DECODER = msgspec.msgpack.Decoder(
    tuple[int, list[tuple[int, msgspec.Raw]]]
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class DecodedFrame:
    """The result of decoding a frame.

    Attributes:
        messages: The messages that could be decoded.
        dropped_count: Number of messages that could not be decoded.
        reason: Error text of the first of these; empty if there are none.
    """

    messages: tuple[typing.Any, ...] = ()
    dropped_count: int = 0
    reason: str = ""


def encode_frame(encoded_messages: list[tuple[int, msgspec.Raw]]) -> bytes:
    """Encodes a frame of encoded messages, compressed if it is large."""
    data = _ENCODER.encode((FRAME_VERSION, encoded_messages))
    return compress(data) if len(data) >= COMPRESS_MIN_BYTES else data


def compress(data: bytes) -> bytes:
    """Compresses data with zlib."""
    return zlib.compress(data, COMPRESS_LEVEL)


def decompress(data: bytes) -> bytes | None:
    """Reverses `compress`; returns None for invalid or oversized data."""
    decompressor = zlib.decompressobj()
    try:
        plain = decompressor.decompress(data, FRAME_LIMIT_BYTES)
    except zlib.error:
        return None
    return plain if decompressor.eof else None


class Codec:
    """Encodes and decodes the messages of one kind of daemon."""

    def __init__(self, kinds: dict[int, type]):
        """Creates a codec.

        Args:
            kinds: The message types by number.
        """
        self._kinds = kinds
        self._numbers = {kind: number for number, kind in kinds.items()}
        self._decoders: dict[int, msgspec.msgpack.Decoder] = {}

    def encode(self, message: object) -> tuple[int, msgspec.Raw]:
        """Encodes one message for a frame; returns its kind and bytes."""
        return self._numbers[type(message)], msgspec.Raw(
            _ENCODER.encode(message)
        )

    def _decoder(self, number: int) -> msgspec.msgpack.Decoder:
        found = self._decoders.get(number)
        if found is None:
            found = msgspec.msgpack.Decoder(self._kinds[number])
            self._decoders[number] = found
        return found

    def decode(self, data: bytes) -> DecodedFrame:
        """Decodes a frame; invalid frames and messages never raise."""
        if len(data) > FRAME_LIMIT_BYTES:
            return DecodedFrame(dropped_count=1, reason="frame too large")
        if data[:1] == bytes([_ZLIB_FIRST_BYTE]):
            plain = decompress(data)
            if plain is None:
                return DecodedFrame(
                    dropped_count=1, reason="frame cannot be decompressed"
                )
            data = plain
        match decoding.decode(_FRAME_DECODER.decode, data):
            case expression.Result(tag="ok", ok=(version, encoded_messages)):
                pass
            case _:
                return DecodedFrame(
                    dropped_count=1, reason="frame cannot be decoded"
                )
        if version != FRAME_VERSION:
            return DecodedFrame(
                dropped_count=1, reason=f"unsupported frame version {version}"
            )
        messages: list[typing.Any] = []
        reason = ""
        for number, raw in encoded_messages:
            if number not in self._kinds:
                reason = reason or f"unknown message kind {number}"
                continue
            match decoding.decode(self._decoder(number).decode, raw):
                case expression.Result(tag="ok", ok=decoded):
                    messages.append(decoded)
                case _:
                    reason = (
                        reason or f"message of kind {number} cannot be decoded"
                    )
        return DecodedFrame(
            messages=tuple(messages),
            dropped_count=len(encoded_messages) - len(messages),
            reason=reason,
        )
