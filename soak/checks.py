r"""Checks of the load balancer's guarantees on the events of a soak run.

Explanation
===========

A check takes the ``Observations`` of a run and returns one text for each
violation. Times are in seconds, of the monotonic clock that all processes of
a host share.
"""

import collections

from poplarstep.core import registry
from standins import flow_callers

# Longest delivery time of an opening packet that was in flight when the
# target's leave was acknowledged.
IN_FLIGHT_S = 0.05
COLD_WINDOW_S = 1.0
# A data centre gets no new flow later than this after the command that takes
# it out of service was acknowledged.
DATA_CENTRE_OUT_S = 3.0
# Callers are served again at the latest this long after the end of a fault.
RECOVERY_S = 6.0
# Invariant 1 of docs/hard_load.md: within this time as many packets of an open
# flow reach other targets, and none reaches its own.
WRONG_TARGET_S, WRONG_PACKETS = 2.0, 3
# A flow is exempt for this time after a fault of its target or its agent other
# than a graceful restart.
AFTER_FAULT_S = 5.0
GRACEFUL_FAULTS = frozenset(('stop', 'rolling'))
# Faults with which the flows of a target end.
ENDING_FAULTS = frozenset(('kill', 'stop'))

CHECKS = registry.Registry('check')
# Checks with time limits, which an overloaded machine can exceed by itself.
TIMED_CHECKS = {
    'leaving targets get no new flow',
    'cold targets get no more flows than their limit',
    'a data centre that is out gets no new flow',
    'callers are served while no fault is in force',
    'packets of an open flow reach its target',
}


class JournalEntry:
    r"""One line of a target's journal: a time and the event's fields."""

    __slots__ = ('logged_at', 'fields')

    def __init__(self, logged_at, fields):
        self.logged_at = logged_at
        self.fields = fields


class Evacuation:
    r"""A data centre that was taken out of service.

    ``out_at`` is when the command was acknowledged; ``in_at`` is when the
    command to put it back was sent, or None if it was not sent.
    """

    __slots__ = ('data_centre', 'out_at', 'in_at')

    def __init__(self, data_centre, out_at):
        self.data_centre = data_centre
        self.out_at = out_at
        self.in_at = None


class Observations:
    r"""Events and results collected during a run.

    Parameters
    ==========

    attempts : list of Attempt
        Every flow of every caller.
    entries_by_target : dict
        Journal entries by target name, in order.
    service_by_target, data_centre_by_target : dict
        Service and data centre by target name.
    idempotent_by_service : dict
        Whether requests may run more than once.
    stale_reads : list of str
        A text for each read of a configuration older than the last
        acknowledged one.
    evacuations : list of Evacuation
        Data centres that were taken out of service.
    injected_faults : list of InjectedFault
        Faults with the times at which they were in force.
    resets_dead_flows : bool
        Whether callers are reset when the target of their flow has ended.
    """

    __slots__ = (
        'attempts', 'entries_by_target', 'service_by_target',
        'data_centre_by_target', 'idempotent_by_service', 'stale_reads',
        'evacuations', 'injected_faults', 'resets_dead_flows')

    def __init__(self):
        self.attempts = []
        self.entries_by_target = {}
        self.service_by_target = {}
        self.data_centre_by_target = {}
        self.idempotent_by_service = {}
        self.stale_reads = []
        self.evacuations = []
        self.injected_faults = []
        self.resets_dead_flows = False


def parse_journal(text):
    r"""Return the entries of a journal; skip an incomplete last line.

    Examples
    ========

    >>> entry, = parse_journal('1.500 run r-1 certs certs\n2.0')
    >>> entry.logged_at, entry.fields
    (1.5, ('run', 'r-1', 'certs', 'certs'))

    """
    entries = []
    for line in text.split('\n')[:-1]:
        logged_at, *fields = line.split(' ')
        entries.append(JournalEntry(float(logged_at), tuple(fields)))
    return entries


def is_undisturbed(observed, began_at, ended_at):
    r"""Return whether no fault could affect an interval.

    A fault affects the time while it is in force and ``RECOVERY_S`` after.
    """
    return all(
        item.ended_at + RECOVERY_S < began_at or item.began_at > ended_at
        for item in observed.injected_faults)


