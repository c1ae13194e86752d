"""What is known of one upstream: what it says, and what calls have shown."""

import dataclasses

from hyssoptack.core import traffic


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallSample:
    """One call: how many times the usual it took, and when it ended.

    `refused` tells one that the upstream itself refused: no fault of ours.
    """

    ratio: float
    end_ms: float
    was_shed: bool = False


@dataclasses.dataclass(kw_only=True)
class UpstreamState:
    """What is known of one upstream.

    Attributes:
        upstream: The entry that lists it.
        cold_until_ms: When it stops being slow after its start.
        slowness_ratio: Smoothed time of its calls over the typical one.
        last_sample_ms: When a call last told something.
        in_flight_count: Calls of this instance that are out.
        failure_count: Failures to connect in a row.
        ejected_until_ms: No calls before this time.
        shed_until_ms: Lately had no room; others are preferred until then.
        last_slow_ms: When a slow call that counted last ended, here or
            elsewhere.
        last_quick_ms: When an own call last was quick.
        sample_to_share: The last own call that neighbours should know of.
    """

    upstream: traffic.Upstream
    cold_until_ms: float = 0.0
    slowness_ratio: float = 1.0
    last_sample_ms: float = 0.0
    in_flight_count: int = 0
    failure_count: int = 0
    ejected_until_ms: float = 0.0
    shed_until_ms: float = 0.0
    last_slow_ms: float = float("-inf")
    last_quick_ms: float = float("-inf")
    sample_to_share: CallSample | None = None
