r"""Promises that the soak checks, from what callers and targets saw.

Explanation
===========

A check takes a ``Record`` of the run and returns texts, one a violation.
Times are those of the clock that all processes of a host share, in seconds.
"""

import collections

from poplarstep.core import registry
from standins import flow_callers

# The opening of a flow that was on its way when a target's leaving was
# acknowledged reaches it within this time.
IN_FLIGHT_S = 0.05
COLD_SPAN_S = 1.0
DATA_CENTRE_OUT_S = 3.0
# After a disturbance callers and operators get what is promised again.
CALM_S = 6.0

CHECKS = registry.Registry('check')
# Checks with bounds of time; a busy machine may break them by itself.
TIMED = {
    'leaving targets get no new flow',
    'cold targets get no more than they bear',
    'a data centre that is out gets no new flow',
    'callers are served while nothing is disturbed',
}


class Line:
    r"""One line of a target's journal."""

    __slots__ = ('at', 'words')

    def __init__(self, at, words):
        self.at = at
        self.words = words


class Outage:
    r"""A data centre that was taken out; ``in_at`` is None when it stays."""

    __slots__ = ('data_centre', 'out_at', 'in_at')

    def __init__(self, data_centre, out_at):
        self.data_centre = data_centre
        self.out_at = out_at
        self.in_at = None


class Record:
    r"""What was seen in a run.

    Parameters
    ==========

    attempts : list of Attempt
        Every flow of every caller.
    lines_by_target : dict
        Journal lines by target name, in order.
    service_by_target, data_centre_by_target : dict
        Facts of the targets by name.
    idempotent_by_service : dict
        Whether requests may run twice.
    stale_reads : list of str
        Reads that were older than what had been acknowledged.
    outages : list of Outage
        Data centres that were out.
    disturbances : list of Disturbance
        Faults as they were carried out.
    """

    __slots__ = (
        'attempts', 'lines_by_target', 'service_by_target',
        'data_centre_by_target', 'idempotent_by_service', 'stale_reads',
        'outages', 'disturbances')

    def __init__(self):
        self.attempts = []
        self.lines_by_target = {}
        self.service_by_target = {}
        self.data_centre_by_target = {}
        self.idempotent_by_service = {}
        self.stale_reads = []
        self.outages = []
        self.disturbances = []


def parse_journal(text):
    r"""Return the lines of a journal; a torn last line is left out.

    Examples
    ========

    >>> line, = parse_journal('1.500 run r-1 certs certs\n2.0')
    >>> line.at, line.words
    (1.5, ('run', 'r-1', 'certs', 'certs'))

    """
    lines = []
    for line in text.split('\n')[:-1]:
        at, *words = line.split(' ')
        lines.append(Line(float(at), tuple(words)))
    return lines


def is_calm(record, began_at, ended_at):
    r"""Return whether nothing was disturbed around a span of time."""
    return all(
        item.ended_at + CALM_S < began_at or item.began_at > ended_at
        for item in record.disturbances)


@CHECKS.register('answers belong to their requests')
def answers(record):
    r"""Return the answers that were not those of the request."""
    return ['%s got an answer that is not its own' % item.identity
            for item in record.attempts
            if item.outcome == flow_callers.MIXED]


@CHECKS.register('open flows are not reset')
def resets(record):
    r"""Return the flows that were reset after they had opened."""
    return ['%s was reset after its flow had opened' % item.identity
            for item in record.attempts
            if item.outcome == flow_callers.CUT]


@CHECKS.register('requests reach their service')
def services(record):
    r"""Return the requests that ran at a target of another service."""
    return [
        '%s for %s ran at %s' % (line.words[1], line.words[2], name)
        for name, lines in record.lines_by_target.items() for line in lines
        if line.words[0] == 'run'
        and line.words[2] != record.service_by_target[name]]