@CHECKS.register('answers belong to their requests')
def foreign_answers(observed):
    r"""Return the requests that got the answer to another request."""
    return ['%s got the answer to another request' % item.identity
            for item in observed.attempts
            if item.outcome == flow_callers.MISMATCHED]


@CHECKS.register('open flows are not reset')
def flow_resets(observed):
    r"""Return the requests whose flow was reset after it had opened.

    Where dead flows are reset, a flow may have ended with a target that was
    killed or stopped since the flow began.
    """
    return ['%s was reset after its flow had opened' % item.identity
            for item in observed.attempts
            if item.outcome == flow_callers.RESET
            and not (observed.resets_dead_flows
                     and _has_target_ended(observed, item))]


def _has_target_ended(observed, attempt):
    return any(
        _has_ended(observed, name, attempt.began_at, attempt.ended_at)
        for name in observed.entries_by_target)


def _has_ended(observed, target, began_at, ended_at):
    r"""Return whether a target was killed or stopped within an interval."""
    return any(
        item.process_name == target and item.kind in ENDING_FAULTS
        and item.ended_at > began_at and item.began_at < ended_at
        for item in observed.injected_faults)


@CHECKS.register('packets of an open flow reach its target')
def missed_targets(observed):
    r"""Return the open flows whose packets reached other targets only."""
    name_by_flow, own_by_flow = {}, collections.defaultdict(list)
    wrong_by_flow = collections.defaultdict(list)
    for name, entries in observed.entries_by_target.items():
        for entry in entries:
            if entry.fields[0] == 'packet':
                name_by_flow[entry.fields[1]] = name
                own_by_flow[entry.fields[1]].append(entry.logged_at)
            elif entry.fields[0] == 'return':
                wrong_by_flow[entry.fields[1]].append(entry.logged_at)
    found = []
    for flow, wrong in wrong_by_flow.items():
        name = name_by_flow.get(flow)
        for begun_at, last_at in zip(
                sorted(wrong), sorted(wrong)[WRONG_PACKETS - 1:]):
            until = begun_at + WRONG_TARGET_S
            if name is None or last_at > until or (
                    begun_at < own_by_flow[flow][0]) or any(
                    begun_at - IN_FLIGHT_S <= at <= until
                    for at in own_by_flow[flow]) or _has_ended(
                    observed, name, own_by_flow[flow][0], until) or (
                    _is_disturbed(observed, name, begun_at, until)):
                continue
            found.append('a flow of %s missed it from %.3f on' % (
                name, begun_at))
            break
    return found


def _is_disturbed(observed, target, began_at, ended_at):
    r"""Return whether a target or its agent had a fault in or before."""
    names = (target, target.replace('target', 'agent'))
    return any(
        item.process_name in names and item.kind not in GRACEFUL_FAULTS
        and item.ended_at + AFTER_FAULT_S >= began_at
        and item.began_at <= ended_at
        for item in observed.injected_faults)


@CHECKS.register('requests reach their service')
def misrouted_requests(observed):
    r"""Return the requests that ran at a target of another service."""
    return [
        '%s for %s ran at %s' % (entry.fields[1], entry.fields[2], name)
        for name, entries in observed.entries_by_target.items()
        for entry in entries
        if entry.fields[0] == 'run'
        and entry.fields[2] != observed.service_by_target[name]]


@CHECKS.register('non-idempotent requests run once')
def repeated_runs(observed):
    r"""Return the non-idempotent requests that ran more than once."""
    counts = collections.Counter(
        entry.fields[1:3] for entries in observed.entries_by_target.values()
        for entry in entries if entry.fields[0] == 'run')
    return [
        '%s ran %d times' % (identity, count)
        for (identity, service), count in counts.items()
        if count > 1 and not observed.idempotent_by_service[service]]


