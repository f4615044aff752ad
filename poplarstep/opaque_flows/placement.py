r"""Chooses the target to which a balancer offers a new flow.

Explanation
===========

Flows are short, so a load report is outdated after a few service times. A
choice may therefore be wrong; an agent whose target has no free slot rejects
the offer, and the placement chooses another target. Targets are compared by
the estimated wait of a new request: the sum of the reported backlog, which
decays with the age of the report, and this balancer's unanswered offers,
multiplied by the mean service time and divided by the number of slots.
Balancers do not exchange their estimates.

A target that fails its requests may answer them faster than a healthy one, and
packets of opaque flows do not show it. A target therefore counts as at most
``MAXIMUM_SPEED`` times as fast as the median candidate, so it gets few more
flows than its share.
"""

import math
import statistics

from poplarstep.core import registry
from poplarstep.opaque_flows import ejection
from poplarstep.opaque_flows import load_groups

DEFAULT_PLACEMENT = 'two-choices'
PLACEMENTS = registry.Registry('placement')

# Requests take about 20 ms, so most of a backlog has changed after this time.
BACKLOG_TIME_CONSTANT_MS = 60.0
DEFAULT_SERVICE_US = 20_000
# The fastest hosts of one service are about 2.5 times as fast as its slowest.
MAXIMUM_SPEED = 2
# ``capacity``: a backlog has changed after three service times, and a target
# with all slots busy is still offered a few flows, which refresh its report.
SERVICE_TIMES_PER_TIME_CONSTANT = 3
MINIMUM_HEADROOM = 0.05
MAXIMUM_HEADROOM_FACTOR = 1.5
# A target that did not answer an offer is avoided for this time, doubled
# with each further timeout in a row up to the maximum. It is still chosen if
# no other target is left.
FIRST_PENALTY_MS = 400
MAXIMUM_PENALTY_MS = 3200


class TargetEstimate:
    r"""What a balancer knows of one target; times in ms.

    ``pending_offers`` counts the offers without an answer, ``timeouts`` the
    offers in a row that were not answered in time. ``utilization`` is the
    share of the slots that the last report gave as busy.
    """

    __slots__ = (
        'backlog', 'reported_at', 'service_us', 'pending_offers', 'timeouts',
        'avoid_until', 'utilization', 'open_flows')

    def __init__(self):
        self.utilization = 0.0
        self.open_flows = 0
        self.backlog = 0
        self.reported_at = -math.inf
        self.service_us = 0
        self.pending_offers = 0
        self.timeouts = 0
        self.avoid_until = 0


class Placement:
    r"""Base class: estimates of targets by number; subclasses choose.

    ``ejection`` decides which targets are avoided because they fail.
    """

    __slots__ = ('random', 'estimate_by_number', 'ejection', 'groups')

    def __init__(self, random):
        self.random = random
        self.estimate_by_number = {}
        self.ejection = ejection.make_ejection(
            ejection.DEFAULT_AVOIDANCE, None)
        self.groups = load_groups.LoadGroups()

    def estimate(self, number):
        r"""Return the estimate of a target, new if there is none."""
        estimate = self.estimate_by_number.get(number)
        if estimate is None:
            estimate = self.estimate_by_number[number] = TargetEstimate()
        return estimate

    def offered(self, number, now=0):
        r"""Record an offer that was sent."""
        self.estimate(number).pending_offers += 1
        self.ejection.offered(number, now)

    def withdrawn(self, number):
        r"""Stop counting an offer whose answer no longer matters."""
        estimate = self.estimate(number)
        estimate.pending_offers = max(0, estimate.pending_offers - 1)

    def answered(self, number, load, now):
        r"""Record an answer to an offer and the load that it reports."""
        self.withdrawn(number)
        self.reported(number, load, now)
        estimate = self.estimate(number)
        estimate.timeouts = 0
        estimate.avoid_until = 0

    def reported(self, number, load, now):
        r"""Record the load of a target."""
        estimate = self.estimate(number)
        estimate.backlog = load.backlog
        estimate.utilization = load.utilization_permille / 1000
        estimate.open_flows = load.open_flows
        estimate.reported_at = now
        if load.service_us:
            estimate.service_us = load.service_us
        self.ejection.report(number, load, now)
        self.groups.record(number, load, now)

    def timed_out(self, number, now):
        r"""Record an offer without an answer in time; avoid the target."""
        self.withdrawn(number)
        estimate = self.estimate(number)
        estimate.avoid_until = now + min(
            MAXIMUM_PENALTY_MS, FIRST_PENALTY_MS * 2 ** estimate.timeouts)
        estimate.timeouts += 1

    def retain(self, numbers):
        r"""Remove the estimates of targets that are not in ``numbers``."""
        for number in list(self.estimate_by_number):
            if number not in numbers:
                del self.estimate_by_number[number]

    def wait_us(self, target, now, shortest_us=0):
        r"""Return the estimated wait of a new request, in microseconds.

        ``shortest_us`` is the shortest credible service time.
        """
        estimate = self.estimate(target.number)
        decay = math.exp(
            (estimate.reported_at - now) / BACKLOG_TIME_CONSTANT_MS)
        backlog = estimate.backlog * decay + estimate.pending_offers
        service_us = max(shortest_us, self.service_us(target))
        return (backlog + 1) * service_us / target.slots

    def service_us(self, target):
        r"""Return the mean service time of a target, in microseconds."""
        return self.estimate(target.number).service_us or DEFAULT_SERVICE_US

    def shortest_us(self, candidates):
        r"""Return the shortest credible service time, in microseconds."""
        return statistics.median_low(
            self.service_us(item) for item in candidates) / MAXIMUM_SPEED

    def usable_targets(self, candidates, tried, now):
        r"""Return the untried targets; avoided ones only without others."""
        untried = [item for item in candidates if item.number not in tried]
        answering = [
            item for item in untried
            if self.estimate(item.number).avoid_until <= now]
        eligible = self.ejection.eligible(answering, not tried, now)
        return eligible or answering or untried


