"""Traces of a request's calls, for the request's log line."""

import collections.abc
import dataclasses

TARGET_LOGGED_BYTES = 200
"""Maximum length of the request target (path and query) in a log line."""

OPEN = "open"
"""Outcome of a call that has not ended."""


@dataclasses.dataclass(kw_only=True)
class Trace:
    """One call of a request.

    Attributes:
        upstream_id: The upstream called.
        service: The service of the upstream.
        sent_ms: Time at which the call was sent.
        extra_reason: Reason of an extra call; empty for the first call of a
            part.
        list_age_ms: Age of the list of upstreams when the call was sent.
        list_revision: Store revision of that list.
        gatherer_id: The instance that makes the call; empty if it is this one.
        outcome: Outcome of the call, or `OPEN` until it ends.
        took_ms: Duration of the call.
    """

    upstream_id: str
    service: str
    sent_ms: float
    extra_reason: str
    list_age_ms: float
    list_revision: int
    gatherer_id: str = ""
    outcome: str = OPEN
    took_ms: float = 0.0

    def describe(self, started_ms: float) -> str:
        """Returns `upstream[@gatherer] reason +start duration outcome`."""
        after_ms = self.sent_ms - started_ms
        reason = self.extra_reason or "first"
        gatherer = f"@{self.gatherer_id}" if self.gatherer_id else ""
        return (
            f"{self.upstream_id}{gatherer} {reason} +{after_ms:.0f} "
            f"{self.took_ms:.0f} {self.outcome}"
        )


def list_fields(
    traces: collections.abc.Collection[Trace],
) -> dict[str, float]:
    """Returns log fields of the oldest list by which a call was sent."""
    if not traces:
        return {}
    oldest = max(traces, key=lambda each: each.list_age_ms)
    return {
        "list_age_ms": round(oldest.list_age_ms),
        "list_revision": oldest.list_revision,
    }


def target_fields(host: str, target: bytes) -> dict[str, str]:
    """Returns the log fields that show a request's host and target."""
    shown = target[:TARGET_LOGGED_BYTES].decode("latin-1")
    return {"host": host, "target": shown}
