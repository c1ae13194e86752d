"""State changes of suspected and quarantined requests."""

import collections.abc
import dataclasses
import enum


class ChangeKind(enum.Enum):
    """What has changed in the state of a request."""

    SUSPECTED = "suspected"
    QUARANTINED = "blocked"
    PROBED = "tried"
    CLEARED = "cleared"
    EXPIRED = "forgotten"


@dataclasses.dataclass(frozen=True, kw_only=True)
class SuspicionChange:
    """A state change of a request, as reported to `on_change`.

    Attributes:
        kind: What has changed.
        fingerprint: Fingerprint of the request.
        upstream_ids: Upstreams that crashed with it in flight, if recorded.
        quarantine_count: Quarantines of the request in a row.
        quarantine_ms: Length of the quarantine, without jitter.
        source: Instance that reported the change; empty if found locally.
    """

    kind: ChangeKind
    fingerprint: str
    upstream_ids: tuple[str, ...] = ()
    quarantine_count: int = 0
    quarantine_ms: float = 0.0
    source: str = ""


OnChange = collections.abc.Callable[[SuspicionChange], None]
"""Receives each state change of a request."""
