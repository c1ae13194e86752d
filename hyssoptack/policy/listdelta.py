"""Lists of upstreams as changes: what a reader tells, and what others take.

A reader tells its whole failure domain each second. A whole list of 280
upstreams to 25 neighbours is over a megabyte: more than the link of a small
machine carries in a second, so that its callers wait behind it. Only changes
are told, against the list told before; who lacks that one asks for all.
"""

import collections

import msgspec
import xxhash

from hyssoptack.core import gatewaymessage
from hyssoptack.core import traffic

HISTORY_COUNT = 6
"""Lists kept to tell changes against: neighbours were told one of the last
few, or lost touch."""

Upstreams = dict[str, traffic.Upstream]

_ENCODER = msgspec.msgpack.Encoder()


def digest_of(upstreams: Upstreams) -> int:
    """Returns a digest of a list, whatever its order."""
    ordered = [upstreams[name] for name in sorted(upstreams)]
    return xxhash.xxh64_intdigest(_ENCODER.encode(ordered))


EMPTY_DIGEST = digest_of({})


def apply_change(
    change: gatewaymessage.ListChange, own: Upstreams, own_digest: int
) -> Upstreams | None:
    """Returns the list after a change; None where it is against another list.

    A change against the empty list holds the whole list, and suits anyone.
    """
    if change.digest == own_digest:
        return own
    if change.base_digest == EMPTY_DIGEST:
        return {each.upstream_id: each for each in change.changed}
    if change.base_digest != own_digest:
        return None
    left = {
        name: each for name, each in own.items() if name not in change.removed
    }
    return left | {each.upstream_id: each for each in change.changed}


class ListHistory:
    """The lists that an instance had in force of late, by digest."""

    def __init__(self) -> None:
        self._lists: collections.OrderedDict[int, Upstreams] = (
            collections.OrderedDict()
        )
        self._current: Upstreams = {}
        self.digest = EMPTY_DIGEST

    def add(self, upstreams: Upstreams) -> None:
        """Takes the list in force; lists are replaced, never altered."""
        if upstreams is self._current:
            return
        self._current = upstreams
        self.digest = digest_of(upstreams)
        self._lists[self.digest] = upstreams
        self._lists.move_to_end(self.digest)
        if len(self._lists) > HISTORY_COUNT:
            self._lists.popitem(last=False)

    def full_change(self) -> gatewaymessage.ListChange:
        """Returns the list in force, for one who has no part of it."""
        return self._change(EMPTY_DIGEST, {})

    def change_since(self, digest: int | None) -> gatewaymessage.ListChange:
        """Returns what has changed since a list.

        Args:
            digest: Digest of that list; None where it is not known. Then, and
                where it is too old, the change is empty and only tells the
                digest: who has another list will ask.
        """
        before = self._lists.get(digest) if digest is not None else None
        if before is None:
            return gatewaymessage.ListChange(
                base_digest=self.digest, digest=self.digest
            )
        return self._change(digest, before)

    def _change(
        self, digest: int, before: Upstreams
    ) -> gatewaymessage.ListChange:
        return gatewaymessage.ListChange(
            base_digest=digest,
            digest=self.digest,
            changed=tuple(
                each
                for name, each in self._current.items()
                if before.get(name) != each
            ),
            removed=tuple(name for name in before if name not in self._current),
        )
