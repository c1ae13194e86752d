"""Differences between lists of upstreams, as readers send them.

A reader sends the list to its whole failure domain each second. A full list of
280 upstreams to 25 neighbours is over a megabyte: more than the link of a small
machine carries in a second, so that its callers wait behind it. Readers
therefore send only the changes since the list that they sent before. An
instance that lacks that list asks for the full one.
"""

import collections

import msgspec
import xxhash

from hyssoptack.core import listmessage
from hyssoptack.core import traffic

HISTORY_COUNT = 6
"""Lists kept as bases for changes. Neighbours hold one of the last few, unless
they lost contact."""

Upstreams = dict[str, traffic.Upstream]

_ENCODER = msgspec.msgpack.Encoder()


def digest_of(upstreams: Upstreams) -> int:
    """Returns a digest of a list that does not depend on its order."""
    ordered = [upstreams[name] for name in sorted(upstreams)]
    return xxhash.xxh64_intdigest(_ENCODER.encode(ordered))


EMPTY_DIGEST = digest_of({})


def apply_change(
    change: listmessage.ListChange, own: Upstreams, own_digest: int
) -> Upstreams | None:
    """Returns the list after a change; None if it is based on another list.

    A change based on the empty list holds the full list and always applies.
    """
    if change.digest == own_digest:
        return own
    if change.base_digest == EMPTY_DIGEST:
        return {each.upstream_id: each for each in change.changed}
    if change.base_digest != own_digest:
        return None
    kept = {
        name: each for name, each in own.items() if name not in change.removed
    }
    return kept | {each.upstream_id: each for each in change.changed}


class ListHistory:
    """The lists that were recently in force at an instance, by digest.

    Attributes:
        digest: Digest of the list in force.
    """

    def __init__(self) -> None:
        self._lists: collections.OrderedDict[int, Upstreams] = (
            collections.OrderedDict()
        )
        self._current: Upstreams = {}
        self.digest = EMPTY_DIGEST

    def add(self, upstreams: Upstreams) -> None:
        """Records the list in force; lists are replaced, never altered."""
        if upstreams is self._current:
            return
        self._current = upstreams
        self.digest = digest_of(upstreams)
        self._lists[self.digest] = upstreams
        self._lists.move_to_end(self.digest)
        if len(self._lists) > HISTORY_COUNT:
            self._lists.popitem(last=False)

    def full_change(self) -> listmessage.ListChange:
        """Returns the full list in force, as a change to the empty list."""
        return self._change(EMPTY_DIGEST, {})

    def change_since(self, digest: int | None) -> listmessage.ListChange:
        """Returns the changes since an earlier list.

        Args:
            digest: Digest of that list; None if it is not known. If it is not
                known or no longer kept, the change is empty and carries only
                the current digest, so that instances with another list ask for
                the full one.
        """
        before = self._lists.get(digest) if digest is not None else None
        if before is None:
            return listmessage.ListChange(
                base_digest=self.digest, digest=self.digest
            )
        return self._change(digest, before)

    def _change(self, digest: int, before: Upstreams) -> listmessage.ListChange:
        return listmessage.ListChange(
            base_digest=digest,
            digest=self.digest,
            changed=tuple(
                each
                for name, each in self._current.items()
                if before.get(name) != each
            ),
            removed=tuple(name for name in before if name not in self._current),
        )
