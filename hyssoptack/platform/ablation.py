"""`python -m hyssoptack.platform.ablation`: what each mechanism is worth.

Plays days of the users' bench with all mechanisms at work, and with each one
switched off alone, and prints a table of the differences. Each variant is
played from a checkout of its own, so that this one can be edited meanwhile.
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
_WORTH = re.compile(r"^worth (-?[0-9.]+) = ", re.MULTILINE)
_BROKEN = re.compile(r"^rules broken: (.*)$", re.MULTILINE)
_SHARED = shutil.ignore_patterns(".git", ".venv", "journal", "__pycache__")


@dataclasses.dataclass(frozen=True, kw_only=True)
class Play:
    """One day played with one mechanism switched off; empty for none."""

    without: str
    site: str
    day: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Played:
    """What came of it; `worth` is None where the day could not be played."""

    play: Play
    worth: float | None
    broken: str = ""


def _prepare(folder: pathlib.Path, without: str) -> pathlib.Path:
    """Makes the checkout of a variant; returns where it lies."""
    tree = folder / (without or "all")
    if tree.exists():
        return tree
    shutil.copytree(".", tree, ignore=_SHARED)
    subprocess.run(["git", "init", "-q"], cwd=tree, check=True)
    if without:
        template = tree / TEMPLATE
        text = template.read_text("utf-8")
        setting = f'{{\n  "mechanisms": {{"{without}": false }},\n'
        template.write_text(text.replace("{\n", setting, 1), "utf-8")
    return tree


def _run(bench: str, folder: pathlib.Path, play: Play) -> Played:
    tree = folder / (play.without or "all")
    why = f"ablation: without {play.without or 'nothing'}"
    done = subprocess.run(
        [bench, "run", play.site, play.day, "--why", why],
        cwd=tree,
        capture_output=True,
        text=True,
        check=False,
    )
    found = _WORTH.search(done.stdout)
    broken = _BROKEN.search(done.stdout)
    return Played(
        play=play,
        worth=float(found.group(1)) if found else None,
        broken=broken.group(1) if broken else "",
    )


def _table(played: list[Played], days: list[tuple[str, str]]) -> str:
    """Returns the table: worth with all, and the change without each."""
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
            whole = worths["", site, day].worth
            if each.worth is None or whole is None:
                cells.append("not played")
                continue
            change = each.worth - whole
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
    """Plays days with each mechanism off, and prints what it changes.

    Args:
        bench: The bench's program.
        folder: Where checkouts are made; kept, with their journals.
        days: `SITE:DAY`, each a site file and the name of one of its days.
        jobs: Days played at a time.
    """
    chosen = [
        (each.rpartition(":")[0], each.rpartition(":")[2]) for each in days
    ]
    plays = [
        Play(without=name, site=site, day=day)
        for name in ("", *mechanism.NAMES)
        for site, day in chosen
    ]
    for name in ("", *mechanism.NAMES):
        _prepare(folder, name)
    with concurrent.futures.ThreadPoolExecutor(jobs) as pool:
        played = list(pool.map(lambda each: _run(bench, folder, each), plays))
    print(_table(played, chosen))


if __name__ == "__main__":
    cyclopts.run(ablation)
