"""A point in the history of the platform's store."""

import dataclasses


@dataclasses.dataclass(frozen=True, order=True)
class Position:
    """Orders what was read from the store.

    Attributes:
        era: Grows each time that the store returns from an older copy.
        revision: Grows with each change within an era.
    """

    era: int = 0
    revision: int = 0


START = Position()
