"""Rules for the chain of configuration revisions."""

import dataclasses

from hyssoptack.core import catalog


@dataclasses.dataclass(frozen=True, kw_only=True)
class Applied:
    """The change was applied as this revision."""

    revision: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Overtaken:
    """Another change was applied first; this one never will be."""

    by: catalog.Manifest


@dataclasses.dataclass(frozen=True, kw_only=True)
class NotWritten:
    """The head is unchanged: the write was not applied."""


WriteResult = Applied | Overtaken | NotWritten


def is_newer(in_force: int, offered: int) -> bool:
    """Returns whether a revision is later than the current one."""
    return offered > in_force


def resolve_lost_write(
    head: catalog.Manifest | None, predecessor: int, change_id: str
) -> WriteResult:
    """Determines from a read whether a write with a lost reply was applied.

    Args:
        head: Head manifest read from the store; None if there is none.
        predecessor: Revision that the change is based on.
        change_id: Id of the change.

    Returns:
        `Applied`, `Overtaken`, or `NotWritten`.
    """
    if head is None or head.revision <= predecessor:
        return NotWritten()
    if head.change_id == change_id:
        return Applied(revision=head.revision)
    return Overtaken(by=head)
