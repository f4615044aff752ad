r"""Average load of the targets of a service, as one balancer knows it.

Explanation
===========

The load of a target is known from answers to offers and from load reports, and
is outdated after a few seconds. Groups hold the latest load of each target,
for a service as a whole and for each of its data centres, and their averages.
A target without a recent report is assumed to be like the average of its
group. Recording a load and reading an average take constant time, amortised;
a group holds the targets that have reported within ``REPORT_LIFETIME_MS``.
"""

import copy

# A report that is older says nothing about the target. The shortest bursts of
# demand last for as long.
REPORT_LIFETIME_MS = 3000
PERMILLE = 1000


class GroupEntry:
    r"""The latest report of a target; ``at`` is its time in ms.

    ``busy_permille`` is the number of busy slots times 1,000.
    """

    __slots__ = ('at', 'slots', 'busy_permille', 'open_flows', 'service_us')

    def __init__(self, at, slots, load):
        self.at = at
        self.slots = slots
        self.busy_permille = load.utilization_permille * slots
        self.open_flows = load.open_flows
        self.service_us = load.service_us


class LoadGroup:
    r"""Sums of the latest reports of a group of targets.

    Parameters
    ==========

    entry_by_number : dict
        Latest reports by number of the target, oldest first.
    slots, busy_permille, open_flows, service_us : int
        Sums over the entries.
    measured : int
        Number of entries with a service time.

    Examples
    ========

    >>> from poplarstep.opaque_flows import message
    >>> group = LoadGroup()
    >>> group.record(1, 2, message.Load(0, 2, 20_000, 900), now=0)
    >>> group.record(2, 2, message.Load(0, 2, 40_000, 500), now=2000)
    >>> group.utilization(2000), group.mean_service_us(2000)
    (0.7, 30000.0)
    >>> group.utilization(4000), group.utilization(9000)
    (0.5, None)

    """

    __slots__ = (
        'entry_by_number', 'slots', 'busy_permille', 'open_flows',
        'service_us', 'measured')

    def __init__(self):
        self.entry_by_number = {}
        self.slots = 0
        self.busy_permille = 0
        self.open_flows = 0
        self.service_us = 0
        self.measured = 0

    def copied(self):
        r"""Return a copy; reports are replaced and never changed."""
        other = copy.copy(self)
        other.entry_by_number = dict(self.entry_by_number)
        return other

    def record(self, number, slots, load, now):
        r"""Replace the report of a target."""
        self.expire(now)
        old = self.entry_by_number.pop(number, None)
        if old is not None:
            self._add(old, -1)
        entry = self.entry_by_number[number] = GroupEntry(now, slots, load)
        self._add(entry, 1)

    def expire(self, now):
        r"""Remove the reports that are too old."""
        while self.entry_by_number:
            number, entry = next(iter(self.entry_by_number.items()))
            if now - entry.at < REPORT_LIFETIME_MS:
                return
            del self.entry_by_number[number]
            self._add(entry, -1)

    def _add(self, entry, sign):
        self.slots += sign * entry.slots
        self.busy_permille += sign * entry.busy_permille
        self.open_flows += sign * entry.open_flows
        self.service_us += sign * entry.service_us
        self.measured += sign * (entry.service_us > 0)

    def utilization(self, now):
        r"""Return the share of the slots that are busy; None if unknown."""
        self.expire(now)
        if not self.slots:
            return None
        return self.busy_permille / PERMILLE / self.slots

    def mean_service_us(self, now):
        r"""Return the mean service time in microseconds; 0 if unknown."""
        self.expire(now)
        return self.last_service_us()

    def last_service_us(self):
        r"""Return the mean service time without regard to its age."""
        return self.service_us / self.measured if self.measured else 0

    def busy_slots_per_flow(self, now):
        r"""Return the busy slots that an open flow causes; 0 if unknown."""
        self.expire(now)
        if not self.open_flows:
            return 0.0
        return self.busy_permille / PERMILLE / self.open_flows


EMPTY_GROUP = LoadGroup()


class LoadGroups:
    r"""Groups by service and data centre, and by service with None.

    Parameters
    ==========

    catalogue : Catalogue or None
        Tells the group of a target; without it nothing is recorded.
    """

    __slots__ = ('catalogue', 'group_by_key')

    def __init__(self):
        self.catalogue = None
        self.group_by_key = {}

    def record(self, number, load, now):
        r"""Record the load of a target in its groups."""
        if self.catalogue is None:
            return
        target = self.catalogue.target_by_number.get(number)
        if target is None:
            return
        for centre in (target.data_centre, None):
            group = self.group_by_key.get((target.service, centre))
            if group is None:
                group = self.group_by_key[target.service, centre] = LoadGroup()
            group.record(number, target.slots, load, now)

    def group(self, service, centre=None):
        r"""Return a group; an empty one if nothing is known of it."""
        return self.group_by_key.get((service, centre), EMPTY_GROUP)

    def copied(self, services):
        r"""Return a copy that can be changed for targets of some services."""
        other = LoadGroups()
        other.catalogue = self.catalogue
        other.group_by_key = {
            key: group.copied() if key[0] in services else group
            for key, group in self.group_by_key.items()}
        return other

    def nearest(self, target, now):
        r"""Return the group of a target's data centre, or of its service.

        The latter if no target of the data centre has reported lately.
        """
        group = self.group(target.service, target.data_centre)
        group.expire(now)
        return group if group.slots else self.group(target.service)

    def retain(self, services):
        r"""Remove the groups of services that are not in ``services``."""
        for key in list(self.group_by_key):
            if key[0] not in services:
                del self.group_by_key[key]
