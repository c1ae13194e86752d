"""The state that the call plans of an instance share."""

import collections.abc
import dataclasses
import random

from hyssoptack.balancing import loadbalancer
from hyssoptack.budget import windowbudget
from hyssoptack.core import mechanism
from hyssoptack.membership import partitiondetector
from hyssoptack.quarantine import quarantine

HoldsExtraCalls = collections.abc.Callable[[tuple[str, ...]], bool]
"""Returns whether hedges and retries of requests to some services are held
back, because first calls of other requests wait for room."""


def never_holds(_services: tuple[str, ...]) -> bool:
    """Returns that no extra calls are held back."""
    return False


@dataclasses.dataclass(frozen=True, kw_only=True)
class PlanContext:
    """The state that all call plans of an instance share.

    Attributes:
        load_balancer: Load balancer, which keeps the state of the upstreams.
        extra_call_budget: Budget for calls beyond a part's first call.
        partition_detector: Detector of partitions from other failure domains.
        mechanisms: Switches that enable or disable single mechanisms.
        suspect_registry: Registry of requests that are suspected to crash
            upstreams.
        holds_extra_calls: Whether admission holds back hedges and retries.
    """

    load_balancer: loadbalancer.LoadBalancer
    extra_call_budget: windowbudget.WindowBudget
    partition_detector: partitiondetector.PartitionDetector = dataclasses.field(
        default_factory=partitiondetector.PartitionDetector
    )
    mechanisms: mechanism.Mechanisms = mechanism.ALL_ENABLED
    suspect_registry: quarantine.SuspectRegistry = dataclasses.field(
        default_factory=lambda: quarantine.SuspectRegistry(random.Random())
    )
    holds_extra_calls: HoldsExtraCalls = never_holds
