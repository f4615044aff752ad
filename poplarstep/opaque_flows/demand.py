r"""Measures how busy an agent's target is, and decides when to report it.

Explanation
===========

A balancer is told the load at most once per second, if it has changed by more
than an eighth since the balancer was last told. A balancer lets a report fade
within 3 s, so an unchanged load is repeated before.

A balancer that forwards packets to many agents would get a report from each of
them. ``REPORTS_PER_S`` bounds what an agent sends to all balancers together:
with 36,000 agents and 3,100 balancers a balancer gets 70 reports per second on
average, 4 KB/s.
"""

import math

from poplarstep.limits import budget

# Share of the slots: the average over a third of the shortest burst of demand,
# which lasts 3 s.
UTILIZATION_TIME_CONSTANT_MS = 1000
REPORT_INTERVAL_MS = 1000
REPEAT_INTERVAL_MS = 2000
REPORTS_PER_S = 6
MAXIMUM_REPORT_BURST = 12
# A change by more than this part of the former value is reported.
REPORTED_CHANGE = 1 / 8
MAXIMUM_BALANCERS = 512
PERMILLE = 1000


class Demand:
    r"""Utilisation of one target and the reports of it; times in ms.

    Parameters
    ==========

    enabled : bool
        Whether reports are sent.
    busy_slots : float
        Mean number of busy slots lately.
    open_flows : int
        Flows that the target holds: counted once per second, and increased
        with each start.
    updated_at : int
        Until when ``busy_slots`` is known.
    told_by_balancer : dict
        Time and load of the latest answer or report to each balancer, in the
        order of these times.
    budget : TokenBucket
        Limits the reports to all balancers.
    """

    __slots__ = (
        'enabled', 'busy_slots', 'open_flows', 'updated_at',
        'told_by_balancer', 'budget')

    def __init__(self, enabled, now):
        self.enabled = enabled
        self.busy_slots = 0.0
        self.open_flows = 0
        self.updated_at = now
        self.told_by_balancer = {}
        self.budget = budget.make_token_bucket(
            REPORTS_PER_S, MAXIMUM_REPORT_BURST, now)

    def advance(self, running, now):
        r"""Account for the time since the last event.

        ``running`` is the number of slots that were busy meanwhile.
        """
        if now <= self.updated_at:
            return
        kept = math.exp(
            (self.updated_at - now) / UTILIZATION_TIME_CONSTANT_MS)
        self.busy_slots = running + (self.busy_slots - running) * kept
        self.updated_at = now

    def clear(self):
        r"""Forget the load of a target that has been replaced."""
        self.busy_slots = 0.0
        self.open_flows = 0

    def complete(self, load):
        r"""Return a ``Load`` with the utilisation and the open flows."""
        return load.replace(
            utilization_permille=min(
                PERMILLE, round(PERMILLE * self.busy_slots / load.slots)),
            open_flows=self.open_flows)

    def was_told(self, balancer, load, now):
        r"""Record that an answer has told a balancer the load."""
        self.told_by_balancer.pop(balancer, None)
        self.told_by_balancer[balancer] = (now, load)
        if len(self.told_by_balancer) > MAXIMUM_BALANCERS:
            del self.told_by_balancer[next(iter(self.told_by_balancer))]

    def is_due(self, balancer, load, now):
        r"""Return whether to report to a balancer whose packet has come."""
        told = self.told_by_balancer.get(balancer)
        if told is not None:
            told_at, told_load = told
            if now - told_at < REPORT_INTERVAL_MS or (
                    now - told_at < REPEAT_INTERVAL_MS
                    and not has_changed(told_load, load)):
                return False
        return self.budget.try_take(now)


def make_demand(enabled, now) -> Demand:
    r"""Return the demand of an idle target."""
    return Demand(enabled, now)


def has_changed(old, new):
    r"""Return whether two loads differ by more than an eighth.

    Explanation
    ===========

    The utilisation is compared with all slots, the open flows and the service
    time with their former values. The backlog changes with each request, so
    it counts only as far as the utilisation follows it.

    Examples
    ========

    >>> from poplarstep.opaque_flows import message
    >>> old = message.Load(1, 2, 20_000, 500, 40)
    >>> has_changed(old, message.Load(2, 2, 21_000, 600, 44))
    False
    >>> has_changed(old, message.Load(1, 2, 20_000, 630, 40))
    True
    >>> has_changed(old, message.Load(1, 2, 20_000, 500, 46))
    True

    """
    return (
        abs(new.utilization_permille - old.utilization_permille)
        > PERMILLE * REPORTED_CHANGE
        or _differs(old.open_flows, new.open_flows)
        or _differs(old.service_us, new.service_us))


def _differs(old, new):
    return abs(new - old) > REPORTED_CHANGE * old
