"""Applies an operator's configuration change by compare-and-swap of the head.

Each change has a unique id, so that after a lost answer of the store a read
shows whether the change took effect. If two operators apply changes at once,
one gets `Overtaken`; no change is lost silently.
"""

import dataclasses
import datetime
import difflib
import secrets
import time

import expression

from hyssoptack.core import catalog
from hyssoptack.planning import revision
from hyssoptack.revisions import configuration
from hyssoptack.revisions import store
from hyssoptack.settings import catalog as catalog_settings

TRAIL_COUNT = 20
HEAD_TRY_COUNT = 10
HEAD_RETRY_WAIT_S = 0.3


@dataclasses.dataclass(frozen=True, kw_only=True)
class Head:
    """The head: the latest configuration revision in the store.

    Attributes:
        manifest: Manifest of the latest revision; None if there is none yet.
        version: The store's version of the head.
    """

    manifest: catalog.Manifest | None
    version: int

    def revision(self) -> int:
        """Returns the head's revision; 0 if there is none."""
        return self.manifest.revision if self.manifest else 0

    def part_digests(self) -> dict[str, str]:
        """Returns the digests of the head's parts, by part name."""
        return self.manifest.parts if self.manifest else {}


@dataclasses.dataclass(frozen=True, kw_only=True)
class Applied:
    """The change was applied.

    Attributes:
        revision: Its revision.
        changed_parts: Names of the parts that it changed.
    """

    revision: int
    changed_parts: tuple[str, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Unchanged:
    """The head already has the offered content; nothing was written.

    Attributes:
        revision: The head's revision.
    """

    revision: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Overtaken:
    """Another change came first; this one was not applied.

    Attributes:
        by: Manifest of the other change.
        changed_parts: Names of the parts that differ between the two.
    """

    by: catalog.Manifest
    changed_parts: tuple[str, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class NotApplied:
    """The change was certainly not applied.

    The store could not be read, or a part could not be stored.
    """

    detail: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Unsettled:
    """The store did not confirm the write; its effect is not known.

    `config history` shows later whether the change was applied.

    Attributes:
        change_id: Identifier of the change.
        detail: The store client's last error.
    """

    change_id: str
    detail: str


Outcome = Applied | Unchanged | Overtaken | NotApplied | Unsettled


def read_head(
    client: store.StoreClient,
) -> expression.Result[Head, store.Unavailable]:
    """Reads the head, the latest revision's manifest, from the store."""
    result = client.get(configuration.HEAD_KEY)
    return result.map(_parse_head)


def _parse_head(found: store.ReadResult) -> Head:
    match found:
        case store.Stored(value=value, version=version):
            manifest = configuration.decode_manifest(value)
            return Head(manifest=manifest, version=version)
        case store.Absent():
            return Head(manifest=None, version=store.ABSENT_VERSION)


def changed_part_names(
    old: dict[str, str], new: dict[str, str]
) -> tuple[str, ...]:
    """Returns the names of the parts whose digests differ."""
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
        client: Client for the store.
        parts: Validated texts of the parts, by part name.
        author: Name of the operator.
        expected_revision: Revision that the change is based on; None for the
            current head, whatever its revision.

    Returns:
        The outcome of the change.
    """
    match read_head(client):
        case expression.Result(tag="ok", ok=head):
            pass
        case expression.Result(error=unavailable):
            return NotApplied(detail=unavailable.detail)
    digests = {
        name: catalog_settings.digest_of(text) for name, text in parts.items()
    }
    changed_names = changed_part_names(head.part_digests(), digests)
    if expected_revision not in (None, head.revision()):
        return Overtaken(
            by=head.manifest or _empty_manifest(), changed_parts=changed_names
        )
    if not changed_names:
        return Unchanged(revision=head.revision())
    for name in changed_names:
        if name in digests:
            error = _write_part(client, digests[name], parts[name])
            if error:
                return NotApplied(detail=error)
    manifest = _next_manifest(head, digests, changed_names, author)
    return _swap_head(client, head, manifest, changed_names)


def _empty_manifest() -> catalog.Manifest:
    return catalog.Manifest(
        revision=0, change_id="", author="", applied_at_text="", parts={}
    )


def _write_part(client: store.StoreClient, digest: str, text: str) -> str:
    """Writes a part under its digest.

    A conflict is no error: a part already stored under the digest is the same.

    Returns:
        The error, or an empty string.
    """
    key = configuration.PART_PREFIX + digest
    match client.put(key, text, store.ABSENT_VERSION):
        case expression.Result(error=store.Unavailable(detail=detail)):
            return detail
        case _:
            return ""


def _next_manifest(
    head: Head,
    digests: dict[str, str],
    changed_names: tuple[str, ...],
    author: str,
) -> catalog.Manifest:
    now = datetime.datetime.now(datetime.UTC).isoformat(timespec="seconds")
    entry = catalog.TrailEntry(
        revision=head.revision() + 1,
        change_id=secrets.token_hex(8),
        author=author,
        applied_at_text=now,
        changed_parts=changed_names,
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
    changed_names: tuple[str, ...],
) -> Outcome:
    text = configuration.encode_manifest(manifest)
    detail = ""
    for _ in range(HEAD_TRY_COUNT):
        written = client.put(configuration.HEAD_KEY, text, head.version)
        match written:
            case expression.Result(tag="ok"):
                return Applied(
                    revision=manifest.revision, changed_parts=changed_names
                )
            case expression.Result(error=store.Conflict(current_value=found)):
                current_head: Head | None = _parse_head(found)
            case expression.Result(error=store.Unavailable(detail=detail)):
                current_head = _read_head_with_retries(client)
        if current_head is None:
            break
        match revision.resolve_lost_write(
            current_head.manifest, head.revision(), manifest.change_id
        ):
            case revision.Applied(revision=number):
                return Applied(revision=number, changed_parts=changed_names)
            case revision.Overtaken(by=by):
                differing_names = changed_part_names(by.parts, manifest.parts)
                return Overtaken(by=by, changed_parts=differing_names)
            case revision.NotWritten():
                continue
    return Unsettled(change_id=manifest.change_id, detail=detail)


def _read_head_with_retries(client: store.StoreClient) -> Head | None:
    for _ in range(HEAD_TRY_COUNT):
        match read_head(client):
            case expression.Result(tag="ok", ok=head):
                return head
            case _:
                time.sleep(HEAD_RETRY_WAIT_S)
    return None


def read_parts(
    client: store.StoreClient, head: Head
) -> expression.Result[dict[str, str], store.Unavailable]:
    """Returns the texts of the head's parts, by part name."""
    parts = {}
    for name, digest in head.part_digests().items():
        match client.get(configuration.PART_PREFIX + digest):
            case expression.Result(tag="ok", ok=store.Stored(value=value)):
                parts[name] = value
            case expression.Result(tag="ok"):
                detail = f"part {name} is missing"
                return expression.Error(store.Unavailable(detail=detail))
            case expression.Result(error=unavailable):
                return expression.Error(unavailable)
    return expression.Ok(parts)


def parts_diff(old: dict[str, str], new: dict[str, str]) -> str:
    """Returns the unified diff of two sets of part texts."""
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
