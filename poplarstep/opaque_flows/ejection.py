r"""Decides which targets a balancer avoids because they fail their requests.

Explanation
===========

Some targets are slow, answer with errors or do not answer, while their health
interface reports them healthy (the loads of docs/hard_load.md). Their agents
report what they measure, see ``poplarstep.opaque_flows.target_health``. A
balancer compares each report with the median of the latest targets of the
service that have reported, so load that slows all targets does not count
against one.

Each report adds evidence for or against a target: the logarithm of what it
says in units of the limits of ``poplarstep.opaque_flows.peer_group``. A target
is avoided when the evidence, which is never negative, reaches
``AVOIDING_EVIDENCE`` (a CUSUM test). So a target of half the usual speed,
whose measured mean exceeds the limit now and then, is not avoided.

References
==========

.. [1] E. S. Page, Continuous Inspection Schemes, Biometrika 41, 1954.
"""

import copy

from poplarstep.core import effect
from poplarstep.core import registry
from poplarstep.opaque_flows import peer_group

AVOIDANCES = registry.Registry('avoidance of failing targets')
DEFAULT_AVOIDANCE = 'off'

# Two reports of a target that fails clearly; each describes at least 10
# requests. The mean of a target with half the usual speed would have to be
# twice its true value several times in a row.
AVOIDING_EVIDENCE = 2 * peer_group.MAXIMUM_STEP
MAXIMUM_EVIDENCE = 2 * AVOIDING_EVIDENCE
RETURNING_REPORTS = 3
# Reports that follow sooner describe mostly the same requests.
REPORT_INTERVAL_MS = 1000
EVIDENCE_LIFETIME_MS = 30_000
# A target that no report describes for longer is tried like others.
VERDICT_LIFETIME_MS = 60_000
# Targets of which one may be avoided.
TARGETS_PER_AVOIDED = 5
# An avoided target gets a trial flow per second, but not more than this part
# of its usual flows: many balancers may avoid it at the same time.
MINIMUM_TRIAL_INTERVAL_MS = 1000
TRIAL_PART = 0.2
# The interval doubles with each report of a failure up to this factor. A mute
# target runs few requests anyway, and more trials would be most of its load.
MAXIMUM_TRIAL_FACTOR = 4
MAXIMUM_LOG_ENTRIES = 100


class EjectionCounters:
    r"""Counts of decisions; the slots are metric names.

    ``avoided`` and ``returned`` count targets, ``expired`` those that returned
    because no report came, ``trials`` the flows offered to avoided targets and
    ``not_avoided`` failing targets beyond the limit of a service.
    """

    __slots__ = ('avoided', 'returned', 'expired', 'trials', 'not_avoided')

    def __init__(self):
        for name in self.__slots__:
            setattr(self, name, 0)


@AVOIDANCES.register('off')
class NoEjection:
    r"""Avoids no target."""

    __slots__ = ('counters',)

    def __init__(self, catalogue):
        self.counters = EjectionCounters()

    def copied(self, services):
        r"""Return a copy that can be changed for targets of some services."""
        return type(self)(None)

    def report(self, number, load, now):
        r"""Record a report of a target's agent."""

    def offered(self, number, now):
        r"""Record an offer to a target."""

    def retain(self, target_by_number, now):
        r"""Remove what concerns targets that are gone."""

    def expire(self, now):
        r"""Let targets return of which no report has come."""

    def eligible(self, targets, may_try, now):
        r"""Return the targets that are not avoided, or one due for a trial.

        ``may_try`` tells whether the flow may be a trial.
        """
        return targets

    def count(self):
        r"""Return the number of avoided targets."""
        return 0

    def take_log(self):
        r"""Return the log entries since the last call."""
        return ()


class Suspect:
    r"""A target with evidence against it; times in ms.

    Parameters
    ==========

    service : int
        Number of the service.
    evidence : float
        Evidence for a failure.
    counted_at : int
        When a report last counted.
    reported_at : int
        When a report last came.
    avoided_at : int or None
        Since when the target is avoided.
    good_reports : int
        Latest reports in a row that were like those of the group.
    trial_at : float
        When the next trial flow is due.
    trial_factor : int
        Factor of the interval between trials.
    """

    __slots__ = (
        'service', 'evidence', 'counted_at', 'reported_at', 'avoided_at',
        'good_reports', 'trial_at', 'trial_factor')

    def __init__(self, service, now):
        self.service = service
        self.evidence = 0.0
        self.counted_at = now
        self.reported_at = now
        self.avoided_at = None
        self.good_reports = 0
        self.trial_at = 0
        self.trial_factor = 1


