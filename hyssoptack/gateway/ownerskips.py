"""Owners that did not answer and are not asked for a while."""

from hyssoptack.gateway import ownerranking
from hyssoptack.gateway import ratelimitreport
from hyssoptack.ratelimit import ownership

SKIP_MS = 1_000.0
"""Time for which an owner that did not answer is not asked (specified)."""


class OwnerSkips:
    """Selects whom to ask for permits, past owners that do not answer."""

    def __init__(
        self,
        ranking: ownerranking.OwnerRanking,
        report: ratelimitreport.RateLimitReport,
    ):
        self._ranking = ranking
        self._report = report
        self._until_ms: dict[str, float] = {}

    def skip(
        self, team_name: str, instance_id: str, cause: str, now_ms: float
    ) -> None:
        """Skips an instance that did not answer; never this instance."""
        if instance_id == self._ranking.own.instance_id:
            return
        if not self.is_skipped(instance_id, now_ms):
            self._report.log_skipped(team_name, instance_id, cause)
        self._until_ms[instance_id] = now_ms + SKIP_MS

    def is_skipped(self, instance_id: str, now_ms: float) -> bool:
        """Returns whether an instance is not asked now."""
        return self._until_ms.get(instance_id, now_ms) > now_ms

    def end(self, instance_id: str) -> None:
        """Ends the skipping of an instance, which has answered after all."""
        self._until_ms.pop(instance_id, None)

    def choose(
        self, team_name: str, now_ms: float
    ) -> tuple[str, tuple[str, ...]] | None:
        """Returns whom to ask, and the skipped instances that rank above.

        None if all candidates are skipped.
        """
        ids = self._ranking.ids(team_name)
        chosen_id = next(
            (each for each in ids if not self.is_skipped(each, now_ms)), None
        )
        if chosen_id is None:
            return None
        # A skipped instance may not be listed here: a former owner named it.
        skipped_ids = tuple(
            each
            for each in self._until_ms
            if self.is_skipped(each, now_ms)
            and ownership.ranks_above(team_name, each, chosen_id)
        )
        return chosen_id, skipped_ids

    def drop_expired(self, now_ms: float) -> None:
        """Removes instances that are no longer skipped."""
        self._until_ms = {
            instance_id: until_ms
            for instance_id, until_ms in self._until_ms.items()
            if until_ms > now_ms
        }
