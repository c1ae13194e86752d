"""Whether the own failure domain seems cut off from all others.

A cut shows in queries: every call into another domain stays unanswered while
those in the own domain are answered. One such query raises a doubt, and so does
a neighbour's word; only when connections into other domains get no sign of life
either is the domain taken to be cut off. An upstream that refuses a connection
is a sign of life.

While cut off, a query that needs more shards than the own domain has is
refused at once: it could only wait for its deadline. The instance then asks the
balancer for no callers, who are better served elsewhere.
"""

import dataclasses
import enum

FAR_MIN_COUNT = 4
"""Calls into other domains that a query must have made to show anything: so
many are hardly ever all unanswered for other causes (15 in 100 upstreams slow,
17 in 100 silent on the users' worst days)."""

NEAR_MIN_RATIO = 0.5
"""Part of the calls in the own domain that must be answered: else the fault is
more likely this instance's."""

WAIT_MIN_MS = 30.0
"""A query that ended sooner has not waited for anybody: quick calls take 10."""


class View(enum.Enum):
    """What is believed of the way to other failure domains."""

    WELL = "well"
    DOUBTED = "doubted"
    CUT = "cut"


@dataclasses.dataclass(kw_only=True)
class Tally:
    """Calls of one query by where they went, and how many were answered."""

    near_sent_count: int = 0
    near_answered_count: int = 0
    far_sent_count: int = 0
    far_answered_count: int = 0

    def sent(self, far: bool) -> None:
        """Counts a call."""
        self.far_sent_count += far
        self.near_sent_count += not far

    def answered(self, far: bool) -> None:
        """Counts an answer."""
        self.far_answered_count += far
        self.near_answered_count += not far


class Reach:
    """One instance's belief; changes are for the caller to log."""

    def __init__(self) -> None:
        self.view = View.WELL
        self._own_doubt = False

    @property
    def found_here(self) -> bool:
        """Whether own queries raised the doubt: neighbours are to be told."""
        return self._own_doubt

    @property
    def cut(self) -> bool:
        """Whether calls into other domains are pointless."""
        return self.view is View.CUT

    def note_query(self, tally: Tally, waited_ms: float) -> None:
        """Takes what became of a query's calls."""
        if tally.far_answered_count:
            self.view = View.WELL
            return
        near_floor = NEAR_MIN_RATIO * tally.near_sent_count
        if (
            self.view is View.WELL
            and waited_ms >= WAIT_MIN_MS
            and tally.far_sent_count >= FAR_MIN_COUNT
            and tally.near_answered_count > 0
            and tally.near_answered_count >= near_floor
        ):
            self.view = View.DOUBTED
            self._own_doubt = True

    def note_told(self) -> None:
        """Takes a neighbour's word for a doubt, and for no more than that."""
        if self.view is View.WELL:
            self.view = View.DOUBTED
            self._own_doubt = False

    def note_probe(self, alive: bool) -> None:
        """Takes whether anything in another domain gave a sign of life."""
        if alive:
            self.view = View.WELL
        elif self.view is View.DOUBTED:
            self.view = View.CUT