@PLACEMENTS.register('random')
class RandomPlacement(Placement):
    r"""Any untried target; a baseline for comparisons."""

    __slots__ = ()

    def choose(self, candidates, tried, now):
        r"""Return a target, or None when all were tried."""
        usable = self.usable_targets(candidates, tried, now)
        return self.random.choice(usable) if usable else None


@PLACEMENTS.register('two-choices')
class TwoChoices(Placement):
    r"""The target with the shorter estimated wait of two sampled ones.

    The probability of a target is proportional to its slots divided by its
    service time.
    """

    __slots__ = ()

    def choose(self, candidates, tried, now):
        r"""Return a target, or None when all were tried."""
        usable = self.usable_targets(candidates, tried, now)
        if len(usable) <= 1:
            return usable[0] if usable else None
        shortest_us = self.shortest_us(candidates)
        weights = [
            item.slots / max(shortest_us, self.service_us(item))
            for item in usable]
        drawn = self.random.choices(usable, weights, k=2)
        return min(drawn, key=lambda item: self.wait_us(
            item, now, shortest_us))


@PLACEMENTS.register('capacity')
class CapacityPlacement(Placement):
    r"""The better of two targets, sampled by their spare capacity.

    Explanation
    ===========

    For flows that stay open for many requests, and for services of any service
    time. A target's utilisation is what it reports or, if that is more, what
    its open flows cause at the average demand of a flow: a target whose flows
    have just been opened, or may all send at once, has less headroom than its
    slots show. Unanswered offers count as open flows. The report fades to the
    average of the group within ``load_groups.REPORT_LIFETIME_MS``. No target
    gets more than ``MAXIMUM_HEADROOM_FACTOR`` times the weight that its speed
    and the average headroom give, so a new target is filled without a rush.
    """

    __slots__ = ()

    def choose(self, candidates, tried, now):
        r"""Return a target, or None when all were tried."""
        usable = self.usable_targets(candidates, tried, now)
        if len(usable) <= 1:
            return usable[0] if usable else None
        shortest_us = self.shortest_us(candidates)
        weights = [
            self.headroom(item, now) * item.slots
            / max(shortest_us, self.service_us(item)) for item in usable]
        drawn = self.random.choices(usable, weights, k=2)
        return min(drawn, key=lambda item: self.cost_us(
            item, now, shortest_us))

    def cost_us(self, target, now, shortest_us):
        r"""Return the wait now plus the mean wait at this utilisation."""
        service_us = max(shortest_us, self.service_us(target))
        utilization = 1 - self.headroom(target, now)
        return self.wait_us(target, now, shortest_us) + (
            utilization / (1 - utilization) * service_us / target.slots)

    def wait_us(self, target, now, shortest_us=0):
        r"""Return the estimated wait of a new request, in microseconds."""
        estimate = self.estimate(target.number)
        time_constant_ms = max(
            BACKLOG_TIME_CONSTANT_MS, SERVICE_TIMES_PER_TIME_CONSTANT
            * shortest_us * MAXIMUM_SPEED / 1000)
        usual = self.utilization(target, now) * target.slots
        backlog = usual + (estimate.backlog - usual) * math.exp(
            (estimate.reported_at - now) / time_constant_ms)
        service_us = max(shortest_us, self.service_us(target))
        return (backlog + estimate.pending_offers + 1) * (
            service_us / target.slots)

    def service_us(self, target):
        r"""Return the mean service time, that of the service if unknown."""
        return self.estimate(target.number).service_us or (
            self.groups.group(target.service).last_service_us()
            or DEFAULT_SERVICE_US)

    def headroom(self, target, now):
        r"""Return the spare share of the slots, limited by the average's.

        The average is that of the service: targets of a data centre that has
        come back are filled without a rush too.
        """
        average = self.groups.group(target.service).utilization(now) or 0.0
        return max(MINIMUM_HEADROOM, min(
            1 - self.utilization(target, now),
            MAXIMUM_HEADROOM_FACTOR * (1 - average)))

    def utilization(self, target, now):
        r"""Return the estimated share of the slots that are busy."""
        estimate = self.estimate(target.number)
        average = self.groups.nearest(target, now).utilization(now) or 0.0
        known = max(0.0, 1 - (
            now - estimate.reported_at) / load_groups.REPORT_LIFETIME_MS)
        reported = average + (estimate.utilization - average) * known
        group = self.groups.group(target.service)
        mean_us = group.mean_service_us(now)
        slowness = self.service_us(target) / mean_us if mean_us else 1.0
        per_flow = group.busy_slots_per_flow(now) * slowness / target.slots
        return min(1.0, (
            max(reported, estimate.open_flows * per_flow * known)
            + estimate.pending_offers * per_flow))


def make_placement(name, random):
    r"""Return a placement by its registered name.

    Raises
    ======

    KeyError
        If the name is unknown; settings are checked before.
    """
    return PLACEMENTS.entry_by_name[name](random)
