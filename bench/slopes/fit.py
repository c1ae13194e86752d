"""Linear fits, measurement of processes and reports of the benchmarks."""

import dataclasses
import json
import os
import pathlib
import resource
import time

import numpy


@dataclasses.dataclass(frozen=True, kw_only=True)
class Line:
    """A fitted line.

    Attributes:
        slope: Increase per unit of size.
        base: Value at size zero.
        error_ratio: Largest relative error of a point.
    """

    slope: float
    base: float
    error_ratio: float

    def at(self, size: float) -> float:
        """Returns the line's value at a size."""
        return self.base + self.slope * size


def fit_line(sizes: list[float], values: list[float]) -> Line:
    """Returns the line with the least squares of relative errors."""
    weights = [1.0 / max(abs(value), 1e-12) for value in values]
    slope, base = numpy.polyfit(sizes, values, 1, w=weights)
    errors = [
        abs(base + slope * size - value) / max(abs(value), 1e-12)
        for size, value in zip(sizes, values, strict=True)
    ]
    return Line(slope=float(slope), base=float(base), error_ratio=max(errors))


class Stopwatch:
    """Measures wall-clock and processor time of a `with` block."""

    def __enter__(self) -> "Stopwatch":
        self._wall_s = time.perf_counter()
        self._cpu_s = time.process_time()
        return self

    def __exit__(self, *_details: object) -> None:
        self.wall_ms = (time.perf_counter() - self._wall_s) * 1000
        self.cpu_ms = (time.process_time() - self._cpu_s) * 1000


def process_cpu_s(pid: int) -> float:
    """Returns the processor time in seconds that a process has used."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2]
    words = fields.split()
    return (int(words[11]) + int(words[12])) / os.sysconf("SC_CLK_TCK")


def process_memory_mb(pid: int) -> float:
    """Returns the resident memory of a process in megabytes."""
    text = pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1]
    return int(text) * resource.getpagesize() / 1e6


def quantile(values: list[float], ratio: float) -> float:
    """Returns the quantile of values at a ratio between 0 and 1."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(ratio * len(ordered)))]


def report(name: str, rows: list[dict], lines: dict[str, Line]) -> None:
    """Prints rows and fitted lines and writes them as JSON to run/slopes."""
    print(f"\n{name}")
    for row in rows:
        print("  " + "  ".join(f"{key}={value}" for key, value in row.items()))
    for label, each in lines.items():
        print(
            f"  fit {label}: {each.base:.4g} + {each.slope:.4g} x size, "
            f"off by at most {100 * each.error_ratio:.0f}%"
        )
    folder = pathlib.Path(__file__).resolve().parents[2] / "run" / "slopes"
    folder.mkdir(parents=True, exist_ok=True)
    document = {
        "rows": rows,
        "lines": {key: dataclasses.asdict(each) for key, each in lines.items()},
    }
    (folder / f"{name}.json").write_text(json.dumps(document, indent=1))
