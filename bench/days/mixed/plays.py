"""Plays days on the users' bench and sums up which rules broke."""
import json
import re
import subprocess
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field


@dataclass(frozen=True)
class Play:
    """A play of a day: the rules that broke, with counts, or why there is no result."""

    day: str
    seed: int
    breaks: dict = field(default_factory=dict)
    problem: str = ""

    def broken(self):
        return ", ".join(f"{rule} {count}" for rule, count in sorted(self.breaks.items()))


def seed_of(path, position, first):
    """Returns the seed for a day: the number that ends the file's name, or one counted from `first`."""
    number = re.search(r"(\d+)$", path.stem)
    if first is None:
        return int(number[1]) if number else 1 + position
    return first + position


def read_report(path):
    """Returns the broken rules and the fault in a report of the bench; raises OSError or ValueError."""
    with open(path, encoding="utf-8") as file:
        report = json.load(file)
    if not isinstance(report, dict) or not isinstance(report.get("breaks"), dict):
        raise ValueError("the report has no 'breaks'")
    return report["breaks"], str(report.get("fault") or "")


@dataclass(frozen=True)
class Player:
    """Plays days of one site.

    bench: the command of the bench; tree: the repository that is played; out: folder for reports and output; options:
    further options of the bench.
    """

    bench: str
    tree: str
    site: str
    out: object
    options: tuple[str, ...]
    limit_s: float

    def play(self, day, seed):
        """Returns the Play of a day file with a seed."""
        report = self.out / f"{day.stem}-seed-{seed}.json"
        report.unlink(missing_ok=True)
        command = [self.bench, "run", str(self.site), str(day), "--seed", str(seed), "--jobs", "1",
                   "--report", str(report), *self.options]
        with open(self.out / f"{day.stem}-seed-{seed}.txt", "wb") as output:
            try:
                status = subprocess.run(command, cwd=self.tree, stdin=subprocess.DEVNULL, stdout=output,
                                        stderr=subprocess.STDOUT, timeout=self.limit_s, check=False).returncode
            except subprocess.TimeoutExpired:
                return Play(day.name, seed, problem=f"no result within {self.limit_s:g} s")
            except OSError as error:
                return Play(day.name, seed, problem=f"can't run the bench: {error}")
        try:
            breaks, fault = read_report(report)
        except (OSError, ValueError) as error:
            return Play(day.name, seed, problem=f"status {status}, no report: {error}")
        return Play(day.name, seed, breaks, fault)


def play_all(player, days, jobs, done):
    """Plays pairs of a day file and a seed, `jobs` at once; calls `done` for each; returns the plays in their order."""
    with ThreadPoolExecutor(jobs) as pool:
        def one(pair):
            play = player.play(*pair)
            done(play)
            return play

        return list(pool.map(one, days))


def summary(site, plays):
    """Returns the table of the plays in Markdown, with a line of totals."""
    lines = ["| day | seed | broken |", "|---|---|---|"]
    for play in plays:
        cells = [text for text in (play.broken(), play.problem) if text]
        lines.append(f"| {play.day} | {play.seed} | {'; '.join(cells) or '-'} |")
    days, counts = Counter(), Counter()
    for play in plays:
        days.update(play.breaks.keys())
        counts.update(play.breaks)
    rules = ", ".join(f"{rule} on {days[rule]} ({counts[rule]})" for rule in sorted(days))
    broken = sum(1 for play in plays if play.breaks)
    problems = sum(1 for play in plays if play.problem)
    total = f"{site}: {len(plays)} plays, {broken} with a broken rule{': ' + rules if rules else ''}"
    return "\n".join([*lines, "", total + (f"; {problems} with a problem" if problems else "")]) + "\n"
