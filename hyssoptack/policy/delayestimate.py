"""How late something usually is that this instance does by itself.

A timer waits behind other work, 40 parts take a while to merge, a message waits
for its turn: 1 to 3 ms on a whole processor, 5 to 15 on 0.12 of one. What is
known of it is kept back from the time at which an answer has to leave.
"""

import collections

SAMPLES_COUNT = 32

QUANTILE_RATIO = 0.8
"""Of 5 answers given at the goal 4 should be in time: what is kept back more
costs parts (a twentieth of the use each), a late answer nine tenths of it."""

MAX_MS = 40.0
"""Most that is kept back: what is later had a stop of the process before it,
which comes seldom and leaves other queries alone."""


class DelayEstimate:
    """What was seen of one kind of work."""

    def __init__(self, least_ms: float):
        """Makes a belief without anything seen.

        Args:
            least_ms: What is assumed at least.
        """
        self._least_ms = least_ms
        self._seen_ms: collections.deque[float] = collections.deque(
            maxlen=SAMPLES_COUNT
        )
        self.estimate_ms = least_ms

    def record(self, late_ms: float) -> None:
        """Takes how late it was once."""
        self._seen_ms.append(min(MAX_MS, late_ms))
        ordered = sorted(self._seen_ms)
        usual_ms = ordered[int(QUANTILE_RATIO * (len(ordered) - 1))]
        self.estimate_ms = max(self._least_ms, usual_ms)
