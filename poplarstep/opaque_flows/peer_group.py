r"""Compares the reports of a target's agent with those of other targets.

Explanation
===========

Part of the avoidance of failing targets, see
``poplarstep.opaque_flows.ejection``. A target counts as failing by comparison
only: a burst, or callers that ask for more, change the figures of all targets
of a service.
"""

import copy
import math
import statistics

# The slowest healthy hosts take 2.5 times as long as the median of a service.
SLOWNESS = 3.0
UNANSWERED_PERMILLE = 100
# If the median is higher, the whole service fails, and others are no better.
MAXIMUM_USUAL_PERMILLE = 20
# A single report, which may be an outlier, adds no more evidence than this.
MAXIMUM_STEP = 1.25
# The least evidence of unanswered requests: a healthy target has none.
MINIMUM_FAILURE_STEP = 0.75
# Latest targets of a service that are compared, and the fewest. Below five
# targets, a fifth of them is none.
GROUP_SIZE = 64
MINIMUM_GROUP_SIZE = 5
GROUP_REPORT_LIFETIME_MS = 10_000
MEDIAN_INTERVAL_MS = 250
# The highest median of this time is compared: after a burst, a target with few
# requests reports its former figures for longer than the others.
PEAK_LIFETIME_MS = 10_000
# Offers are counted over this time, with less weight the older they are.
OFFER_TIME_CONSTANT_MS = 10_000


class Peak:
    r"""The highest value of the last time, and when it was seen, in ms.

    ``value`` is None while too few targets have reported.
    """

    __slots__ = ('value', 'seen_at')

    def __init__(self):
        self.value = None
        self.seen_at = 0

    def update(self, value, now):
        r"""Take a new value if it is higher or the highest one is old."""
        if None in (value, self.value) or value >= self.value or (
                now - self.seen_at > PEAK_LIFETIME_MS):
            self.value = value
            self.seen_at = now


class Group:
    r"""The targets of a service; times in ms.

    Parameters
    ==========

    report_by_number : dict
        ``(time, Load)`` of the latest ``GROUP_SIZE`` targets, oldest first.
    service_us, unanswered_permille : Peak
        Medians of the service times and of the unanswered parts.
    median_at : int
        When the medians were computed.
    avoided : dict
        Numbers of avoided targets, those avoided first at the front; the
        values are unused.
    offered_at : int
        The last offer to the service.
    offers : float
        Offers to the service within ``OFFER_TIME_CONSTANT_MS``.
    """

    __slots__ = (
        'report_by_number', 'service_us', 'unanswered_permille', 'median_at',
        'avoided', 'offered_at', 'offers')

    def __init__(self, now):
        self.report_by_number = {}
        self.service_us = Peak()
        self.unanswered_permille = Peak()
        self.median_at = now - MEDIAN_INTERVAL_MS
        self.avoided = {}
        self.offered_at = now
        self.offers = 0.0

    def copied(self):
        r"""Return a copy that can be changed."""
        other = copy.copy(self)
        other.report_by_number = dict(self.report_by_number)
        other.service_us = copy.copy(self.service_us)
        other.unanswered_permille = copy.copy(self.unanswered_permille)
        other.avoided = dict(self.avoided)
        return other

    def add(self, number, load, now):
        r"""Record a report; recompute the medians if they are old.

        The cost is bounded by ``GROUP_SIZE``, whatever the size of the
        service.
        """
        self.report_by_number.pop(number, None)
        self.report_by_number[number] = (now, load)
        if len(self.report_by_number) > GROUP_SIZE:
            del self.report_by_number[next(iter(self.report_by_number))]
        if now - self.median_at >= MEDIAN_INTERVAL_MS:
            self.median_at = now
            recent = [
                item for reported_at, item in self.report_by_number.values()
                if now - reported_at <= GROUP_REPORT_LIFETIME_MS]
            self.service_us.update(_median(
                item.service_us for item in recent if item.service_us), now)
            self.unanswered_permille.update(_median(
                item.unanswered_permille for item in recent), now)

    def record_offer(self, now):
        r"""Record an offer to a target of the service."""
        self.offers = 1 + self.offers * math.exp(
            (self.offered_at - now) / OFFER_TIME_CONSTANT_MS)
        self.offered_at = now

    def offer_interval_ms(self):
        r"""Return the mean interval of offers to the service."""
        return OFFER_TIME_CONSTANT_MS / max(1.0, self.offers)


def make_group(now) -> Group:
    r"""Return a group of which no target has reported yet."""
    return Group(now)


def _median(values):
    values = list(values)
    if len(values) < MINIMUM_GROUP_SIZE:
        return None
    return statistics.median(values)


def evidence_of(load, median_us, median_permille):
    r"""Return what a report says: above 0 for a failure, None for nothing.

    Examples
    ========

    >>> from poplarstep.opaque_flows import message
    >>> round(evidence_of(message.Load(1, 1, 40_000), 20_000, 0), 2)
    -0.41
    >>> evidence_of(message.Load(1, 1, 150_000), 10_000, 0)
    1.25
    >>> evidence_of(message.Load(1, 1, 0), 10_000, 0) is None
    True

    """
    if median_permille is not None and (
            median_permille < MAXIMUM_USUAL_PERMILLE
            and load.unanswered_permille > UNANSWERED_PERMILLE):
        step = math.log(load.unanswered_permille / UNANSWERED_PERMILLE)
        return min(MAXIMUM_STEP, max(MINIMUM_FAILURE_STEP, step))
    if not load.service_us or not median_us:
        return None
    ratio = load.service_us / (SLOWNESS * median_us)
    return max(-MAXIMUM_STEP, min(MAXIMUM_STEP, math.log(ratio)))
