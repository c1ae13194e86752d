"""Decodes bytes from outside this process, which may hold anything."""

import collections.abc
import typing

import expression
import msgspec

T = typing.TypeVar("T")

Int64 = typing.Annotated[int, msgspec.Meta(ge=-(2**63), le=2**63 - 1)]
"""An integer that messages between instances can hold."""

FINITE_MAX = 1e15
"""Bound of `Finite`; as a time in milliseconds it is 30,000 years."""

Finite = typing.Annotated[float, msgspec.Meta(ge=-FINITE_MAX, le=FINITE_MAX)]
"""A number that stays finite when it is added to others. Messages between
instances, unlike JSON, can hold infinite numbers and NaN."""

COUNT_MAX = 2**53 - 1

Count = typing.Annotated[int, msgspec.Meta(ge=0, le=COUNT_MAX)]
"""A number of things; floating-point numbers hold it exactly."""

PositiveCount = typing.Annotated[int, msgspec.Meta(ge=1, le=COUNT_MAX)]
"""A `Count` that is not 0."""

_ERRORS = (msgspec.DecodeError, UnicodeError, RecursionError, OverflowError)
"""What msgspec raises for data that it can't decode. A value that is nested
some thousand levels deep is none of its own errors."""


def decode(
    parse: collections.abc.Callable[[bytes], T], data: bytes
) -> expression.Result[T, str]:
    """Decodes data from outside; never raises.

    Args:
        parse: Decodes a value of the expected type (of msgspec).
        data: The data.

    Returns:
        The value, or an error text.
    """
    try:
        return expression.Ok(parse(data))
    except _ERRORS as error:
        return expression.Error(str(error) or type(error).__name__)
