"""What the plans of all requests of an instance draw on."""

import dataclasses
import random

from hyssoptack.core import mechanism
from hyssoptack.policy import loadbalancer
from hyssoptack.policy import partitiondetector
from hyssoptack.policy import quarantine
from hyssoptack.policy import windowbudget


@dataclasses.dataclass(frozen=True, kw_only=True)
class PlanContext:
    """What all plans of an instance draw on.

    Attributes:
        load_balancer: Standings of the upstreams.
        extra_call_budget: The budget of calls beyond the first.
        partition_detector: Whether other failure domains can be reached.
        mechanisms: What is at work.
        suspicions: Which requests crash upstreams.
    """

    load_balancer: loadbalancer.LoadBalancer
    extra_call_budget: windowbudget.WindowBudget
    partition_detector: partitiondetector.PartitionDetector = dataclasses.field(
        default_factory=partitiondetector.PartitionDetector
    )
    mechanisms: mechanism.Mechanisms = mechanism.ALL_ENABLED
    suspicions: quarantine.SuspectRegistry = dataclasses.field(
        default_factory=lambda: quarantine.SuspectRegistry(random.Random())
    )