@AVOIDANCES.register('on')
class Ejection:
    r"""Avoids targets that fail by comparison with their group.

    Parameters
    ==========

    catalogue : Catalogue
        Configuration of this node.
    """

    __slots__ = (
        'catalogue', 'suspect_by_number', 'group_by_service',
        'avoided_by_number', 'counters', 'log_entries')

    def __init__(self, catalogue):
        self.catalogue = catalogue
        self.suspect_by_number = {}
        self.group_by_service = {}
        # Suspects that are avoided, in order of their latest reports.
        self.avoided_by_number = {}
        self.counters = EjectionCounters()
        self.log_entries = []

    def copied(self, services):
        r"""Return a copy that can be changed for targets of some services."""
        other = type(self)(self.catalogue)
        other.group_by_service = dict(self.group_by_service)
        for service in services:
            if service in self.group_by_service:
                other.group_by_service[service] = (
                    self.group_by_service[service].copied())
        other.suspect_by_number = {
            number: copy.copy(suspect)
            for number, suspect in self.suspect_by_number.items()}
        other.avoided_by_number = {
            number: other.suspect_by_number[number]
            for number in self.avoided_by_number}
        return other

    def report(self, number, load, now):
        r"""Record a report of a target's agent."""
        target = self.catalogue.target_by_number.get(number)
        if target is None:
            return
        group = self._group(target.service, now)
        group.add(number, load, now)
        suspect = self.suspect_by_number.get(number)
        if suspect is not None and suspect.service != target.service:
            self._forget(number, 'moved', now)
            suspect = None
        if suspect is not None:
            suspect.reported_at = now
            if number in self.avoided_by_number:
                self.avoided_by_number[number] = (
                    self.avoided_by_number.pop(number))
            if now - suspect.counted_at < REPORT_INTERVAL_MS:
                return
        step = peer_group.evidence_of(
            load, group.service_us.value, group.unanswered_permille.value)
        if step is None or suspect is None and step <= 0:
            return
        if suspect is None:
            suspect = self.suspect_by_number[number] = Suspect(
                target.service, now)
        if suspect.avoided_at is None:
            self._weigh(target, suspect, step, load, now)
        else:
            self._review(target, suspect, step, load, now)
        suspect.counted_at = now

    def _group(self, service, now):
        group = self.group_by_service.get(service)
        if group is None:
            group = peer_group.make_group(now)
            self.group_by_service[service] = group
        return group

    def _weigh(self, target, suspect, step, load, now):
        r"""Add evidence; avoid the target or clear it of suspicion."""
        if now - suspect.counted_at > EVIDENCE_LIFETIME_MS:
            suspect.evidence = 0.0
        suspect.evidence = min(MAXIMUM_EVIDENCE, suspect.evidence + step)
        if suspect.evidence <= 0:
            del self.suspect_by_number[target.number]
            return
        if suspect.evidence < AVOIDING_EVIDENCE:
            return
        group = self.group_by_service[target.service]
        if not self.catalogue.is_selectable(target):
            return
        if len(group.avoided) >= self._limit(target.service):
            self.counters.not_avoided += 1
            return
        self.counters.avoided += 1
        suspect.avoided_at = now
        suspect.good_reports = 0
        suspect.trial_at = now + self._trial_interval_ms(target.service)
        group.avoided[target.number] = None
        self.avoided_by_number[target.number] = suspect
        self._log('target-avoided', target, load, now, (
            ('evidence', round(suspect.evidence, 2)),))

    def _limit(self, service):
        r"""Return how many targets of a service may be avoided."""
        return len(self.catalogue.selectable_by_service.get(
            service, ())) // TARGETS_PER_AVOIDED

    def _review(self, target, suspect, step, load, now):
        r"""Let an avoided target return after reports like its group's."""
        if step > 0:
            suspect.good_reports = 0
            suspect.trial_factor = min(
                MAXIMUM_TRIAL_FACTOR, 2 * suspect.trial_factor)
            return
        suspect.trial_factor = 1
        suspect.good_reports += 1
        if suspect.good_reports >= RETURNING_REPORTS:
            self._release(target.number, 'recovered', now, load)

    def _release(self, number, reason, now, load=None):
        r"""Stop avoiding a target and drop the evidence against it."""
        suspect = self.avoided_by_number.pop(number)
        del self.suspect_by_number[number]
        del self.group_by_service[suspect.service].avoided[number]
        self.counters.returned += 1
        target = self.catalogue.target_by_number.get(number)
        if target is not None:
            self._log('target-returned', target, load, now, (
                ('reason', reason), ('avoided_ms', now - suspect.avoided_at)))

    def _log(self, event, target, load, now, fields):
        r"""Add a log entry with the figures that decided."""
        group = self._group(target.service, now)
        if load is not None:
            fields += (
                ('service_us', load.service_us),
                ('unanswered_permille', load.unanswered_permille))
        if len(self.log_entries) < MAXIMUM_LOG_ENTRIES:
            self.log_entries.append(effect.LogEvent(event, (
                ('target', target.name), ('number', target.number),
                ('service', target.service)) + fields + (
                    ('median_us', group.service_us.value),
                    ('median_permille', group.unanswered_permille.value),
                    ('avoided', len(group.avoided)),
                    ('limit', self._limit(target.service)))))

    def offered(self, number, now):
        r"""Record an offer to a target."""
        target = self.catalogue.target_by_number.get(number)
        if target is None:
            return
        self._group(target.service, now).record_offer(now)
        suspect = self.avoided_by_number.get(number)
        if suspect is not None:
            self.counters.trials += 1
            suspect.trial_at = now + suspect.trial_factor * (
                self._trial_interval_ms(target.service))

    def _trial_interval_ms(self, service):
        targets = len(self.catalogue.selectable_by_service.get(service, ()))
        interval_ms = self.group_by_service[service].offer_interval_ms()
        return max(
            MINIMUM_TRIAL_INTERVAL_MS, interval_ms * targets / TRIAL_PART)

    def eligible(self, targets, may_try, now):
        r"""Return the targets that are not avoided, or one due for a trial.

        ``may_try`` tells whether the flow may be a trial.
        """
        if not self.avoided_by_number:
            return targets
        kept = []
        for item in targets:
            suspect = self.avoided_by_number.get(item.number)
            if suspect is None:
                kept.append(item)
            elif may_try and now >= suspect.trial_at:
                return [item]
        return kept

    def retain(self, target_by_number, now):
        r"""Remove what concerns targets that are gone or can't be selected.

        The targets that were avoided first return if a service has lost so
        many targets that its limit is exceeded.
        """
        for number in list(self.suspect_by_number):
            target = target_by_number.get(number)
            if target is None or not self.catalogue.is_selectable(target):
                self._forget(number, 'removed', now)
        for service in list(self.group_by_service):
            group = self.group_by_service[service]
            while len(group.avoided) > self._limit(service):
                self._release(next(iter(group.avoided)), 'limit', now)
            if service not in self.catalogue.service_by_number:
                del self.group_by_service[service]

    def _forget(self, number, reason, now):
        r"""Drop the evidence against a target."""
        if number in self.avoided_by_number:
            self._release(number, reason, now)
        else:
            del self.suspect_by_number[number]

    def expire(self, now):
        r"""Let targets return of which no report has come."""
        while self.avoided_by_number:
            number, suspect = next(iter(self.avoided_by_number.items()))
            if now - suspect.reported_at < VERDICT_LIFETIME_MS:
                return
            self.counters.expired += 1
            self._release(number, 'no-report', now)

    def count(self):
        r"""Return the number of avoided targets."""
        return len(self.avoided_by_number)

    def take_log(self):
        r"""Return the log entries since the last call."""
        entries, self.log_entries = self.log_entries, []
        return entries


def make_ejection(name, catalogue):
    r"""Return what avoids failing targets, by its registered name.

    Raises
    ======

    KeyError
        If the name is unknown; settings are checked before.
    """
    return AVOIDANCES.entry_by_name[name](catalogue)
