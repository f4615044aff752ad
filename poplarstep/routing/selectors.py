r"""Selectors, which choose the target of the next open of a service.

Explanation
===========

A selector belongs to one service of one balancer. It chooses among
candidates with the attributes ``number`` and ``slots``, and learns from the
answers to the opens that its balancer sent. Selectors do not exchange what
they learn.
"""

import math

from poplarstep.core import registry
from poplarstep.routing import selector_state

DEFAULT_SELECTOR = 'two-choices-aged'
SELECTORS = registry.Registry('selector')

# Pairs that are sampled before candidates are scanned for a usable one.
PAIR_ATTEMPTS = 4
# Opens that a balancer with few opens remembers for each target. With 3
# balancers, 8 distributes the load less evenly: the highest load is 1.040
# times the mean instead of 1.032. With 300 balancers there is no difference.
OPENS_REMEMBERED = 20
# Limit of the candidates that are scanned if no sampled one is usable.
MAXIMUM_SCANNED = 16
# Decay of the weight of a report with its age.
REPORT_TIME_CONSTANT_MS = 10_000
# A target whose report is repeated this often is not corrected by it.
UNCHANGED_REPORTS_LIMIT = 8
# Smoothing of the speed of a target.
SPEED_TIME_CONSTANT_MS = 10_000
# Weight of a new sample in the means over all targets.
MEAN_WEIGHT = 0.1
# Largest factor by which the reported flows change an estimated capacity.
MAXIMUM_CORRECTION = 1.25
# Largest ratio between the speed of a target and the mean, or the reverse.
MAXIMUM_SPEED_RATIO = 8.0
# Largest difference of a sample from a logarithmic mean that counts.
MAXIMUM_MEAN_STEP = 1.5


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
    return found.map(
        lambda selector_type: selector_type(random)).lash(_raise).unwrap()


def _raise(message):
    raise ValueError(message)


class Selector:
    r"""Base class, which records the outcome of the opens at each target."""

    __slots__ = ('random', 'state_by_number')

    def __init__(self, random):
        self.random = random
        self.state_by_number = {}

    def select(self, candidates, now, excluded=()):
        r"""Return the number of the chosen target, or None.

        Parameters
        ==========

        candidates : sequence
            Objects with the attributes ``number`` and ``slots``.
        now : int
            Time in ms.
        excluded : collection of int
            Numbers that must not be chosen.

        Returns
        =======

        int or None
            None if no usable candidate was found. ``TwoChoicesAged`` does
            not check every candidate.
        """
        usable = [
            candidate for candidate in candidates
            if self.is_usable(candidate, now, excluded)]
        if not usable:
            return None
        return self.choose(usable, now).number

    def choose(self, usable, now):
        r"""Return one of the usable candidates."""
        raise NotImplementedError

    def is_usable(self, candidate, now, excluded):
        r"""Return whether a candidate may receive an open now."""
        if candidate.number in excluded:
            return False
        state = self.state_by_number.get(candidate.number)
        return state is None or state.is_usable(now)

    def sent(self, number, now):
        r"""Record that an open was sent to a target."""
        self._state(number, now).sent(now)

    def accepted(self, number, load, now):
        r"""Record that a target accepted an open."""
        self._state(number, now).accepted(load, now)

    def refused(self, number, load, now):
        r"""Record that a target refused an open; start a backoff."""
        self._state(number, now).refused(load, now)

    def lost(self, number, now):
        r"""Record that an open was not answered in time; start a backoff."""
        self._state(number, now).lost(now)

    def remove(self, number):
        r"""Remove the state of a target that no longer exists."""
        self.state_by_number.pop(number, None)

    def _state(self, number, now):
        state = self.state_by_number.get(number)
        if state is None:
            state = selector_state.TargetObservations(now)
            self.state_by_number[number] = state
        return state


@SELECTORS.register('round-robin')
class RoundRobin(Selector):
    r"""The usable candidates in turn."""

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
    r"""The candidate whose last answer reported the fewest flows per slot."""

    __slots__ = ()

    def choose(self, usable, now):
        r"""Return the candidate with the least reported load."""
        return min(usable, key=self._reported_flows_per_slot)

    def _reported_flows_per_slot(self, candidate):
        state = self.state_by_number.get(candidate.number)
        flows = 0
        if state is not None and state.load is not None:
            flows = state.load.flows
        return flows / candidate.slots, self.random.random()


@SELECTORS.register('least-own-connections')
class LeastOwnConnections(Selector):
    r"""The candidate with the fewest opens per slot by this balancer."""

    __slots__ = ()

    def choose(self, usable, now):
        r"""Return the candidate with the fewest opens per slot."""
        return min(usable, key=self._own_opens_per_slot)

    def _own_opens_per_slot(self, candidate):
        state = self.state_by_number.get(candidate.number)
        opens = state.sent_opens if state is not None else 0
        return opens / candidate.slots, self.random.random()


