"""Limits on the request rate to upstreams that warm up after a start."""

import dataclasses
import math

from hyssoptack.core import traffic


@dataclasses.dataclass(frozen=True, kw_only=True)
class WarmupLimits:
    """Rate limit of all instances together for one cold upstream.

    Attributes:
        overage_ratio: Factor applied to the service's warm-up rate.
        slack_count: Requests per second allowed in addition.
    """

    overage_ratio: float = 1.0
    slack_count: float = 0.0

    def limit_per_s(self, service: traffic.Service) -> float:
        """Returns requests per second for a cold upstream; inf if unlimited."""
        if not service.warmup_per_s:
            return math.inf
        return service.warmup_per_s * self.overage_ratio + self.slack_count
