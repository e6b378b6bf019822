#!/usr/bin/env python3
"""Writes days for the users' bench that mix releases, lost primaries and late orders."""
import argparse
import pathlib
import sys

from mixed.doses import SOURCES, Doses
from mixed.shapes import LENGTHS, LONGEST_S, SHAPES, SHORTEST_S, make_day
from mixed.sitefile import SiteError, read_site

MOST_DAYS = 10000


def _between(low, high):
    def convert(text):
        value = int(text)
        if not low <= value <= high:
            raise argparse.ArgumentTypeError(f"{value} isn't between {low} and {high}")
        return value

    convert.__name__ = "whole number"
    return convert


def parse_arguments(arguments):
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("site", metavar="SITE", help="site file of the bench")
    parser.add_argument("--shape", choices=sorted(SHAPES), default="loss",
                        help="loss: a release, then a loss, then a delay; mix: random mixes with releases (default: loss)")
    parser.add_argument("--seed", type=_between(0, 2**62), default=1, help="seed of the first day (default: 1)")
    parser.add_argument("--days", type=_between(1, MOST_DAYS), default=1, metavar="N",
                        help="how many days, with the seeds that follow (default: 1)")
    parser.add_argument("--out", required=True, metavar="DIR", type=pathlib.Path,
                        help="folder for SHAPE-SEED.toml; files with such a name are replaced")
    parser.add_argument("--length", type=_between(SHORTEST_S, LONGEST_S), metavar="S",
                        help=f"seconds of each day (default: {', '.join(f'{name} {s}' for name, s in LENGTHS.items())})")
    parser.add_argument("--doses", choices=SOURCES, default="site",
                        help="the largest figures: those of the site's list of troubles, or of the list and the standard "
                             "days of the site (default: site)")
    return parser.parse_args(arguments)


def main(arguments=None):
    options = parse_arguments(arguments)
    try:
        site = read_site(options.site)
        doses = Doses(site, options.doses)
        options.out.mkdir(parents=True, exist_ok=True)
        for seed in range(options.seed, options.seed + options.days):
            day = make_day(options.shape, seed, site, doses, options.length or LENGTHS[options.shape])
            (options.out / f"{day.name}.toml").write_text(day.to_toml(), encoding="utf-8")
    except (SiteError, OSError) as error:
        print(f"generate.py: {error}", file=sys.stderr)
        return 2
    print(f"{options.days} days in {options.out}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
