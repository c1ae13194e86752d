"""Owners that did not answer and are not asked for a while."""

from hyssoptack.gateway import ownerranking
from hyssoptack.gateway import ratelimitcheck
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
    ) -> tuple[str, tuple[str, ...]]:
        """Returns whom to ask, and the skipped instances that rank above.

        Only the first of the ranking is skipped, and those to which the link is
        lost: if each slow instance were skipped, many would own a bucket of one
        team (`ratelimit.ownership.replaced_ids`).
        """
        ids = self._ranking.ids(team_name)
        is_skipped = len(ids) > 1 and self.is_skipped(ids[0], now_ms)
        chosen_id = ids[1] if is_skipped else ids[0]
        return chosen_id, self.skipped_above(team_name, chosen_id, now_ms)

    def skipped_above(
        self, team_name: str, instance_id: str, now_ms: float
    ) -> tuple[str, ...]:
        """Returns the skipped and lost instances that rank above another.

        They need not be listed here: a former owner may have named its
        successor.
        """
        skipped_ids = {
            each for each in self._until_ms if self.is_skipped(each, now_ms)
        }
        return tuple(
            each
            for each in sorted(skipped_ids | self._ranking.lost_ids())
            if ownership.ranks_above(team_name, each, instance_id)
        )[: ratelimitcheck.MAX_SKIPPED_COUNT]

    def drop_expired(self, now_ms: float) -> None:
        """Removes instances that are no longer skipped."""
        self._until_ms = {
            instance_id: until_ms
            for instance_id, until_ms in self._until_ms.items()
            if until_ms > now_ms
        }
