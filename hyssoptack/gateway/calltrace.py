"""What became of each call of a request, for its line in the log."""

import dataclasses

TARGET_LOGGED_BYTES = 200
"""Most of a path and query that a line names."""

OPEN = "open"
"""What became of a call that is still out."""


@dataclasses.dataclass(kw_only=True)
class Trace:
    """One call, for the log line of its request."""

    upstream_id: str
    service: str
    sent_ms: float
    extra: str
    gatherer_id: str = ""
    outcome: str = OPEN
    took_ms: float = 0.0

    def describe(self, started_ms: float) -> str:
        """Returns the call as `upstream[@gatherer] why +start took outcome`."""
        after_ms = self.sent_ms - started_ms
        reason = self.extra or "first"
        gatherer = f"@{self.gatherer_id}" if self.gatherer_id else ""
        return (
            f"{self.upstream_id}{by} {why} +{after_ms:.0f} "
            f"{self.took_ms:.0f} {self.outcome}"
        )


def target_fields(host: str, target: bytes) -> dict[str, str]:
    """Returns the fields by which a line names a request for a person."""
    shown = target[:TARGET_LOGGED_BYTES].decode("latin-1")
    return {"host": host, "target": shown}
