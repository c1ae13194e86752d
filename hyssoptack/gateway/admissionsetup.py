"""Creates the admission control of a gateway whose settings enable it."""

import random
import typing

from hyssoptack.balancing import loadbalancer
from hyssoptack.gateway import metrics
from hyssoptack.membership import partitiondetector
from hyssoptack.settings import gateway

if typing.TYPE_CHECKING:
    from hyssoptack.gateway import admissioncontrol


def for_instance(
    settings: gateway.GatewaySettings,
    load_balancer: loadbalancer.LoadBalancer,
    detector: partitiondetector.PartitionDetector,
    collectors: metrics.Metrics,
) -> "admissioncontrol.AdmissionControl | None":
    """Returns the admission control of a gateway; None if it is disabled.

    Args:
        settings: The gateway's settings.
        load_balancer: The gateway's load balancer.
        detector: Detects that the failure domain is partitioned.
        collectors: The gateway's metrics.
    """
    if not settings.admission.enabled:
        return None
    # Imported where it is used: it takes a tenth of the time of all imports.
    from hyssoptack.gateway import admissioncontrol

    return admissioncontrol.AdmissionControl(
        load_balancer, detector, collectors, random.Random()
    )
