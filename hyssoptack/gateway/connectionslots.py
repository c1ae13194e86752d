"""Slots for the connections to one upstream, whose number is limited.

Each connection, and each attempt to open one, holds a slot. The number of open
connections is the number of slots in use, and no other count is kept: a slot
has one owner, which releases it however the attempt or the connection ends.
"""

import collections.abc

from hyssoptack.http1 import httpclient


class Slot:
    """Stands for one connection, from the attempt to open it until its loss.

    Attributes:
        connection: The connection that holds the slot; None before it is open.
    """

    def __init__(self, slots: "Slots"):
        self.connection: httpclient.UpstreamConnection | None = None
        self._slots = slots

    def attach(self, connection: httpclient.UpstreamConnection) -> None:
        """Passes the slot to a connection, which holds it until it is lost."""
        self.connection = connection
        if connection.lost:
            # It was lost before the attempt to open it could continue.
            self.release()

    def hold(self) -> None:
        """Takes the slot, for another attempt if it was released before."""
        self.connection = None
        self._slots.hold(self)

    def release(self) -> None:
        """Releases the slot; releasing it again has no effect."""
        self._slots.release(self)

    def release_unless_open(self) -> None:
        """Releases the slot if the attempt has opened no connection."""
        if self.connection is None:
            self.release()


class Slots:
    """The slots in use for one upstream.

    Attributes:
        limit_count: Number of connections that calls may open.
    """

    def __init__(self, on_released: collections.abc.Callable[[], None]):
        """Creates the slots of an upstream without connections.

        Args:
            on_released: Called after a slot was released.
        """
        self.limit_count = 1
        self._on_released = on_released
        self._used: set[Slot] = set()

    @property
    def used_count(self) -> int:
        """The number of connections that are open or being opened."""
        return len(self._used)

    @property
    def has_room(self) -> bool:
        """Whether a call may open another connection."""
        return self.used_count < self.limit_count

    def take(self) -> Slot:
        """Returns a slot in use, also beyond the limit."""
        slot = Slot(self)
        self.hold(slot)
        return slot

    def hold(self, slot: Slot) -> None:
        """Counts a slot as used."""
        self._used.add(slot)

    def release(self, slot: Slot) -> None:
        """Counts a slot as free."""
        if slot in self._used:
            self._used.discard(slot)
            self._on_released()
