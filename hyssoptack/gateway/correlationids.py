"""Correlation ids of requests that an instance sends to its peers."""

import collections.abc
import itertools
import secrets

START_BITS = 48
"""Random bits of the first correlation id of an incarnation."""


def new_sequence() -> collections.abc.Iterator[int]:
    """Returns an iterator of ids that earlier incarnations have not used.

    Peers may still process requests of an earlier incarnation at the same
    address. Their answers must not be taken for answers to this incarnation.
    """
    return itertools.count(secrets.randbits(START_BITS))
