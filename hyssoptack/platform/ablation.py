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
        play: The run.
        worth: The bench's score; None where the run failed.
        broken: The rules that the run broke, as printed by the bench.
    """

    play: BenchRun
    worth: float | None
    broken: str = ""


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


def _run_day(bench: str, folder: pathlib.Path, play: BenchRun) -> RunResult:
    """Runs one bench day in its variant's checkout."""
    tree = folder / (play.without or "all")
    why = f"ablation: without {play.without or 'nothing'}"
    process = subprocess.run(
        [bench, "run", play.site, play.day, "--why", why],
        cwd=tree,
        capture_output=True,
        text=True,
        check=False,
    )
    found = _WORTH_LINE.search(process.stdout)
    broken = _BROKEN_LINE.search(process.stdout)
    return RunResult(
        play=play,
        worth=float(found.group(1)) if found else None,
        broken=broken.group(1) if broken else "",
    )


def _markdown_table(
    played: list[RunResult], days: list[tuple[str, str]]
) -> str:
    """Formats a Markdown table: the score, and the change without each."""
    worths = {
        (each.play.without, each.play.site, each.play.day): each
        for each in played
    }
    titles = [f"{pathlib.Path(site).stem} {day}" for site, day in days]
    lines = ["| without | " + " | ".join(titles) + " | mean |"]
    lines.append("|---" * (len(days) + 2) + "|")
    for name in ("", *mechanism.NAMES):
        cells = []
        changes = []
        for site, day in days:
            each = worths[name, site, day]
            full_worth = worths["", site, day].worth
            if each.worth is None or full_worth is None:
                cells.append("not played")
                continue
            change = each.worth - full_worth
            changes.append(change if name else each.worth)
            text = f"{change:+.3f}" if name else f"{each.worth:.3f}"
            cells.append(f"{text} {each.broken}".strip())
        mean = sum(changes) / len(changes) if changes else 0.0
        cells.append(f"{mean:+.3f}" if name else f"{mean:.3f}")
        lines.append(f"| {name or '(all at work)'} | " + " | ".join(cells))
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
    plays = [
        BenchRun(without=name, site=site, day=day)
        for name in ("", *mechanism.NAMES)
        for site, day in site_days
    ]
    for name in ("", *mechanism.NAMES):
        _create_checkout(folder, name)
    with concurrent.futures.ThreadPoolExecutor(jobs) as pool:
        played = list(
            pool.map(lambda each: _run_day(bench, folder, each), plays)
        )
    print(_markdown_table(played, site_days))


if __name__ == "__main__":
    cyclopts.run(ablation)
