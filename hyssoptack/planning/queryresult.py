"""Results of queries that upstreams did not answer in full."""

from hyssoptack.core import refusal

RETRY_AFTER_COVERAGE_MS = 500


def below_floor(
    coverage_ratio: float, floor_ratio: float, missing: str
) -> refusal.Refusal:
    """Returns the refusal of a query whose answers cover too few keys.

    Args:
        coverage_ratio: Part of the keys that the answers cover.
        floor_ratio: Least part that the profile allows.
        missing: The shards without an answer, and why.
    """
    return refusal.Refusal(
        reason=refusal.Reason.COVERAGE_BELOW_FLOOR,
        ran=refusal.Ran.NO,
        detail=f"reached coverage {coverage_ratio:.4f} of at least "
        f"{floor_ratio}; {missing}",
        retry_after_ms=RETRY_AFTER_COVERAGE_MS,
        coverage_ratio=coverage_ratio,
    )
