"""The configuration in force on one instance, updated from offered manifests.

Only a manifest of a later revision is accepted. Parts are kept by digest, so an
offer needs to include only the parts that changed. Whatever its source, a
manifest comes into force only once all its parts are present and the
configuration as a whole is valid.
"""

import dataclasses

import msgspec

from hyssoptack.charts import chart
from hyssoptack.core import catalog
from hyssoptack.core import decoding
from hyssoptack.events import log
from hyssoptack.planning import revision
from hyssoptack.settings import catalog as catalog_settings

HEAD_KEY = "config/head"
PART_PREFIX = "config/part/"

_CHART = chart.load("configuration")
_DECODER = msgspec.json.Decoder(catalog.Manifest)
_ENCODER = msgspec.json.Encoder()


def encode_manifest(manifest: catalog.Manifest) -> str:
    """Encodes a manifest in its stored form."""
    return _ENCODER.encode(manifest).decode()


def decode_manifest(text: str) -> catalog.Manifest | None:
    """Decodes a stored manifest; returns None if the text is not one."""
    return decoding.decode(_DECODER.decode, text).default_value(None)


@dataclasses.dataclass(frozen=True, kw_only=True)
class NewConfiguration:
    """The offer was accepted: its revision replaces the one in force.

    Attributes:
        catalog: Decoded configuration of the revision.
        manifest: Manifest of the revision.
    """

    catalog: catalog.Catalog
    manifest: catalog.Manifest


@dataclasses.dataclass(frozen=True, kw_only=True)
class MissingParts:
    """The offer is pending: parts are missing.

    Attributes:
        digests: Digests of the missing parts.
    """

    digests: tuple[str, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Ignored:
    """The offer was not accepted.

    Attributes:
        reason: Why it was not.
    """

    reason: str


OfferResult = NewConfiguration | MissingParts | Ignored


class ActiveConfiguration:
    """The manifest in force and the known parts.

    Attributes:
        manifest: Manifest in force; None if there is none yet.
        head_version: The store's version of the last head that was processed.
    """

    def __init__(self) -> None:
        self.manifest: catalog.Manifest | None = None
        self.head_version = 0
        self._parts: dict[str, str] = {}
        self._rejected_revision = 0
        self._state = _CHART.initial

    def revision(self) -> int:
        """Returns the revision in force; 0 if there is none."""
        return self.manifest.revision if self.manifest else 0

    def part_digests(self) -> tuple[str, ...]:
        """Returns the digests of all known parts."""
        return tuple(sorted(self._parts))

    def parts_for_peer(self, held_digests: tuple[str, ...]) -> dict[str, str]:
        """Returns the parts in force that a peer does not hold, by digest.

        Args:
            held_digests: Digests of the parts that the peer holds.
        """
        if self.manifest is None:
            return {}
        needed = set(self.manifest.parts.values()) - set(held_digests)
        return {digest: self._parts[digest] for digest in needed}

    def merge_offer(self, text: str, parts: dict[str, str]) -> OfferResult:
        """Processes an offered manifest and the parts that came with it.

        Args:
            text: The manifest in its stored form.
            parts: Texts of parts by digest; a part that does not match its
                digest is ignored.

        Returns:
            `NewConfiguration` if the revision was accepted, `MissingParts` if
            parts must be fetched first, otherwise `Ignored`.
        """
        manifest = decode_manifest(text)
        if manifest is None:
            return Ignored(reason="the offered head is not a valid manifest")
        if not revision.is_newer(self.revision(), manifest.revision):
            if manifest.revision < self.revision():
                log.write(
                    log.Event.CONFIG_OLDER,
                    offered=manifest.revision,
                    in_force=self.revision(),
                )
            return Ignored(
                reason="the revision is not later than the one in force"
            )
        if manifest.revision == self._rejected_revision:
            return Ignored(reason="the revision was rejected before")
        self._apply_event("head_seen")
        self._apply_event("later_head_seen")
        for digest, part in parts.items():
            if catalog_settings.digest_of(part) == digest:
                self._parts[digest] = part
        missing = tuple(sorted(set(manifest.parts.values()) - set(self._parts)))
        if missing:
            return MissingParts(digests=missing)
        return self._assemble(manifest)

    def on_fetch_failed(self) -> None:
        """Records that the missing parts could not be fetched."""
        self._apply_event("fetch_failed")

    def _assemble(self, manifest: catalog.Manifest) -> OfferResult:
        parts = {
            name: self._parts[digest] for name, digest in manifest.parts.items()
        }
        current, errors = catalog_settings.assemble(
            manifest.revision, parts, f"revision {manifest.revision}"
        )
        if errors:
            self._rejected_revision = manifest.revision
            log.write(
                log.Event.CONFIG_REFUSED,
                revision=manifest.revision,
                errors=[str(each) for each in errors],
            )
            # The chart has no event of its own for an invalid configuration.
            self._apply_event("fetch_failed")
            return Ignored(reason=str(errors[0]))
        self.manifest = manifest
        used = set(manifest.parts.values())
        self._parts = {
            digest: part
            for digest, part in self._parts.items()
            if digest in used
        }
        self._apply_event("parts_complete")
        log.write(
            log.Event.CONFIG_IN_FORCE,
            revision=manifest.revision,
            change_id=manifest.change_id,
        )
        return NewConfiguration(catalog=current, manifest=manifest)

    def _apply_event(self, event: str) -> None:
        self._state = _CHART.step(self._state, event)
