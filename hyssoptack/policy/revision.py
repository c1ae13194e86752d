"""Decisions about the chain of configuration revisions."""

import dataclasses

from hyssoptack.core import catalog


@dataclasses.dataclass(frozen=True, kw_only=True)
class Applied:
    """The change is in the chain, at this revision."""

    revision: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Overtaken:
    """Another change came first; ours is not in force and won't be."""

    by: catalog.Manifest


@dataclasses.dataclass(frozen=True, kw_only=True)
class NotWritten:
    """The head is unchanged, so the write did not happen."""


WriteResult = Applied | Overtaken | NotWritten


def is_newer(in_force: int, offered: int) -> bool:
    """Tells whether a revision may replace the one in force: upwards only."""
    return offered > in_force


def resolve_lost_write(
    head: catalog.Manifest | None, predecessor: int, change_id: str
) -> WriteResult:
    """Finds out from a read what became of a write whose answer was lost.

    Args:
        head: The head that the store holds now.
        predecessor: The revision that the change was made on.
        change_id: Names our change.

    Returns:
        Whether it was applied, overtaken, or did not happen.
    """
    if head is None or head.revision <= predecessor:
        return NotWritten()
    if head.change_id == change_id:
        return Applied(revision=head.revision)
    return Overtaken(by=head)