@CHECKS.register('non-idempotent requests run once')
def runs(record):
    r"""Return the requests that ran more than once and must not."""
    counts = collections.Counter(
        line.words[1:3] for lines in record.lines_by_target.values()
        for line in lines if line.words[0] == 'run')
    return [
        '%s ran %d times' % (identity, count)
        for (identity, service), count in counts.items()
        if count > 1 and not record.idempotent_by_service[service]]


@CHECKS.register('a refusal says that nothing ran')
def refusals(record):
    r"""Return the requests that ran though no flow had opened."""
    ran = {line.words[1] for lines in record.lines_by_target.values()
           for line in lines if line.words[0] == 'run'}
    opened = {item.identity for item in record.attempts
              if item.opened_at is not None}
    return ['%s ran though no flow of it opened' % item.identity
            for item in record.attempts
            if item.identity in ran - opened]


@CHECKS.register('leaving targets get no new flow')
def leaving(record):
    r"""Return the flows that opened after a leave was acknowledged."""
    found = []
    for name, lines in record.lines_by_target.items():
        left_at = None
        for line in lines:
            if line.words[0] == 'start':
                left_at = None
            elif line.words[0] == 'leave':
                left_at = line.at
            elif line.words[0] == 'open' and left_at is not None and (
                    line.at > left_at + IN_FLIGHT_S):
                found.append('%s got a flow %.3f s after its leave' % (
                    name, line.at - left_at))
    return found


@CHECKS.register('cold targets get no more than they bear')
def cold(record):
    r"""Return the spans in which a cold target got too many flows.

    The line of a start tells how long the target is cold, in seconds, and
    how many flows it bears in one second.
    """
    found = []
    for name, lines in record.lines_by_target.items():
        cold_until, limit, opens = 0, 0, []
        for line in lines:
            if line.words[0] == 'start':
                cold_until = line.at + float(line.words[1])
                limit, opens = int(line.words[2]), []
            elif line.words[0] == 'open' and line.at < cold_until:
                opens = [at for at in opens if line.at - at < COLD_SPAN_S]
                opens.append(line.at)
                if len(opens) > limit:
                    found.append('%s got %d flows in a second while cold' % (
                        name, len(opens)))
    return found


@CHECKS.register('a data centre that is out gets no new flow')
def data_centres(record):
    r"""Return the flows that opened in a data centre long after its end.

    Agents that a fault took within the last seconds may not know yet.
    """
    found = []
    for outage in record.outages:
        for name, lines in record.lines_by_target.items():
            if record.data_centre_by_target[name] != outage.data_centre:
                continue
            found.extend(
                '%s got a flow %.2f s after %s was out' % (
                    name, line.at - outage.out_at, outage.data_centre)
                for line in lines
                if line.words[0] == 'open'
                and line.at > outage.out_at + DATA_CENTRE_OUT_S
                and (outage.in_at is None or line.at < outage.in_at)
                and is_calm(record, line.at, line.at))
    return found


@CHECKS.register('reads are never older than what was acknowledged')
def reads(record):
    r"""Return the reads that were stale."""
    return record.stale_reads


@CHECKS.register('callers are served while nothing is disturbed')
def service(record):
    r"""Return the requests that failed in calm times."""
    last_by_identity = {}
    first_by_identity = {}
    for item in record.attempts:
        last_by_identity[item.identity] = item
        first_by_identity.setdefault(item.identity, item)
    return [
        '%s ended %s with nothing disturbed' % (identity, last.outcome)
        for identity, last in last_by_identity.items()
        if last.outcome != flow_callers.ANSWERED and is_calm(
            record, first_by_identity[identity].began_at, last.ended_at)]


def violations(record, timed=True):
    r"""Return the violations, as texts by check.

    Parameters
    ==========

    timed : bool
        Whether the checks with bounds of time count too.
    """
    found = {}
    for name, check in CHECKS.entry_by_name.items():
        texts = check(record) if timed or name not in TIMED else ()
        if texts:
            found[name] = texts
    return found
