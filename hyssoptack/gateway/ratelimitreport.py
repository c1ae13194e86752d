"""Log lines and metrics of an instance's rate limiting."""

import collections

import aioprometheus

from hyssoptack.events import log
from hyssoptack.gateway import metrics
from hyssoptack.gateway import teamlabels

IGNORED_LOG_PERIOD_MS = 1_000.0
"""Shortest time between two log lines about ignored messages, as a faulty
process may send any number of them."""

MAX_LOGGED_LENGTH = 64
"""Length to which the names in an ignored message are cut."""


class RateLimitReport:
    """Writes log lines and counts what an instance's rate limiting does.

    Counting with aioprometheus takes 40 us, so that counts are kept here and
    copied when the metrics are rendered.

    Attributes:
        labels: Labels of teams, shared by all metrics of teams.
        refusals: Refusals by team and cause.
    """

    def __init__(self) -> None:
        self.labels = teamlabels.TeamLabels()
        self.refusals = teamlabels.TeamCounts(self.labels)
        self._events: collections.Counter[str] = collections.Counter()
        self._ignored_log_due_ms = 0.0
        self._unlogged_count = 0

    def count(self, what: str, count: float = 1) -> None:
        """Counts an event."""
        self._events[what] += count

    def event_count(self, what: str) -> float:
        """Returns how often an event was counted."""
        return self._events[what]

    def log_begun(
        self, team_name: str, how: str, token_count: float | None
    ) -> None:
        """Logs that this instance begins to own a team's bucket.

        Args:
            team_name: Name of the team.
            how: Whether it leads the ranking, joined or is a substitute.
            token_count: Tokens that it begins with; None for the start count.
        """
        self.count("begun")
        log.write(
            log.Event.BUCKET_BEGUN,
            team=team_name,
            how=how,
            token_count=None if token_count is None else round(token_count, 2),
        )

    def log_ended(
        self, team_name: str, new_owner_id: str, token_count: float
    ) -> None:
        """Logs that this instance no longer owns a team's bucket.

        Args:
            team_name: Name of the team.
            new_owner_id: The instance that owns it now.
            token_count: Tokens that were handed over or, when a substitute
                ends, dropped.
        """
        self.count("ended")
        log.write(
            log.Event.BUCKET_ENDED,
            team=team_name,
            owner_id=new_owner_id,
            token_count=round(token_count, 2),
        )

    def log_skipped(self, team_name: str, owner_id: str, cause: str) -> None:
        """Logs that an owner is not asked for a while."""
        self.count("skipped")
        log.write(
            log.Event.OWNER_SKIPPED,
            team=team_name,
            owner_id=owner_id,
            cause=cause,
        )

    def log_emptied(self, stopped_ms: float) -> None:
        """Logs that all buckets were emptied because the process had stopped.

        Args:
            stopped_ms: Duration of the stop.
        """
        self.count("emptied")
        log.write(log.Event.BUCKETS_EMPTIED, stopped_ms=round(stopped_ms))

    def log_ignored(
        self, team_name: str, sender_id: str, reason: str, now_ms: float
    ) -> None:
        """Logs a message that was ignored, at most once a second."""
        self.count("ignored")
        self._unlogged_count += 1
        if now_ms < self._ignored_log_due_ms:
            return
        self._ignored_log_due_ms = now_ms + IGNORED_LOG_PERIOD_MS
        log.write(
            log.Event.RATE_MESSAGE_IGNORED,
            team=team_name[:MAX_LOGGED_LENGTH],
            sender=sender_id[:MAX_LOGGED_LENGTH],
            reason=reason,
            count=self._unlogged_count,
        )
        self._unlogged_count = 0

    def render(
        self,
        collectors: metrics.Metrics,
        token_counts: dict[str, float],
        held_counts: dict[str, float],
    ) -> None:
        """Copies counts and levels to the metric collectors.

        Args:
            collectors: The collectors.
            token_counts: Tokens in the buckets owned here, by team.
            held_counts: Permits held here, by team.
        """
        collectors.rate_limit_refusals.values.clear()
        for (label, cause), count in self.refusals.by_label().items():
            collectors.rate_limit_refusals.set(
                {"team": label, "cause": cause}, count
            )
        for what, count in self._events.items():
            collectors.rate_limit_events.set({"what": what}, count)
        self._set_levels(collectors.rate_limit_tokens, token_counts)
        self._set_levels(collectors.rate_limit_permits, held_counts)

    def _set_levels(
        self, gauge: aioprometheus.Gauge, levels: dict[str, float]
    ) -> None:
        by_label: collections.Counter[str] = collections.Counter()
        for name, level in levels.items():
            by_label[self.labels.label(name)] += level
        gauge.values.clear()
        for label, level in by_label.items():
            gauge.set({"team": label}, round(level, 2))
