r"""Which target is offered a new flow first, and next.

Explanation
===========

Flows are short, so a report of load is worth little after a few service
times. A placement therefore only guesses; an agent whose target has no free
slot returns the offer, and the next guess follows. The estimate of a target
is the time that a new request would wait there: its reported backlog, which
fades with age, and the own offers that no report covers yet, over its
speed. Different balancers share nothing.
"""

import math

from poplarstep.core import registry

DEFAULT_PLACEMENT = 'two-choices'
PLACEMENTS = registry.Registry('placement')

# A backlog of requests of some 20 ms has mostly changed after this time.
FADE_MS = 60.0
DEFAULT_SERVICE_US = 20_000
# A target that did not answer an offer is not tried first for this long,
# twice as long after each further silence, up to the maximum.
SILENCE_MS = 400
MAXIMUM_SILENCE_MS = 3200


class Known:
    r"""What a balancer knows of one target.

    ``pending`` counts offers without an answer, ``silences`` offers in a
    row that were not answered in time.
    """

    __slots__ = (
        'backlog', 'reported_at', 'service_us', 'pending', 'silences',
        'avoid_until')

    def __init__(self):
        self.backlog = 0
        self.reported_at = 0
        self.service_us = 0
        self.pending = 0
        self.silences = 0
        self.avoid_until = 0


class Placement:
    r"""Observations of targets by number; subclasses choose."""

    __slots__ = ('random', 'known_by_number')

    def __init__(self, random):
        self.random = random
        self.known_by_number = {}

    def known(self, number):
        r"""Return what is known of a target."""
        known = self.known_by_number.get(number)
        if known is None:
            known = self.known_by_number[number] = Known()
        return known

    def offered(self, number):
        r"""Count an offer that is on its way."""
        self.known(number).pending += 1

    def withdrawn(self, number):
        r"""Forget an offer whose answer is not awaited any more."""
        known = self.known(number)
        known.pending = max(0, known.pending - 1)

    def answered(self, number, load, now):
        r"""Take in the load that came with an answer."""
        self.withdrawn(number)
        known = self.known(number)
        known.backlog = load.backlog
        known.reported_at = now
        known.silences = 0
        known.avoid_until = 0
        if load.service_us:
            known.service_us = load.service_us

    def silent(self, number, now):
        r"""Avoid a target that did not answer an offer in time."""
        self.withdrawn(number)
        known = self.known(number)
        known.avoid_until = now + min(
            MAXIMUM_SILENCE_MS, SILENCE_MS * 2 ** known.silences)
        known.silences += 1

    def forget(self, numbers):
        r"""Drop what is known of targets that are not in ``numbers``."""
        for number in list(self.known_by_number):
            if number not in numbers:
                del self.known_by_number[number]

    def wait_us(self, target, now):
        r"""Return the estimated wait of a new request, in microseconds."""
        known = self.known(target.number)
        fade = math.exp((known.reported_at - now) / FADE_MS)
        backlog = known.backlog * fade + known.pending
        return (backlog + 1) * self.service_us(target) / target.slots

    def service_us(self, target):
        r"""Return the mean service time of a target, in microseconds."""
        return self.known(target.number).service_us or DEFAULT_SERVICE_US

    def usable(self, candidates, tried, now):
        r"""Return the untried targets, without silent ones if possible."""
        untried = [item for item in candidates if item.number not in tried]
        answering = [
            item for item in untried
            if self.known(item.number).avoid_until <= now]
        return answering or untried


@PLACEMENTS.register('random')
class RandomPlacement(Placement):
    r"""Any untried target; a baseline."""

    __slots__ = ()

    def choose(self, candidates, tried, now):
        r"""Return a target, or None when all were tried."""
        usable = self.usable(candidates, tried, now)
        return self.random.choice(usable) if usable else None


@PLACEMENTS.register('two-choices')
class TwoChoices(Placement):
    r"""The shorter estimated wait of two, drawn by speed."""

    __slots__ = ()

    def choose(self, candidates, tried, now):
        r"""Return a target, or None when all were tried."""
        usable = self.usable(candidates, tried, now)
        if len(usable) <= 1:
            return usable[0] if usable else None
        weights = [
            item.slots / self.service_us(item) for item in usable]
        drawn = self.random.choices(usable, weights, k=2)
        return min(drawn, key=lambda item: self.wait_us(item, now))


def make_placement(name, random):
    r"""Return a placement by its registered name.

    Raises
    ======

    KeyError
        If the name is unknown; settings are checked before.
    """
    return PLACEMENTS.entry_by_name[name](random)
