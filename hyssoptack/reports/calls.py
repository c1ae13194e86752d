"""Parses the upstream calls in the log lines of requests."""

import dataclasses

from hyssoptack.reports import timeline

UNSENT_PREFIXES = (
    "connect_failed",
    "connect_timeout",
    "gatherer_declined",
    "not_listed_there",
    "upstream_withdrawn",
)
"""Prefixes of the outcomes of calls that reached no upstream."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Call:
    """A call, parsed from the text of `calltrace.Trace.describe`.

    Attributes:
        upstream_id: The called upstream.
        cause: `first`, or the reason for the extra call.
        after_ms: Time from the request's arrival to the decision to call.
        took_ms: Time from that decision to the call's outcome.
        outcome: Identifier of the outcome.
    """

    upstream_id: str
    cause: str
    after_ms: float
    took_ms: float
    outcome: str

    @property
    def sent(self) -> bool:
        """Whether the call may have reached its upstream."""
        return not self.outcome.startswith(UNSENT_PREFIXES)

    @property
    def answered(self) -> bool:
        """Whether the call's reply was used in the answer."""
        return self.outcome == "answered"


def parse(entry: timeline.Entry) -> list[Call]:
    """Returns the calls in a `request_ended` line."""
    found = []
    for text in entry.fields.get("calls", ()):
        target, cause, after, took, outcome = text.split(" ", 4)
        found.append(
            Call(
                upstream_id=target.partition("@")[0],
                cause=cause,
                after_ms=float(after),
                took_ms=float(took),
                outcome=outcome,
            )
        )
    return found
