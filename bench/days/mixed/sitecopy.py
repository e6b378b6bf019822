"""Copies a site file with other sizes of groups."""
import pathlib
import re
import tomllib

from .sitefile import SiteError, parse_site, read_text


def _spread(zones, members):
    """Returns the number of members for each zone, as even as can be, the first zones first."""
    return [members // len(zones) + (1 if index < members % len(zones) else 0) for index in range(len(zones))]


def _service_line(line, members, sync):
    servers = re.search(r"servers = \[(.*?)\]", line)
    zones = re.findall(r'zone = ("(?:[^"\\]|\\.)*")', servers[1]) if servers else []
    if not zones or "sync =" not in line:
        return None
    entries = [f"{{ zone = {zone}, count = {count} }}" for zone, count in zip(zones, _spread(zones, members)) if count]
    line = line[:servers.start()] + f"servers = [{', '.join(entries)}]" + line[servers.end():]
    return re.sub(r"\bsync = \d+", f"sync = {sync}", line)


def resized_text(text, members, sync, where):
    """Returns the text of a site file whose groups have `members` members and SyncReplicas `sync`.

    The services stand on one line each, as the bench writes them. Raises SiteError if one can't be changed.
    """
    site = parse_site(text, where)
    lines = text.splitlines()
    for name in site.services:
        start = re.compile(r'\s*\{\s*name = ' + re.escape(f'"{name}"') + r".*\bdb = \{")
        found = [index for index, line in enumerate(lines) if start.match(line)]
        changed = _service_line(lines[found[0]], members, sync) if len(found) == 1 else None
        if changed is None:
            raise SiteError(f"{where}: the service {name} isn't one line with 'servers' and 'sync'")
        lines[found[0]] = changed
    lines = [f'name = "{site.name}-{members}-{sync}"' if line == f'name = "{site.name}"' else line for line in lines]
    resized = "\n".join(lines) + "\n"
    for service in tomllib.loads(resized)["services"]:
        if service["name"] not in site.services:
            continue
        if sum(entry["count"] for entry in service["servers"]) != members or service["db"]["sync"] != sync:
            raise SiteError(f"{where}: the sizes of the service {service['name']} can't be changed")
    return resized


def copy_site(path, folder, members, sync):
    """Writes the changed copy and the file of messages that it names into a folder; returns the copy's path."""
    path = pathlib.Path(path)
    text = resized_text(read_text(path), members, sync, str(path))
    copy = pathlib.Path(folder) / f"{path.stem}-{members}-{sync}.toml"
    copy.parent.mkdir(parents=True, exist_ok=True)
    copy.write_text(text, encoding="utf-8")
    wire = tomllib.loads(text).get("wire")
    if isinstance(wire, str):
        (copy.parent / wire).write_bytes((path.parent / wire).read_bytes())
    return copy
