"""Frames between instances: a version, and numbered messages.

The encoding is MessagePack by msgspec. A message that can't be read is counted
and left out; the others of its frame are still taken.
"""

import dataclasses
import functools
import typing

import msgspec

from hyssoptack.core import message

VERSION = 1
FRAME_LIMIT_BYTES = 4_000_000

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
    10: message.ViewNotice,
    11: message.SlowNotice,
}
"""Kinds by number. Numbers are never used again for another kind."""

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
    return _ENCODER.encode((VERSION, packed))


def read(data: bytes) -> Decoded:
    """Decodes a frame; whatever it holds, this never raises."""
    if len(data) > FRAME_LIMIT_BYTES:
        return Decoded(dropped_count=1, reason="frame too large")
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
