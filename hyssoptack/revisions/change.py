"""An operator's change of the configuration, applied by compare-and-swap.

The change names itself, so that when the store's answer is lost a read tells
whether it took effect. Operators who race get "overtaken", never a silent loss.
"""

import dataclasses
import datetime
import difflib
import secrets
import time

import expression

from hyssoptack.core import catalog
from hyssoptack.policy import revision
from hyssoptack.revisions import configuration
from hyssoptack.revisions import store
from hyssoptack.settings import catalog as catalog_settings

TRAIL_COUNT = 20
SETTLE_TRY_COUNT = 10
SETTLE_WAIT_S = 0.3


@dataclasses.dataclass(frozen=True, kw_only=True)
class Head:
    """The head of the chain as read; None when there is none yet."""

    manifest: catalog.Manifest | None
    version: int

    def revision(self) -> int:
        """Returns the head's revision; 0 when there is none."""
        return self.manifest.revision if self.manifest else 0

    def part_digests(self) -> dict[str, str]:
        """Returns the head's digests by part name."""
        return self.manifest.parts if self.manifest else {}


@dataclasses.dataclass(frozen=True, kw_only=True)
class Applied:
    """The change is in the chain."""

    revision: int
    changed_parts: tuple[str, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Unchanged:
    """The head already holds exactly this."""

    revision: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Overtaken:
    """Another change came first; this one is not applied."""

    by: catalog.Manifest
    changed_parts: tuple[str, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class NotApplied:
    """The store can't be reached; the change certainly is not applied."""

    detail: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Unsettled:
    """The store was lost after the write: `config history` will tell."""

    change_id: str
    detail: str


Outcome = Applied | Unchanged | Overtaken | NotApplied | Unsettled


def read_head(
    client: store.StoreClient,
) -> expression.Result[Head, store.Unreachable]:
    """Reads the head of the chain."""
    result = client.get(configuration.HEAD_KEY)
    return result.map(_head_of)


def _head_of(found: store.ReadResult) -> Head:
    match found:
        case store.Stored(value=value, version=version):
            manifest = configuration.read_manifest(value)
            return Head(manifest=manifest, version=version)
        case store.Absent():
            return Head(manifest=None, version=store.ABSENT_VERSION)


def changed(old: dict[str, str], new: dict[str, str]) -> tuple[str, ...]:
    """Returns the part names whose digests differ."""
    names = sorted(set(old) | set(new))
    return tuple(name for name in names if old.get(name) != new.get(name))


def apply(
    client: store.StoreClient,
    parts: dict[str, str],
    author: str,
    expected_revision: int | None,
) -> Outcome:
    """Applies a configuration on top of the head.

    Args:
        client: The store.
        parts: Checked part texts by part name.
        author: Who applies it.
        expected_revision: The revision that the change was made on; None to
            take whatever is the head now.

    Returns:
        What became of the change.
    """
    match read_head(client):
        case expression.Result(tag="ok", ok=head):
            pass
        case expression.Result(error=unreachable):
            return NotApplied(detail=unreachable.detail)
    digests = {
        name: catalog_settings.digest_of(text) for name, text in parts.items()
    }
    names = changed(head.part_digests(), digests)
    if expected_revision not in (None, head.revision()):
        return Overtaken(by=head.manifest or _nothing(), changed_parts=names)
    if not names:
        return Unchanged(revision=head.revision())
    for name in names:
        if name in digests:
            failure = _write_part(client, digests[name], parts[name])
            if failure:
                return NotApplied(detail=failure)
    manifest = _next_manifest(head, digests, names, author)
    return _swap_head(client, head, manifest, names)


def _nothing() -> catalog.Manifest:
    return catalog.Manifest(
        revision=0, change_id="", author="", applied_at_text="", parts={}
    )


def _write_part(client: store.StoreClient, digest: str, text: str) -> str:
    """Writes a part under its digest; one that is there already is the same.

    Returns:
        Why it failed, or an empty text.
    """
    key = configuration.PART_PREFIX + digest
    match client.put(key, text, store.ABSENT_VERSION):
        case expression.Result(error=store.Unreachable(detail=detail)):
            return detail
        case _:
            return ""


def _next_manifest(
    head: Head, digests: dict[str, str], names: tuple[str, ...], author: str
) -> catalog.Manifest:
    now = datetime.datetime.now(datetime.UTC).isoformat(timespec="seconds")
    entry = catalog.TrailEntry(
        revision=head.revision() + 1,
        change_id=secrets.token_hex(8),
        author=author,
        applied_at_text=now,
        changed_parts=names,
    )
    earlier = head.manifest.trail if head.manifest else ()
    return catalog.Manifest(
        revision=entry.revision,
        change_id=entry.change_id,
        author=author,
        applied_at_text=now,
        parts=digests,
        trail=(entry, *earlier)[:TRAIL_COUNT],
    )


def _swap_head(
    client: store.StoreClient,
    head: Head,
    manifest: catalog.Manifest,
    names: tuple[str, ...],
) -> Outcome:
    text = configuration.manifest_text(manifest)
    detail = ""
    for _ in range(SETTLE_TRY_COUNT):
        written = client.put(configuration.HEAD_KEY, text, head.version)
        match written:
            case expression.Result(tag="ok"):
                return Applied(revision=manifest.revision, changed_parts=names)
            case expression.Result(error=store.Conflict(current_value=found)):
                now: Head | None = _head_of(found)
            case expression.Result(error=store.Unreachable(detail=detail)):
                now = _read_again(client)
        if now is None:
            break
        match revision.resolve_lost_write(
            now.manifest, head.revision(), manifest.change_id
        ):
            case revision.Applied(revision=number):
                return Applied(revision=number, changed_parts=names)
            case revision.Overtaken(by=by):
                differs = changed(by.parts, manifest.parts)
                return Overtaken(by=by, changed_parts=differs)
            case revision.NotWritten():
                continue
    return Unsettled(change_id=manifest.change_id, detail=detail)


def _read_again(client: store.StoreClient) -> Head | None:
    for _ in range(SETTLE_TRY_COUNT):
        match read_head(client):
            case expression.Result(tag="ok", ok=head):
                return head
            case _:
                time.sleep(SETTLE_WAIT_S)
    return None


def read_parts(
    client: store.StoreClient, head: Head
) -> expression.Result[dict[str, str], store.Unreachable]:
    """Reads every part of the head, by part name."""
    parts = {}
    for name, digest in head.part_digests().items():
        match client.get(configuration.PART_PREFIX + digest):
            case expression.Result(tag="ok", ok=store.Stored(value=value)):
                parts[name] = value
            case expression.Result(tag="ok"):
                detail = f"part {name} is missing"
                return expression.Error(store.Unreachable(detail=detail))
            case expression.Result(error=unreachable):
                return expression.Error(unreachable)
    return expression.Ok(parts)


def difference(old: dict[str, str], new: dict[str, str]) -> str:
    """Returns the unified difference of two sets of part texts."""
    lines: list[str] = []
    for name in sorted(set(old) | set(new)):
        lines.extend(
            difflib.unified_diff(
                old.get(name, "").splitlines(),
                new.get(name, "").splitlines(),
                f"in force/{name}",
                f"offered/{name}",
                lineterm="",
            )
        )
    return "\n".join(lines)
