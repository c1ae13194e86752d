"""What the plans of all requests of an instance draw on."""

import dataclasses
import random

from hyssoptack.core import mechanism
from hyssoptack.policy import extrawindow
from hyssoptack.policy import placing
from hyssoptack.policy import reach
from hyssoptack.policy import suspicion


@dataclasses.dataclass(frozen=True, kw_only=True)
class Knowledge:
    """What all plans of an instance draw on.

    Attributes:
        placing: Standings of the upstreams.
        extra_calls: The budget of calls beyond the first.
        domains: Whether other failure domains can be reached.
        mechanisms: What is at work.
        suspicions: Which requests crash upstreams.
    """

    placing: placing.Placing
    extra_calls: extrawindow.Book
    domains: reach.PartitionDetector = dataclasses.field(
        default_factory=reach.PartitionDetector
    )
    mechanisms: mechanism.Mechanisms = mechanism.ALL_ENABLED
    suspicions: suspicion.SuspectRegistry = dataclasses.field(
        default_factory=lambda: suspicion.SuspectRegistry(random.Random())
    )
