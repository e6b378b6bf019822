"""How strong a disturbance of a day may be."""

# `fleetbench kinds`: the defaults of the bench.
COMMON_DEFAULTS = {"for_s": 5.0, "gap_s": 1.0, "count": 1.0}
DEFAULTS = {
    "answer_lost": {"share": 0.5, "x": 0.03},
    "herd_kill": {"share": 0.6},
    "node_cut": {"share": 0.1},
    "node_freeze": {"share": 0.1},
    "node_kill": {"share": 0.1},
    "node_slow": {"share": 0.1, "x": 5.0},
    "platform_down": {"share": 0.35},
    "platform_lost": {"x": 0.3},
    "platform_slow": {"x": 50.0},
    "primary_cut": {"share": 0.4},
    "release": {"share": 0.5, "x": 1.0},
    "replica_lag": {"share": 0.5, "x": 50.0},
    "reset_conns": {"share": 0.1, "x": 0.5},
    "srv_crash": {"share": 0.15},
    "srv_cut": {"share": 0.2, "x": 0.3},
}
# A variant whose share is one of other things than that of its kind.
SEPARATE = {"node_cut": "servers", "platform_down": "nodes"}
SOURCES = ("list", "site")


def _key(kind, how):
    word = SEPARATE.get(kind)
    return (kind, word if word in how.split() else "")


class Doses:
    """The largest figure for each kind and field.

    With the source "list" it is that of the site's list `troubles`, with "site" that of the list and of the standard
    days. Where neither has the kind or the field, it is the default of the kind.
    """

    def __init__(self, site, source="site"):
        self._limits = {}
        self._listed = {}
        for trouble in site.listed + (site.played if source == "site" else ()):
            self._note(self._limits, _key(trouble.kind, trouble.how), trouble.figures)
        for trouble in site.listed:
            self._note(self._listed, trouble.kind, trouble.figures)

    @staticmethod
    def _note(limits, key, figures):
        for field, value in figures.items():
            known = limits.setdefault(key, {})
            known[field] = max(known.get(field, 0.0), value)

    def limit(self, kind, how, field):
        """Returns the largest figure of a field; raises KeyError for a field that the kind doesn't have."""
        for known in (self._limits.get(_key(kind, how), {}), self._listed.get(kind, {}), DEFAULTS.get(kind, {})):
            if field in known:
                return known[field]
        return COMMON_DEFAULTS[field]
