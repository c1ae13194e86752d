"""Detects messages of peers that were held up on their way.

A link that is cut without a reset delivers what it holds when it is back, and a
process that was stopped finds old messages in its sockets. Ages in such a
message were right when it was sent. The clocks of two machines differ by an
unknown offset but run at the same rate, so the smallest difference between a
message's arrival and its sending is that of one without a delay.
"""

import collections
import dataclasses

HELD_UP_MIN_MS = 500.0
"""Delay from which a message counts as held up. Shorter ones are due to load,
and the ages in messages allow for them."""

DRIFT_RATIO = 0.001
"""Maximum difference between the rates of two clocks."""

SENDER_LIMIT_COUNT = 1_000
"""Maximum number of senders whose clock offset is kept."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Offset:
    """The smallest difference between arrival and sending of a sender.

    Attributes:
        run_id: Id of the sender's process.
        offset_ms: The difference.
        at_ms: Time of the latest message.
    """

    run_id: int
    offset_ms: float
    at_ms: float


class TransitTimes:
    """Estimates the delays of messages by the clocks of their senders."""

    def __init__(self) -> None:
        self._offsets: collections.OrderedDict[str, _Offset] = (
            collections.OrderedDict()
        )

    def held_up_ms(
        self, sender_id: str, run_id: int, sent_ms: float, now_ms: float
    ) -> float:
        """Records a message; returns for how long it was held up.

        The first message of a process counts as not delayed.

        Args:
            sender_id: The sender.
            run_id: Id of the sender's process; clocks of two processes of one
                sender need not be related.
            sent_ms: Time of sending by the sender's clock.
            now_ms: Time of arrival by this instance's clock.

        Returns:
            The delay; 0 if the message was not held up.
        """
        offset_ms = now_ms - sent_ms
        before = self._offsets.pop(sender_id, None)
        smallest_ms = offset_ms
        if before is not None and before.run_id == run_id:
            drift_ms = DRIFT_RATIO * (now_ms - before.at_ms)
            smallest_ms = min(offset_ms, before.offset_ms + drift_ms)
        self._offsets[sender_id] = _Offset(
            run_id=run_id, offset_ms=smallest_ms, at_ms=now_ms
        )
        if len(self._offsets) > SENDER_LIMIT_COUNT:
            self._offsets.popitem(last=False)
        delay_ms = offset_ms - smallest_ms
        return delay_ms if delay_ms >= HELD_UP_MIN_MS else 0.0
