"""Commands that a query plan gives its coordinator."""

import dataclasses

from hyssoptack.balancing import routing
from hyssoptack.core import query
from hyssoptack.core import refusal


@dataclasses.dataclass(frozen=True, kw_only=True)
class Send:
    """Calls an upstream through a relay."""

    call_id: int
    path: routing.RelayPath
    index_version: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Cancel:
    """Cancels a call whose answer is no longer needed."""

    call_id: int
    instance_id: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Finish:
    """Ends the query with its answer or refusal."""

    result: query.Answer | refusal.Refusal


Command = Send | Cancel | Finish
