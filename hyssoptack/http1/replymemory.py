"""Limits the memory that all incomplete replies together take."""

import collections.abc

MEMORY_LIMIT_BYTES = 64 * 1024 * 1024
"""Largest sum of the bodies of all incomplete replies: four of the largest
size, beside which a small machine still has room for everything else."""


class ReplyMemory:
    """Sizes of the incomplete replies of some connections.

    Attributes:
        total_bytes: Sum of the sizes.
    """

    def __init__(self, limit_bytes: int = MEMORY_LIMIT_BYTES):
        self.total_bytes = 0
        self._limit_bytes = limit_bytes
        self._sizes_bytes: dict[collections.abc.Callable[[], None], int] = {}

    def record(
        self, abort: collections.abc.Callable[[], None], size_bytes: int
    ) -> None:
        """Records a reply's size; aborts the largest replies over the limit.

        A reply that never ends grows until it is the largest one, so others
        are received meanwhile.

        Args:
            abort: Aborts the reply, which must then be recorded with size 0.
            size_bytes: Size received so far; 0 once the reply has ended.
        """
        self.total_bytes += size_bytes - self._sizes_bytes.pop(abort, 0)
        if size_bytes:
            self._sizes_bytes[abort] = size_bytes
        while self.total_bytes > self._limit_bytes:
            max(self._sizes_bytes, key=self._sizes_bytes.get)()
