"""`python -m hyssoptack.platform.ablation`: measures each mechanism's effect.

Runs days of the users' bench with all mechanisms enabled and with each one
disabled alone, and prints a table of the differences in score. Each variant
runs from its own checkout, so that the current one can be edited during a run.
"""

import concurrent.futures
import dataclasses
import pathlib
import re
import shutil
import subprocess

import cyclopts

from hyssoptack.core import mechanism

TEMPLATE = "deploy/gateway.yaml.in"
_WORTH_LINE = re.compile(r"^worth (-?[0-9.]+) = ", re.MULTILINE)
_BROKEN_LINE = re.compile(r"^rules broken: (.*)$", re.MULTILINE)
_NOT_COPIED = shutil.ignore_patterns(".git", ".venv", "journal", "__pycache__")


@dataclasses.dataclass(frozen=True, kw_only=True)
class BenchRun:
    """A bench day to run with at most one mechanism disabled.

    Attributes:
        without: The disabled mechanism; empty for none.
        site: Path of the site file.
        day: Name of one of the site's days.
    """

    without: str
    site: str
    day: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class RunResult:
    """The result of one run.

    Attributes:
        run: The run.
        score: The bench's score; None where the run failed.
        broken_rules: The rules that the run broke, as printed by the bench.
    """

    run: BenchRun
    score: float | None
    broken_rules: str = ""


def _create_checkout(folder: pathlib.Path, without: str) -> pathlib.Path:
    """Creates the checkout of a variant and returns its path."""
    tree = folder / (without or "all")
    if tree.exists():
        return tree
    shutil.copytree(".", tree, ignore=_NOT_COPIED)
    subprocess.run(["git", "init", "-q"], cwd=tree, check=True)
    if without:
        template = tree / TEMPLATE
        text = template.read_text("utf-8")
        setting = f'{{\n  "mechanisms": {{"{without}": false }},\n'
        template.write_text(text.replace("{\n", setting, 1), "utf-8")
    return tree


def _run_day(bench: str, folder: pathlib.Path, run: BenchRun) -> RunResult:
    """Runs one bench day in its variant's checkout."""
    tree = folder / (run.without or "all")
    why = f"ablation: without {run.without or 'nothing'}"
    process = subprocess.run(
        [bench, "run", run.site, run.day, "--why", why],
        cwd=tree,
        capture_output=True,
        text=True,
        check=False,
    )
    found = _WORTH_LINE.search(process.stdout)
    broken = _BROKEN_LINE.search(process.stdout)
    return RunResult(
        run=run,
        score=float(found.group(1)) if found else None,
        broken_rules=broken.group(1) if broken else "",
    )


def _markdown_table(
    results: list[RunResult], days: list[tuple[str, str]]
) -> str:
    """Formats a Markdown table of the scores.

    The first row shows the score with all mechanisms enabled; each other row
    shows the change in score without one of them.
    """
    results_by_run = {
        (each.run.without, each.run.site, each.run.day): each
        for each in results
    }
    titles = [f"{pathlib.Path(site).stem} {day}" for site, day in days]
    lines = ["| without | " + " | ".join(titles) + " | mean |"]
    lines.append("|---" * (len(days) + 2) + "|")
    for name in ("", *mechanism.NAMES):
        cells = []
        changes = []
        for site, day in days:
            each = results_by_run[name, site, day]
            baseline_score = results_by_run["", site, day].score
            if each.score is None or baseline_score is None:
                cells.append("run failed")
                continue
            change = each.score - baseline_score
            changes.append(change if name else each.score)
            text = f"{change:+.3f}" if name else f"{each.score:.3f}"
            cells.append(f"{text} {each.broken_rules}".strip())
        mean = sum(changes) / len(changes) if changes else 0.0
        cells.append(f"{mean:+.3f}" if name else f"{mean:.3f}")
        lines.append(f"| {name or '(all enabled)'} | " + " | ".join(cells))
    return "\n".join(f"{line} |" if line[-1] != "|" else line for line in lines)


def ablation(
    bench: str, folder: pathlib.Path, *days: str, jobs: int = 4
) -> None:
    """Runs days with each mechanism disabled and prints the changes in score.

    Args:
        bench: Path of the bench's executable.
        folder: Directory for the checkouts; they and their journals are kept.
        days: `SITE:DAY`, each a site file and the name of one of its days.
        jobs: Number of days that run at the same time.
    """
    site_days = [
        (each.rpartition(":")[0], each.rpartition(":")[2]) for each in days
    ]
    runs = [
        BenchRun(without=name, site=site, day=day)
        for name in ("", *mechanism.NAMES)
        for site, day in site_days
    ]
    for name in ("", *mechanism.NAMES):
        _create_checkout(folder, name)
    with concurrent.futures.ThreadPoolExecutor(jobs) as pool:
        results = list(
            pool.map(lambda each: _run_day(bench, folder, each), runs)
        )
    print(_markdown_table(results, site_days))


if __name__ == "__main__":
    cyclopts.run(ablation)
