"""Logs entries of the platform's store that are ignored."""

from hyssoptack.events import log

REASON_LIMIT_COUNT = 200
"""Maximum number of characters of a reason, which may quote the entry."""


class IgnoredEntries:
    """The ignored entries of one list, each of which is logged once."""

    def __init__(self, event: log.Event):
        """Starts without entries; `event` is the event that is logged."""
        self._event = event
        self._reasons: dict[str, str] = {}

    def replace(self, reasons: dict[str, str]) -> None:
        """Replaces the ignored entries after a read of the list.

        Args:
            reasons: Why each entry is ignored, by key.
        """
        shown = {
            key: reason[:REASON_LIMIT_COUNT] for key, reason in reasons.items()
        }
        for key, reason in shown.items():
            if self._reasons.get(key) != reason:
                log.write(
                    self._event, key=key, reason=reason, count=len(reasons)
                )
        self._reasons = shown
