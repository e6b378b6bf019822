"""The shapes of days: which disturbances follow each other, and when."""
import math
import random

from .day import Day, Entry
from .variants import DELAYS, HOST_LOSSES, LOSSES, OTHERS, RELEASES

# Figures are drawn between this part of the dose and all of it.
SMALLEST_PART = 0.45
# An entry begins and ends at least this long before the end of the day.
LAST_START_S = 1.5
LAST_END_S = 0.5
SHORTEST_S = 30
LONGEST_S = 600


class _Draw:
    """Draws the entries of one day."""

    def __init__(self, shape, seed, site, doses, length_s):
        self.random = random.Random(f"{shape}/{site.name}/{seed}")
        self.length_s = length_s
        self._services = site.services
        self._doses = doses

    def service(self):
        return self.random.choice(self._services)

    def chance(self, probability):
        return self.random.random() < probability

    def _figure(self, variant, field):
        limit = self._doses.limit(variant.kind, variant.how, field)
        if field == "gap_s":
            # A longer pause is the weaker one.
            return math.ceil(self.random.uniform(1, 2) * limit * 10) / 10
        digits = 10 if field == "for_s" else 100
        value = self.random.uniform(SMALLEST_PART, 1) * limit
        # Small figures keep two digits that count.
        while 0 < value * digits < 10:
            digits *= 10
        return math.floor(value * digits) / digits

    def entry(self, variants, at, service):
        """Returns an entry for one of the variants that begins at about `at`; it is shortened at the day's end."""
        variant = self.random.choices(variants, [variant.weight for variant in variants])[0]
        fields = {"how": variant.how} if variant.how else {}
        fields |= dict(variant.fixed)
        fields |= {field: self._figure(variant, field) for field in variant.figures}
        at = round(min(max(at, 0.5), self.length_s - LAST_START_S), 2)
        if "for_s" in fields:
            fields["for_s"] = min(fields["for_s"], math.floor((self.length_s - LAST_END_S - at) * 10) / 10)
        if variant.of_service:
            fields["service"] = service
        return Entry(variant.kind, at, fields)


def loss(draw):
    """Every 15 to 18 s a release, the loss of a primary or a replica up to 8 s after it, and a delay beside the loss."""
    plan, faults = [], []
    start = draw.random.uniform(4, 5.5)
    while start <= draw.length_s - 12:
        service = draw.service()
        plan.append(draw.entry(RELEASES, start, service))
        struck = start + draw.random.uniform(0.2, 8)
        faults.append(draw.entry(LOSSES, struck, service))
        if draw.chance(0.85):
            faults.append(draw.entry(DELAYS, struck + draw.random.uniform(-2, 2), service))
        start += draw.random.uniform(15, 18)
    return plan, faults


def mix(draw):
    """Parts of 20 s with a release, hosts that lose their view of the members, the loss of a target, and others."""
    plan, faults = [], []
    start = 4.0
    while start <= draw.length_s - 15:
        service = draw.service()
        plan.append(draw.entry(RELEASES, start, service))
        drawn = [HOST_LOSSES, LOSSES]
        if draw.chance(0.5):
            drawn.append(OTHERS + DELAYS)
        if draw.chance(0.3):
            drawn.append(HOST_LOSSES)
        faults += [draw.entry(variants, start + draw.random.uniform(0.5, 12), service) for variants in drawn]
        start += 20
    return plan, faults


SHAPES = {"loss": loss, "mix": mix}
LENGTHS = {"loss": 92, "mix": 86}


def make_day(shape, seed, site, doses, length_s):
    """Returns the day of a seed. The same arguments always give the same day."""
    draw = _Draw(shape, seed, site, doses, length_s)
    plan, faults = SHAPES[shape](draw)
    return Day(f"{shape}-{seed}", length_s, tuple(plan), tuple(faults))
