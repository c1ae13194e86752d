"""One instance's configuration: takes offers of heads and parts, only upwards.

Parts are kept under their digests, so an offer needs to bring only the parts
that changed. Whatever the source, a manifest is in force only once all its
parts are here and the whole reads without errors.
"""

import dataclasses

import msgspec

from hyssoptack.charts import chart
from hyssoptack.core import catalog
from hyssoptack.events import log
from hyssoptack.policy import revision
from hyssoptack.settings import catalog as catalog_settings

HEAD_KEY = "config/head"
PART_PREFIX = "config/part/"

_CHART = chart.load("configuration")
_DECODER = msgspec.json.Decoder(catalog.Manifest)
_ENCODER = msgspec.json.Encoder()


def manifest_text(manifest: catalog.Manifest) -> str:
    """Returns a manifest as the store keeps it."""
    return _ENCODER.encode(manifest).decode()


def read_manifest(text: str) -> catalog.Manifest | None:
    """Reads a manifest, or None when the text is not one."""
    try:
        return _DECODER.decode(text)
    except msgspec.DecodeError:
        return None


@dataclasses.dataclass(frozen=True, kw_only=True)
class InForce:
    """A new revision to put in force."""

    catalog: catalog.Catalog
    manifest: catalog.Manifest


@dataclasses.dataclass(frozen=True, kw_only=True)
class Lacking:
    """Parts that have to be fetched first."""

    digests: tuple[str, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Ignored:
    """The offer changes nothing."""

    reason: str


OfferResult = InForce | Lacking | Ignored


class ActiveConfiguration:
    """The manifest in force and the parts that are known."""

    def __init__(self) -> None:
        self.manifest: catalog.Manifest | None = None
        self.head_version = 0
        self._parts: dict[str, str] = {}
        self._refused_revision = 0
        self._state = _CHART.initial

    def revision(self) -> int:
        """Returns the revision in force; 0 when there is none."""
        return self.manifest.revision if self.manifest else 0

    def part_digests(self) -> tuple[str, ...]:
        """Returns the digests of all known parts."""
        return tuple(sorted(self._parts))

    def parts_for_peer(self, held_digests: tuple[str, ...]) -> dict[str, str]:
        """Returns the parts in force that an asker lacks, by digest."""
        if self.manifest is None:
            return {}
        wanted = set(self.manifest.parts.values()) - set(held_digests)
        return {digest: self._parts[digest] for digest in wanted}

    def merge_offer(self, text: str, parts: dict[str, str]) -> OfferResult:
        """Takes a head, and whatever parts came with it.

        Args:
            text: The manifest as the store keeps it.
            parts: Part texts by digest; a part that does not match its digest
                is left out.

        Returns:
            What to do: put in force, fetch parts, or nothing.
        """
        manifest = read_manifest(text)
        if manifest is None:
            return Ignored(reason="the head is no manifest")
        if not revision.is_newer(self.revision(), manifest.revision):
            if manifest.revision < self.revision():
                log.write(
                    log.Event.CONFIG_OLDER,
                    offered=manifest.revision,
                    in_force=self.revision(),
                )
            return Ignored(reason="not later than what is in force")
        if manifest.revision == self._refused_revision:
            return Ignored(reason="refused before")
        self._step("head_seen")
        self._step("later_head_seen")
        for digest, part in parts.items():
            if catalog_settings.digest_of(part) == digest:
                self._parts[digest] = part
        lacking = tuple(sorted(set(manifest.parts.values()) - set(self._parts)))
        if lacking:
            return Lacking(digests=lacking)
        return self._assemble(manifest)

    def on_fetch_failed(self) -> None:
        """Notes that lacking parts could not be had."""
        self._step("fetch_failed")

    def _assemble(self, manifest: catalog.Manifest) -> OfferResult:
        parts = {
            name: self._parts[digest] for name, digest in manifest.parts.items()
        }
        current, errors = catalog_settings.assemble(
            manifest.revision, parts, f"revision {manifest.revision}"
        )
        if errors:
            self._refused_revision = manifest.revision
            log.write(
                log.Event.CONFIG_REFUSED,
                revision=manifest.revision,
                errors=[str(each) for each in errors],
            )
            self._step("fetch_failed")
            return Ignored(reason=str(errors[0]))
        self.manifest = manifest
        kept = set(manifest.parts.values())
        self._parts = {
            digest: part
            for digest, part in self._parts.items()
            if digest in kept
        }
        self._step("parts_complete")
        log.write(
            log.Event.CONFIG_IN_FORCE,
            revision=manifest.revision,
            change_id=manifest.change_id,
        )
        return InForce(catalog=current, manifest=manifest)

    def _step(self, event: str) -> None:
        self._state = _CHART.step(self._state, event)
