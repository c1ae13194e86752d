"""Numbers of what an instance asks others for."""

import collections.abc
import itertools
import secrets

START_BITS = 48
"""Random bits of an incarnation's first number."""


def new_sequence() -> collections.abc.Iterator[int]:
    """Returns numbers that no earlier incarnation of this instance has used.

    Others may still work for a predecessor that had the same address; their
    answers to it must not pass for answers to its successor.
    """
    return itertools.count(secrets.randbits(START_BITS))
