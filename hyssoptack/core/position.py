"""Positions in the history of the platform's store."""

import dataclasses


@dataclasses.dataclass(frozen=True, order=True)
class Position:
    """A position in the store's history, which orders reads from the store.

    Attributes:
        era: Number that increases each time the store is restored from an older
            copy.
        revision: Number that increases with each change within an era.
    """

    era: int = 0
    revision: int = 0


START = Position()
