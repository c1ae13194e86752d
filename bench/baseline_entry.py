"""An entry instance with a weaker policy, to measure the product against."""

import pathlib
import sys

import cyclopts

from hyssoptack.entry import daemon
from hyssoptack.policy import admission
from hyssoptack.policy import hedging
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
        settings: The instance's YAML file.
        hedges: quantile, none, or fixed:MS.
        admits: Whether admission refuses.
    """
    read, errors = instance.load(settings)
    if read is None:
        sys.exit("\n".join(map(str, errors)))
    gate = admission.Adaptive() if admits else admission.AdmitAll()
    daemon.run(read, _hedging(hedges), gate)


if __name__ == "__main__":
    application()
