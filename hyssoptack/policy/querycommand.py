"""What the plan of a query asks its coordinator for."""

import dataclasses

from hyssoptack.core import query
from hyssoptack.core import refusal
from hyssoptack.policy import routing


@dataclasses.dataclass(frozen=True, kw_only=True)
class Send:
    """Call an upstream through a relay."""

    call_id: int
    path: routing.RelayPath
    index_version: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Cancel:
    """Cancel a call whose answer is no longer wanted."""

    call_id: int
    instance_id: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Finish:
    """The final answer to the caller."""

    result: query.Answer | refusal.Refusal


Command = Send | Cancel | Finish
