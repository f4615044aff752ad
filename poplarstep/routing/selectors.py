r"""Selectors: the target that receives the next open of a service.

Explanation
===========

A selector sees candidates with the attributes ``number``, ``slots`` and
``connections``, and learns from the fate of the opens that its balancer
sent. Selectors of different balancers share nothing.
"""

import math

from poplarstep.core import registry
from poplarstep.routing import selector_state

DEFAULT_SELECTOR = 'two-choices-aged'
SELECTORS = registry.Registry('selector')

PAIR_ATTEMPTS = 4
# 8 kept the spread of 300 balancers but was worse for 3 (1.040, not 1.032).
OPENS_KEPT = 20
SCAN_LENGTH = 16
REPORT_TIME_CONSTANT_MS = 10_000
FROZEN_AFTER = 8
SPEED_TIME_CONSTANT_MS = 10_000
MEAN_WEIGHT = 0.1
MAXIMUM_CORRECTION = 1.25
MAXIMUM_SPEED_RATIO = 8.0
MAXIMUM_MOVE = 1.5


def make_selector(name, random):
    r"""Return a new selector of a registered name.

    Parameters
    ==========

    name : str
        One of ``SELECTORS.names()``.
    random : random.Random
        Source of random numbers.

    Raises
    ======

    ValueError
        If the name is unknown.

    Examples
    ========

    >>> SELECTORS.names()  # doctest: +NORMALIZE_WHITESPACE
    ['least-own-connections', 'least-reported-load', 'random',
     'round-robin', 'two-choices-aged']

    """
    found = SELECTORS.find(name)
    return found.map(lambda entry: entry(random)).lash(_raise).unwrap()


def _raise(message):
    raise ValueError(message)


class Selector:
    r"""Common part: what became of the opens at each target."""

    __slots__ = ('random', 'state_by_number')

    def __init__(self, random):
        self.random = random
        self.state_by_number = {}

    def select(self, candidates, now, excluded=()):
        r"""Return the number of the chosen target, or None.

        Parameters
        ==========

        candidates : sequence
            Objects with the attributes ``number``, ``slots`` and
            ``connections``.
        now : int
            Milliseconds.
        excluded : collection of int
            Numbers that must not be chosen.

        Returns
        =======

        int or None
            None if every candidate is excluded or backing off.
        """
        usable = [
            candidate for candidate in candidates
            if self.usable(candidate, now, excluded)]
        if not usable:
            return None
        return self.choose(usable, now).number

    def choose(self, usable, now):
        r"""Return one of the usable candidates."""
        raise NotImplementedError

    def usable(self, candidate, now, excluded):
        r"""Return whether a candidate may receive an open now."""
        if candidate.number in excluded:
            return False
        state = self.state_by_number.get(candidate.number)
        return state is None or state.usable(now)

    def sent(self, number, now):
        r"""Record that an open was sent to a target."""
        self._state(number, now).sent(now)

    def answered(self, number, load, now):
        r"""Record that a target accepted an open."""
        self._state(number, now).accepted(load, now)

    def refused(self, number, load, now):
        r"""Record that a target refused an open; it is spared a while."""
        self._state(number, now).refused(load, now)

    def lost(self, number, now):
        r"""Record that an open was not answered within its deadline."""
        self._state(number, now).lost(now)

    def forget(self, number):
        r"""Drop what is known about a target that is gone."""
        self.state_by_number.pop(number, None)

    def _state(self, number, now):
        state = self.state_by_number.get(number)
        if state is None:
            state = selector_state.TargetState(now)
            self.state_by_number[number] = state
        return state


@SELECTORS.register('round-robin')
class RoundRobin(Selector):
    r"""Each usable candidate in turn."""

    __slots__ = ('position',)

    def __init__(self, random):
        super().__init__(random)
        self.position = random.randrange(1 << 16)

    def choose(self, usable, now):
        r"""Return the next candidate."""
        self.position += 1
        return usable[self.position % len(usable)]


@SELECTORS.register('random')
class Random(Selector):
    r"""Any usable candidate with equal probability."""

    __slots__ = ()

    def choose(self, usable, now):
        r"""Return a random candidate."""
        return usable[self.random.randrange(len(usable))]


@SELECTORS.register('least-reported-load')
class LeastReportedLoad(Selector):
    r"""The candidate whose last answer reported the fewest flows a slot."""

    __slots__ = ()

    def choose(self, usable, now):
        r"""Return the candidate with the least reported load."""
        return min(usable, key=self._reported)

    def _reported(self, candidate):
        state = self.state_by_number.get(candidate.number)
        flows = 0
        if state is not None and state.load is not None:
            flows = state.load.flows
        return flows / candidate.slots, self.random.random()


@SELECTORS.register('least-own-connections')
class LeastOwnConnections(Selector):
    r"""The candidate with the fewest own opens for each slot."""

    __slots__ = ()

    def choose(self, usable, now):
        r"""Return the candidate with the fewest own opens."""
        return min(usable, key=self._own)

    def _own(self, candidate):
        state = self.state_by_number.get(candidate.number)
        connections = state.connections if state is not None else 0
        return connections / candidate.slots, self.random.random()


