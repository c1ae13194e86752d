"""Processor time of a statechart step: sismic and the transition table."""

import importlib.resources

from sismic import interpreter
from sismic import io as sismic_io

from bench.slopes import fit
from hyssoptack.charts import chart

STEP_COUNTS = (200, 400, 800, 1_600)
EVENTS = ("answered", "failed", "answered", "failed", "failed", "probe_due")


def _sismic_us(count: int) -> float:
    folder = importlib.resources.files("hyssoptack.charts")
    text = folder.joinpath("upstream.yaml").read_text("utf-8")
    running = interpreter.Interpreter(sismic_io.import_from_yaml(text=text))
    running.execute()
    with fit.Stopwatch() as watch:
        for number in range(count):
            running.queue(EVENTS[number % len(EVENTS)])
            running.execute()
    return watch.cpu_ms * 1000


def _table_us(count: int) -> float:
    loaded = chart.load("upstream")
    state = loaded.initial
    with fit.Stopwatch() as watch:
        for number in range(count):
            state = loaded.step(state, EVENTS[number % len(EVENTS)])
    return watch.cpu_ms * 1000


def main() -> None:
    """Runs both interpreters and reports the time per step."""
    measures = {"sismic": _sismic_us, "table": _table_us}
    rows, lines = [], {}
    for name, measure in measures.items():
        values = [measure(count) for count in STEP_COUNTS]
        rows += [
            {"way": name, "steps": count, "us_a_step": round(value / count, 2)}
            for count, value in zip(STEP_COUNTS, values, strict=True)
        ]
        lines[f"cpu us by steps, {name}"] = fit.fit_line(
            list(STEP_COUNTS), values
        )
    fit.report("charts", rows, lines)


if __name__ == "__main__":
    main()
