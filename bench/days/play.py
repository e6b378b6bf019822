#!/usr/bin/env python3
"""Plays a folder of days on a site of the users' bench and writes one table: day, seed, broken rules with counts.

Exit status: 0 no rule broke, 1 a rule broke or a play has no result, 2 wrong call.
"""
import argparse
import pathlib
import re
import shutil
import sys

from mixed.plays import Player, play_all, seed_of, summary
from mixed.sitecopy import copy_site
from mixed.sitefile import SiteError, read_site


def _at_least(low):
    def convert(text):
        value = int(text)
        if value < low:
            raise argparse.ArgumentTypeError(f"{value} is below {low}")
        return value

    convert.__name__ = "whole number"
    return convert


def parse_arguments(arguments):
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("site", metavar="SITE", type=pathlib.Path, help="site file of the bench")
    parser.add_argument("days", metavar="DAYS", type=pathlib.Path, help="folder of day files")
    parser.add_argument("--out", metavar="DIR", type=pathlib.Path, required=True,
                        help="folder for table.md, and for the report and the output of each play")
    parser.add_argument("--bench", metavar="COMMAND", default="fleetbench", help="the bench (default: fleetbench)")
    parser.add_argument("--tree", metavar="DIR", type=pathlib.Path, default=pathlib.Path(__file__).resolve().parents[2],
                        help="repository to play (default: the one that holds this script)")
    parser.add_argument("--seed", type=_at_least(0), metavar="N",
                        help="seed of the first day, counted on (default: the number that ends the name of the day's file, "
                             "or 1 counted on)")
    parser.add_argument("--jobs", type=_at_least(1), default=1, metavar="N", help="plays at once (default: 1)")
    parser.add_argument("--limit", type=_at_least(1), default=300, metavar="S", help="seconds for a play (default: 300)")
    parser.add_argument("--why", default="", metavar="TEXT", help="a line for the journal")
    parser.add_argument("--cpu", action="store_true", help="charge processor time; plays of a seed then differ more")
    parser.add_argument("--keep", metavar="DIR", type=pathlib.Path, help="copy the days on which a rule broke to this folder")
    parser.add_argument("--members", type=_at_least(1), metavar="N",
                        help="play a copy of the site, in the folder of --out, with groups of N members")
    parser.add_argument("--sync", type=_at_least(0), metavar="N", help="SyncReplicas of the copy (with --members)")
    options = parser.parse_args(arguments)
    if (options.members is None) != (options.sync is None):
        parser.error("--members and --sync go together")
    if options.members is not None and options.sync >= options.members:
        parser.error("--sync must be below --members")
    return options


def _in_order(path):
    return [int(part) if part.isdigit() else part for part in re.split(r"(\d+)", path.name)]


def main(arguments=None):
    options = parse_arguments(arguments)
    try:
        site = options.site.resolve()
        if options.members is not None:
            site = copy_site(site, options.out.resolve(), options.members, options.sync)
        name = read_site(site).name
        days = sorted(options.days.resolve().glob("*.toml"), key=_in_order)
        if not days:
            raise SiteError(f"{options.days}: no day files")
        options.out.mkdir(parents=True, exist_ok=True)
        if options.keep:
            options.keep.mkdir(parents=True, exist_ok=True)
    except (SiteError, OSError) as error:
        print(f"play.py: {error}", file=sys.stderr)
        return 2

    bench_options = (() if options.cpu else ("--no-cpu",)) + (("--why", options.why) if options.why else ())
    player = Player(options.bench, str(options.tree), str(site), options.out.resolve(), bench_options, options.limit)

    def done(play):
        print(f"{play.day} seed {play.seed}: {play.broken() or play.problem or 'held'}", flush=True)

    pairs = [(day, seed_of(day, position, options.seed)) for position, day in enumerate(days)]
    plays = play_all(player, pairs, options.jobs, done)
    table = summary(name, plays)
    (options.out / "table.md").write_text(table, encoding="utf-8")
    print(table, end="")
    for (day, _), play in zip(pairs, plays):
        if play.breaks and options.keep:
            shutil.copy(day, options.keep / f"{name}-{day.name}")
    return 1 if any(play.breaks or play.problem for play in plays) else 0


if __name__ == "__main__":
    sys.exit(main())