@CHECKS.register('a refusal says that nothing ran')
def false_refusals(observed):
    r"""Return the requests that ran though none of their flows had opened.

    A flow that does not open tells its caller that the request has not run,
    and the caller may send the request again.
    """
    ran = {entry.fields[1]
           for entries in observed.entries_by_target.values()
           for entry in entries if entry.fields[0] == 'run'}
    opened = {item.identity for item in observed.attempts
              if item.opened_at is not None}
    return ['%s ran though none of its flows opened' % item.identity
            for item in observed.attempts
            if item.identity in ran - opened]


@CHECKS.register('leaving targets get no new flow')
def flows_after_leave(observed):
    r"""Return the flows that opened after a leave was acknowledged."""
    found = []
    for name, entries in observed.entries_by_target.items():
        left_at = None
        for entry in entries:
            if entry.fields[0] == 'start':
                left_at = None
            elif entry.fields[0] == 'leave':
                left_at = entry.logged_at
            elif entry.fields[0] == 'open' and left_at is not None and (
                    entry.logged_at > left_at + IN_FLIGHT_S):
                found.append('%s got a flow %.3f s after its leave' % (
                    name, entry.logged_at - left_at))
    return found


@CHECKS.register('cold targets get no more flows than their limit')
def cold_target_overloads(observed):
    r"""Return the flows above the limit of a cold target.

    The ``start`` entry gives the cold period in seconds and the most flows
    that may open in one second of it.
    """
    found = []
    for name, entries in observed.entries_by_target.items():
        cold_until, limit, opens = 0, 0, []
        for entry in entries:
            if entry.fields[0] == 'start':
                cold_until = entry.logged_at + float(entry.fields[1])
                limit, opens = int(entry.fields[2]), []
            elif entry.fields[0] == 'open' and entry.logged_at < cold_until:
                opens = [at for at in opens
                         if entry.logged_at - at < COLD_WINDOW_S]
                opens.append(entry.logged_at)
                if len(opens) > limit:
                    found.append('%s got %d flows in a second while cold' % (
                        name, len(opens)))
    return found


@CHECKS.register('a data centre that is out gets no new flow')
def flows_in_evacuated_data_centres(observed):
    r"""Return the flows that opened in a data centre after it was out.

    Flows during a fault or up to ``RECOVERY_S`` after it don't count, because
    the fault may have kept the change from an agent.
    """
    found = []
    for evacuation in observed.evacuations:
        for name, entries in observed.entries_by_target.items():
            if observed.data_centre_by_target[
                    name] != evacuation.data_centre:
                continue
            found.extend(
                '%s got a flow %.2f s after %s was out' % (
                    name, entry.logged_at - evacuation.out_at,
                    evacuation.data_centre)
                for entry in entries
                if entry.fields[0] == 'open'
                and entry.logged_at > evacuation.out_at + DATA_CENTRE_OUT_S
                and (evacuation.in_at is None
                     or entry.logged_at < evacuation.in_at)
                and is_undisturbed(
                    observed, entry.logged_at, entry.logged_at))
    return found


@CHECKS.register('reads are never older than what was acknowledged')
def stale_reads(observed):
    r"""Return the reads older than the last acknowledged configuration."""
    return observed.stale_reads


@CHECKS.register('callers are served while no fault is in force')
def failures_without_fault(observed):
    r"""Return the requests that failed while no fault could affect them."""
    last_by_identity = {}
    first_by_identity = {}
    for item in observed.attempts:
        last_by_identity[item.identity] = item
        first_by_identity.setdefault(item.identity, item)
    return [
        '%s ended %s with no fault in force' % (identity, last.outcome)
        for identity, last in last_by_identity.items()
        if last.outcome != flow_callers.ANSWERED and is_undisturbed(
            observed, first_by_identity[identity].began_at, last.ended_at)]


def violations(observed, include_timed=True):
    r"""Return the texts of the violations by name of the check.

    Parameters
    ==========

    include_timed : bool
        Whether the checks in ``TIMED_CHECKS`` run too.
    """
    found = {}
    for name, check in CHECKS.entry_by_name.items():
        texts = check(observed) if (
            include_timed or name not in TIMED_CHECKS) else ()
        if texts:
            found[name] = texts
    return found
