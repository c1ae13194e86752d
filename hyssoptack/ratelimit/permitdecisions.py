"""Requests for permits and the decisions of a ledger on them."""

import dataclasses

ASK_LIMIT_COUNT = 10_000
"""Largest plausible count in a request for permits: an instance serves some
hundred requests a second and holds a few permits a team."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class PermitAsk:
    """A request for permits.

    Attributes:
        asker_id: Id of the instance that asks.
        wanted_count: Permits for requests that wait.
        prefetch_count: Further permits, ahead of demand.
        held_count: Permits that the asker holds or may still receive.
    """

    asker_id: str
    wanted_count: int
    prefetch_count: int = 0
    held_count: int = 0

    @property
    def is_plausible(self) -> bool:
        """Whether no count is negative or absurd."""
        counts = (self.wanted_count, self.prefetch_count, self.held_count)
        return all(0 <= each <= ASK_LIMIT_COUNT for each in counts)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Granted:
    """Permits are granted.

    Attributes:
        permit_count: Granted permits, at least the wanted ones.
    """

    permit_count: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Short:
    """The bucket has too few tokens, but a transfer may help.

    Attributes:
        missing_count: Tokens missing for the wanted permits.
    """

    missing_count: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Denied:
    """The team is over its limit.

    Attributes:
        retry_after_ms: Randomized time until the team's rate allows a request
            of the callers that are refused.
        permit_count: Permits granted nevertheless, fewer than wanted.
    """

    retry_after_ms: float
    permit_count: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class NotOwned:
    """This instance does not own the team's bucket, for instance any more."""
