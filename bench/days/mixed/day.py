"""A day and its text."""
import json
from dataclasses import dataclass, field


@dataclass(frozen=True)
class Entry:
    """One disturbance: its kind, when it begins (seconds from the start of traffic) and its other fields."""

    kind: str
    at: float
    fields: dict = field(default_factory=dict)

    @property
    def how(self):
        return self.fields.get("how", "")

    @property
    def end(self):
        return self.at + self.fields.get("for_s", 0.0)

    def to_toml(self):
        values = {"kind": self.kind, **self.fields, "at": round(self.at, 2)}
        return "{ " + ", ".join(f"{key} = {json.dumps(value, ensure_ascii=False)}" for key, value in values.items()) + " }"


@dataclass(frozen=True)
class Day:
    """A day: planned work and faults, in the order of their beginnings."""

    name: str
    length_s: float
    plan: tuple[Entry, ...]
    faults: tuple[Entry, ...]

    def to_toml(self):
        lines = [f"name = {json.dumps(self.name)}", f"length_s = {self.length_s:g}"]
        for key, entries in (("plan", self.plan), ("faults", self.faults)):
            lines.append(f"{key} = [")
            lines += [f"  {entry.to_toml()}," for entry in sorted(entries, key=lambda entry: entry.at)]
            lines.append("]")
        return "\n".join(lines) + "\n"
