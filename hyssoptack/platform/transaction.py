"""The store's transactions in their encoded form."""

import msgspec

from hyssoptack.core import decoding


class Condition(msgspec.Struct):
    """A revision that a key must have; 0 if it must not exist."""

    key: str
    revision: decoding.Int64


class Write(msgspec.Struct):
    """A value to write; it is removed when its lease expires."""

    key: str
    value: bytes
    lease: decoding.Int64


class Transaction(msgspec.Struct):
    """Changes that are applied together, if all conditions hold."""

    expect: list[Condition]
    writes: list[Write]
    deletes: list[str]
