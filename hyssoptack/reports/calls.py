"""Calls to upstreams, as the log lines of their requests tell of them."""

import dataclasses

from hyssoptack.reports import timeline

UNSENT_PREFIXES = (
    "connect_failed",
    "connect_timeout",
    "gatherer_declined",
    "not_listed_there",
    "upstream_withdrawn",
)
"""Outcomes of calls that no upstream has seen."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Call:
    """A call as `calltrace.Trace.describe` writes it.

    Attributes:
        upstream_id: Whom it went to.
        cause: `first`, or what it was made once more for.
        after_ms: When it was decided on, from the request's arrival.
        took_ms: From then to its outcome.
        outcome: What became of it.
    """

    upstream_id: str
    cause: str
    after_ms: float
    took_ms: float
    outcome: str

    @property
    def sent(self) -> bool:
        """Whether an upstream may have seen it."""
        return not self.outcome.startswith(UNSENT_PREFIXES)

    @property
    def answered(self) -> bool:
        """Whether its answer was used."""
        return self.outcome == "answered"


def parse(entry: timeline.Entry) -> list[Call]:
    """Returns the calls of a request's last line."""
    found = []
    for text in entry.fields.get("calls", ()):
        where, why, after, took, outcome = text.split(" ", 4)
        found.append(
            Call(
                upstream_id=where.partition("@")[0],
                cause=why,
                after_ms=float(after),
                took_ms=float(took),
                outcome=outcome,
            )
        )
    return found
