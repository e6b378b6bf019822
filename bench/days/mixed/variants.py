"""The disturbances that days are made of."""
from dataclasses import dataclass


@dataclass(frozen=True)
class Variant:
    """A kind of disturbance with one of its variants.

    figures: the fields that are drawn within the site's doses; fixed: fields with one value; weight: how often it is
    drawn, against the others; of_service: it strikes the targets of one service.
    """

    kind: str
    how: str = ""
    figures: tuple[str, ...] = ("share", "for_s")
    fixed: tuple[tuple[str, object], ...] = ()
    weight: int = 1
    of_service: bool = False


def _servers(kind, how, figures=("share", "for_s"), fixed=(), weight=1):
    return Variant(kind, how, figures, fixed, weight, of_service=True)


ONE = (("count", 1),)
ONE_HOST = (("on", "core"), ("count", 1))
ONE_AT_A_TIME = (("x", 1),)

RELEASES = (
    _servers("release", "across", ("gap_s",), ONE_AT_A_TIME, weight=2),
    _servers("release", "primary", ("gap_s",), ONE_AT_A_TIME),
    _servers("release", "", ("gap_s",), ONE_AT_A_TIME),
)

LOSSES = (
    _servers("primary_cut", "replicas", weight=3),
    _servers("primary_cut", "core", weight=2),
    _servers("primary_cut", "split", weight=2),
    _servers("primary_cut", "heals"),
    _servers("primary_cut", "", weight=2),
    _servers("srv_crash", "primary", ("for_s",), weight=2),
    _servers("srv_crash", "dark primary", ("for_s",), weight=2),
    _servers("srv_cut", "", weight=2),
    _servers("srv_cut", "fronts", ("share", "x", "for_s")),
    _servers("srv_cut", "some", ("share", "x", "for_s")),
    _servers("srv_cut", "some lossy", ("share", "x", "for_s")),
    _servers("srv_cut", "one_way"),
    _servers("srv_cut", "reset"),
    _servers("srv_cut", "reborn"),
    _servers("replica_lag", "deaf crash", ("x", "for_s"), ONE, weight=4),
)

DELAYS = (
    Variant("platform_lost", "late", ("x", "for_s"), weight=2),
    Variant("platform_lost", "", ("x", "for_s")),
    Variant("platform_slow", "", ("x", "for_s"), weight=2),
    Variant("node_freeze", "giver", ("for_s",), ONE_HOST),
    Variant("node_freeze", "renewed", ("for_s",), ONE_HOST),
    Variant("node_kill", "giver", ("for_s",), ONE_HOST),
    Variant("node_kill", "leader", ("for_s",), ONE_HOST),
    Variant("platform_down", "nodes"),
    Variant("platform_down", "nodes leader reset", ("for_s",), ONE),
)

# Hosts lose what they know of the members, or keep what is no longer so.
HOST_LOSSES = (
    Variant("herd_kill"),
    Variant("node_cut", "all"),
    Variant("core_cut", "leader", ("for_s",), ONE),
    Variant("node_cut", "servers reborn"),
)

OTHERS = (
    Variant("node_cut", "servers"),
    Variant("core_cut", "leader race", ("for_s",), ONE),
    Variant("platform_down", "silent lapse", ("for_s",)),
    Variant("answer_lost", "reset primary", ("share", "x", "for_s")),
    Variant("reset_conns", "", ("share", "x")),
    Variant("replica_lag", "", ("share", "x", "for_s")),
    Variant("srv_crash", "dark replica", ("for_s",), ONE),
    Variant("node_slow", "", ("share", "x", "for_s")),
)
