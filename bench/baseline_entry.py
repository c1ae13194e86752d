"""An entry instance with a baseline policy, for comparison with the product."""

import pathlib
import sys

import cyclopts

from hyssoptack.admission import limiter
from hyssoptack.entry import daemon
from hyssoptack.hedging import hedging
from hyssoptack.settings import instance

application = cyclopts.App(name="baseline-entry")


def _hedging(text: str) -> hedging.HedgePolicy:
    if text == "none":
        return hedging.NoHedge()
    if text.startswith("fixed:"):
        return hedging.HedgeAfterDelay(delay_ms=float(text[6:]))
    return hedging.HedgeAfterQuantile()


@application.default
def main(
    settings: pathlib.Path, *, hedges: str = "quantile", admits: bool = True
) -> None:
    """Runs an instance.

    Args:
        settings: Path of the instance's YAML settings.
        hedges: Hedging policy: quantile, none or fixed:MS.
        admits: Whether adaptive admission may reject requests.
    """
    read, errors = instance.load(settings)
    if read is None:
        sys.exit("\n".join(map(str, errors)))
    admission_policy = limiter.Adaptive() if admits else limiter.AdmitAll()
    daemon.run(read, _hedging(hedges), admission_policy)


if __name__ == "__main__":
    application()