@SELECTORS.register(DEFAULT_SELECTOR)
class TwoChoicesAged(Selector):
    r"""The less loaded of two sampled candidates.

    Explanation
    ===========

    The load of a target is the number of recent opens that this balancer
    sent to it, divided by its capacity. The balancer knows this number
    without delay, and if each balancer distributes its opens in proportion
    to capacity, the sum of all opens is in proportion too. Capacity is the
    limit of concurrent requests divided by the latency, both from the
    target's answers. The reported number of flows only corrects the capacity
    by a bounded factor. The weight of this correction decays with the age of
    the report, and a report that is repeated unchanged has no weight.

    The count of recent opens decays on a clock that follows the time but
    advances by at most a fixed step with each open, so that a balancer with
    few opens remembers about ``OPENS_REMEMBERED`` for each target. A new
    target starts with the mean load of the chosen targets. If it started
    with no load, it would get all opens until it had caught up, which would
    overload it.

    Two of ``n`` candidates are sampled with equal probability, so a target
    that reports false values gets at most ``2 / n`` of the opens.
    """

    __slots__ = (
        'mean_log_speed', 'mean_log_utilization', 'decay_clock',
        'last_open_at', 'mean_load')

    def __init__(self, random):
        super().__init__(random)
        self.decay_clock = 0.0
        self.last_open_at = None
        self.mean_load = 0.0
        self.mean_log_speed = None
        self.mean_log_utilization = None

    def select(self, candidates, now, excluded=()):
        r"""Return the number of the chosen target, or None."""
        count = len(candidates)
        for _ in range(PAIR_ATTEMPTS if count > 1 else 0):
            first = self.random.randrange(count)
            second = self.random.randrange(count - 1)
            second += second >= first
            chosen = self._less_loaded(
                candidates[first], candidates[second], now, excluded)
            if chosen is not None:
                self.mean_load += MEAN_WEIGHT * (
                    self.estimated_load(chosen, now) - self.mean_load)
                return chosen.number
        offset = self.random.randrange(count) if count else 0
        for step in range(min(count, MAXIMUM_SCANNED)):
            candidate = candidates[(offset + step) % count]
            if self.is_usable(candidate, now, excluded):
                return candidate.number
        return None

    def sent(self, number, now):
        r"""Record that an open was sent to a target."""
        state = self._state(number, now)
        if self.last_open_at is not None:
            maximum_step_ms = selector_state.OPENS_TIME_CONSTANT_MS / (
                OPENS_REMEMBERED * len(self.state_by_number))
            self.decay_clock += min(
                max(0, now - self.last_open_at), maximum_step_ms)
        self.last_open_at = now
        state.recent_opens(self.decay_clock)
        state.sent(now)

    def accepted(self, number, load, now):
        r"""Record an accepted open and the load in its answer."""
        state = self._state(number, now)
        elapsed_ms = now - state.load_received_at
        state.accepted(load, now)
        if load is not None and load.latency_ms > 0:
            self._update_log_speed(state, load.latency_ms, elapsed_ms)

    def estimated_load(self, candidate, now):
        r"""Return this balancer's recent opens divided by the capacity."""
        state = self.state_by_number.get(candidate.number)
        if state is None:
            state = self._state(candidate.number, now)
            state.decayed_opens *= candidate.slots
        return (state.recent_opens(self.decay_clock) + 1) / self._capacity(
            candidate, state, now)

    def _state(self, number, now):
        state = self.state_by_number.get(number)
        if state is None:
            state = super()._state(number, now)
            state.decayed_opens = self.mean_load
            state.decayed_at = self.decay_clock
        return state

    def _less_loaded(self, first, second, now, excluded):
        first_usable = self.is_usable(first, now, excluded)
        second_usable = self.is_usable(second, now, excluded)
        if first_usable and second_usable:
            if self.estimated_load(second, now) < self.estimated_load(
                    first, now):
                return second
            return first
        if first_usable:
            return first
        return second if second_usable else None

    def _capacity(self, candidate, state, now):
        if state.log_speed is None:
            return float(candidate.slots)
        ratio = math.exp(state.log_speed - self.mean_log_speed)
        ratio = min(
            MAXIMUM_SPEED_RATIO, max(1 / MAXIMUM_SPEED_RATIO, ratio))
        limit = max(1, min(state.load.limit, candidate.slots))
        return limit * ratio * self._correction(state, now)

    def _correction(self, state, now):
        if (state.unchanged_reports >= UNCHANGED_REPORTS_LIMIT
                or self.mean_log_utilization is None):
            return 1.0
        weight = math.exp(
            (state.load_received_at - now) / REPORT_TIME_CONSTANT_MS)
        factor = math.exp(
            weight * (self.mean_log_utilization - _log_utilization(state)))
        return min(MAXIMUM_CORRECTION, max(1 / MAXIMUM_CORRECTION, factor))

    def _update_log_speed(self, state, latency_ms, elapsed_ms):
        r"""Smooth the speed; a repeated report is not a new sample."""
        if state.unchanged_reports:
            return
        sample = -math.log(latency_ms)
        if state.log_speed is None:
            state.log_speed = sample
        state.speed_samples += 1
        weight = max(
            1 - math.exp(-max(0, elapsed_ms) / SPEED_TIME_CONSTANT_MS),
            1 / state.speed_samples)
        state.log_speed += weight * (sample - state.log_speed)
        self.mean_log_speed = _update_mean(
            self.mean_log_speed, state.log_speed)
        self.mean_log_utilization = _update_mean(
            self.mean_log_utilization, _log_utilization(state))


def _log_utilization(state):
    r"""Return the logarithm of the reported flows divided by capacity."""
    capacity = math.log(max(1, state.load.limit)) + state.log_speed
    return math.log(state.load.flows + 1) - capacity


def _update_mean(average, sample):
    r"""Move a mean towards a sample, by a bounded step.

    The bound limits the effect of a target that reports false values.
    """
    if average is None:
        return sample
    step = max(-MAXIMUM_MEAN_STEP, min(MAXIMUM_MEAN_STEP, sample - average))
    return average + MEAN_WEIGHT * step