@SELECTORS.register(DEFAULT_SELECTOR)
class TwoChoicesAged(Selector):
    r"""The less loaded of two sampled candidates.

    Explanation
    ===========

    The load of a target is the number of own recent opens divided by its
    capacity. Own opens are never late, and if each balancer spreads its own
    opens in proportion to capacity, so does their sum. Capacity is slots
    in use divided by latency, both from the target's answers. The reported
    flows only correct the capacity by a bounded factor whose weight
    decays with the age of the report, and which is 1 for a target that
    repeats one report unchanged.

    Own opens decay along a clock that advances with time, but at most by a
    step with each open, so that a balancer with few opens remembers about
    ``OPENS_KEPT`` for each target. A new target starts at the level of the
    others and has no arrears to catch up, which would overload it.

    Two of ``n`` candidates are sampled with equal probability, so a target
    whose reports lie gets at most ``2 / n`` of the opens.
    """

    __slots__ = (
        'mean_log_speed', 'mean_log_use', 'clock', 'sent_at', 'level')

    def __init__(self, random):
        super().__init__(random)
        self.clock = 0.0
        self.sent_at = None
        self.level = 0.0
        self.mean_log_speed = None
        self.mean_log_use = None

    def select(self, candidates, now, excluded=()):
        r"""Return the number of the chosen target, or None."""
        count = len(candidates)
        for _ in range(PAIR_ATTEMPTS if count > 1 else 0):
            first = self.random.randrange(count)
            second = self.random.randrange(count - 1)
            second += second >= first
            chosen = self._better(
                candidates[first], candidates[second], now, excluded)
            if chosen is not None:
                self.level += MEAN_WEIGHT * (
                    self.estimate(chosen, now) - self.level)
                return chosen.number
        offset = self.random.randrange(count) if count else 0
        for step in range(min(count, SCAN_LENGTH)):
            candidate = candidates[(offset + step) % count]
            if self.usable(candidate, now, excluded):
                return candidate.number
        return None

    def sent(self, number, now):
        r"""Record that an open was sent to a target."""
        state = self._state(number, now)
        if self.sent_at is not None:
            most = selector_state.OPENS_TIME_CONSTANT_MS / (
                OPENS_KEPT * len(self.state_by_number))
            self.clock += min(max(0, now - self.sent_at), most)
        self.sent_at = now
        state.recent_opens(self.clock)
        state.sent(now)

    def answered(self, number, load, now):
        r"""Record an accepted open and the load in its answer."""
        state = self._state(number, now)
        elapsed_ms = now - state.load_at
        state.accepted(load, now)
        if load is not None and load.latency_ms > 0:
            self._learn(state, load.latency_ms, elapsed_ms)

    def estimate(self, candidate, now):
        r"""Return own recent opens for each unit of capacity."""
        state = self.state_by_number.get(candidate.number)
        if state is None:
            state = self._state(candidate.number, now)
            state.opens *= candidate.slots
        return (state.recent_opens(self.clock) + 1) / self._capacity(
            candidate, state, now)

    def _state(self, number, now):
        state = self.state_by_number.get(number)
        if state is None:
            state = super()._state(number, now)
            state.opens = self.level
            state.opens_at = self.clock
        return state

    def _better(self, first, second, now, excluded):
        first_usable = self.usable(first, now, excluded)
        second_usable = self.usable(second, now, excluded)
        if first_usable and second_usable:
            if self.estimate(second, now) < self.estimate(first, now):
                return second
            return first
        if first_usable:
            return first
        return second if second_usable else None

    def _capacity(self, candidate, state, now):
        if state.speed is None:
            return float(candidate.slots)
        ratio = math.exp(state.speed - self.mean_log_speed)
        ratio = min(
            MAXIMUM_SPEED_RATIO, max(1 / MAXIMUM_SPEED_RATIO, ratio))
        limit = max(1, min(state.load.limit, candidate.slots))
        return limit * ratio * self._correction(state, now)

    def _correction(self, state, now):
        if state.unchanged >= FROZEN_AFTER or self.mean_log_use is None:
            return 1.0
        weight = math.exp((state.load_at - now) / REPORT_TIME_CONSTANT_MS)
        factor = math.exp(weight * (self.mean_log_use - _log_use(state)))
        return min(MAXIMUM_CORRECTION, max(1 / MAXIMUM_CORRECTION, factor))

    def _learn(self, state, latency_ms, elapsed_ms):
        r"""Smooth the speed; a repeated report is no new measurement."""
        if state.unchanged:
            return
        speed = -math.log(latency_ms)
        if state.speed is None:
            state.speed = speed
        state.reports += 1
        weight = max(
            1 - math.exp(-max(0, elapsed_ms) / SPEED_TIME_CONSTANT_MS),
            1 / state.reports)
        state.speed += weight * (speed - state.speed)
        self.mean_log_speed = _move(self.mean_log_speed, state.speed)
        self.mean_log_use = _move(self.mean_log_use, _log_use(state))


def _log_use(state):
    r"""Return the logarithm of the reported flows for each capacity."""
    capacity = math.log(max(1, state.load.limit)) + state.speed
    return math.log(state.load.flows + 1) - capacity


def _move(average, sample):
    r"""Move an average towards a sample, which may be a lie, by a little."""
    if average is None:
        return sample
    distance = max(-MAXIMUM_MOVE, min(MAXIMUM_MOVE, sample - average))
    return average + MEAN_WEIGHT * distance
