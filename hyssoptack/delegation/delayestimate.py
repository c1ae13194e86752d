"""Estimates the usual delay of work inside this instance.

A timer waits behind other work, merging 40 parts takes time, and a message
waits in a queue: 1 to 3 ms on a whole processor, 5 to 15 ms on 0.12 of one. The
estimate is subtracted from the time at which an answer has to be sent.
"""

import collections

SAMPLES_COUNT = 32
"""Number of recent delays that the estimate is computed from."""

QUANTILE_RATIO = 0.8
"""Quantile of the recent delays that is used: of 5 answers sent at the latency
goal 4 should be in time. A larger allowance loses parts, each worth a twentieth
of the answer's value; a late answer loses nine tenths of its value."""

MAX_MS = 40.0
"""Upper bound of a recorded delay: longer delays follow a stop of the process,
which is rare and does not affect other queries."""


class DelayEstimate:
    """The estimated delay of one kind of work.

    Attributes:
        estimate_ms: The estimated delay.
    """

    def __init__(self, least_ms: float):
        """Creates an estimate without recorded delays.

        Args:
            least_ms: Lower bound of the estimate.
        """
        self._least_ms = least_ms
        self._delays_ms: collections.deque[float] = collections.deque(
            maxlen=SAMPLES_COUNT
        )
        self.estimate_ms = least_ms

    def record(self, delay_ms: float) -> None:
        """Records one delay."""
        self._delays_ms.append(min(MAX_MS, delay_ms))
        ordered = sorted(self._delays_ms)
        usual_ms = ordered[int(QUANTILE_RATIO * (len(ordered) - 1))]
        self.estimate_ms = max(self._least_ms, usual_ms)
