"""Reads a site file of the users' bench."""
import math
import pathlib
import tomllib
from dataclasses import dataclass

NUMBERS = ("share", "count", "x", "for_s", "gap_s")


class SiteError(Exception):
    """A site file that can't be used; the text names the file and the field."""


@dataclass(frozen=True)
class Trouble:
    """One disturbance of the site: its kind, its variant and its figures."""

    kind: str
    how: str
    figures: dict[str, float]


@dataclass(frozen=True)
class SiteFile:
    """What the days need of a site.

    services: the names of the services with a database; listed: the list `troubles`; played: the disturbances of the
    standard days.
    """

    name: str
    services: tuple[str, ...]
    listed: tuple[Trouble, ...]
    played: tuple[Trouble, ...]


def _tables(table, key, where):
    entries = table.get(key, [])
    if not isinstance(entries, list) or not all(isinstance(entry, dict) for entry in entries):
        raise SiteError(f"{where}: '{key}' must be a list of tables")
    return entries


def _trouble(entry, where):
    kind = entry.get("kind")
    how = entry.get("how", "")
    if not isinstance(kind, str) or not kind:
        raise SiteError(f"{where}: an entry has no 'kind'")
    if not isinstance(how, str):
        raise SiteError(f"{where}: 'how' of {kind} must be a string")
    figures = {}
    for field in NUMBERS:
        value = entry.get(field)
        if value is None:
            continue
        if isinstance(value, bool) or not isinstance(value, (int, float)) or not math.isfinite(value) or value < 0:
            raise SiteError(f"{where}: '{field}' of {kind} must be a number that isn't negative")
        figures[field] = float(value)
    return Trouble(kind, how, figures)


def _services(table, where):
    names = []
    for service in _tables(table, "services", where):
        if not isinstance(service.get("db"), dict):
            continue
        name = service.get("name")
        if not isinstance(name, str) or not name:
            raise SiteError(f"{where}: a service with 'db' has no 'name'")
        names.append(name)
    if not names:
        raise SiteError(f"{where}: 'services' has no service with 'db'")
    return tuple(names)


def parse_site(text, where):
    """Returns the SiteFile of a text; raises SiteError, which names `where`."""
    try:
        table = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise SiteError(f"{where}: not TOML: {error}") from error
    name = table.get("name")
    if not isinstance(name, str) or not name:
        raise SiteError(f"{where}: 'name' must be a string")
    if "troubles" not in table:
        raise SiteError(f"{where}: the list 'troubles' is missing")
    listed = [_trouble(entry, f"{where}: 'troubles'") for entry in _tables(table, "troubles", where)]
    played = []
    for day in _tables(table, "day", where):
        for key in ("plan", "faults"):
            played += [_trouble(entry, f"{where}: '{key}' of a day") for entry in _tables(day, key, where)]
    return SiteFile(name, _services(table, where), tuple(listed), tuple(played))


def read_text(path):
    """Returns the text of a site file; raises SiteError."""
    try:
        return pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SiteError(f"{path}: can't be read: {error}") from error


def read_site(path):
    """Returns the SiteFile at a path; raises SiteError."""
    return parse_site(read_text(path), str(path))
