"""The state of one upstream: its list entry and the results of calls."""

import dataclasses

from hyssoptack.core import traffic


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallSample:
    """The result of one call to an upstream.

    Attributes:
        ratio: Time of the call as a multiple of the typical time.
        end_ms: When the call ended.
        was_shed: Whether the upstream shed the call. Such a call says nothing
            about a fault of this instance.
    """

    ratio: float
    end_ms: float
    was_shed: bool = False


@dataclasses.dataclass(kw_only=True)
class UpstreamState:
    """The state of one upstream.

    Attributes:
        upstream: The entry of the upstream in the list.
        cold_until_ms: When the warm-up after its start ends.
        slowness_ratio: Smoothed time of its calls divided by the typical time.
        last_sample_ms: When a call last updated `slowness_ratio`.
        in_flight_count: Number of calls of this instance in flight to it.
        failure_count: Number of failures to connect in a row.
        ejected_until_ms: When its ejection ends; no calls are sent before.
        shed_until_ms: Until when other upstreams are preferred, because it
            shed a call.
        last_slow_ms: When the last slow call that was counted ended, of this
            instance or of a neighbour.
        last_quick_ms: When the last quick call ended, of this instance or of a
            neighbour.
        sample_to_share: The last call of this instance to share with
            neighbours; None if there is none.
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
