"""What upstreams that warm up bear, from all instances together."""

import dataclasses
import math

from hyssoptack.core import traffic


@dataclasses.dataclass(frozen=True, kw_only=True)
class WarmupLimits:
    """What all instances together may send a cold upstream in a second.

    Attributes:
        overage_ratio: Requests for each that the service says it bears.
        slack_count: Requests besides.
    """

    overage_ratio: float = 1.0
    slack_count: float = 0.0

    def limit_per_s(self, service: traffic.Service) -> float:
        """Returns the limit for an upstream of a service; inf for none."""
        if not service.warmup_per_s:
            return math.inf
        return service.warmup_per_s * self.overage_ratio + self.slack_count
