"""Tests of the soak's checks: each must notice what it is for."""

import pytest

from soak import checks
from soak import faults
from standins import flow_callers

ANSWERED, CUT = flow_callers.ANSWERED, flow_callers.CUT


def attempt(identity='r-1', service='dispatch', outcome=ANSWERED, at=10.0,
            opened=True):
    """Return an attempt that took a tenth of a second."""
    return flow_callers.Attempt(
        identity, service, outcome, at, at + 0.05 if opened else None,
        at + 0.1)


def make_record(attempts=(), journal='', disturbances=(), outages=(),
                stale_reads=()):
    """Return a record with one target of ``dispatch`` in data centre a."""
    record = checks.Record()
    record.attempts = list(attempts)
    record.lines_by_target = {'target-0': checks.parse_journal(journal)}
    record.service_by_target = {'target-0': 'dispatch'}
    record.data_centre_by_target = {'target-0': 'a'}
    record.idempotent_by_service = {'dispatch': False, 'certs': True}
    record.disturbances = list(disturbances)
    record.outages = list(outages)
    record.stale_reads = list(stale_reads)
    return record


def outage(out_at, in_at):
    """Return a time in which data centre a was out."""
    taken = checks.Outage('a', out_at)
    taken.in_at = in_at
    return taken


RUN = '10.000 run r-1 dispatch dispatch\n'
KILL = faults.Disturbance('target-0', 'kill', 9.0, 9.5)
OPENS = ''.join('10.%d00 open aa\n' % tenth for tenth in range(6))
CASES = (
    # name, record, name of the check that must notice it or None
    ('a good run', make_record([attempt()], RUN), None),
    ('an answer of another request', make_record(
        [attempt(outcome=flow_callers.MIXED)], disturbances=[KILL]),
     'answers belong to their requests'),
    ('a reset of an open flow', make_record(
        [attempt(outcome=CUT)], disturbances=[KILL]),
     'open flows are not reset'),
    ('a run at another service', make_record(
        [attempt(service='certs')], '10.000 run r-1 certs dispatch\n'),
     'requests reach their service'),
    ('a booking that ran twice', make_record([attempt()], RUN + RUN),
     'non-idempotent requests run once'),
    ('a request that was refused and ran', make_record(
        [attempt(outcome=flow_callers.REFUSED, opened=False)], RUN,
        [KILL]),
     'a refusal says that nothing ran'),
    ('a flow at a leaving target', make_record(
        journal='5.000 leave\n5.200 open aa\n'),
     'leaving targets get no new flow'),
    ('a flow that was on its way', make_record(
        journal='5.000 leave\n5.030 open aa\n'), None),
    ('a flow at the next start of a target that left', make_record(
        journal='5.000 leave\n9.000 start 0.0 5\n9.200 open aa\n'), None),
    ('too many flows at a cold target', make_record(
        journal='9.900 start 2.000 5\n' + OPENS),
     'cold targets get no more than they bear'),
    ('as many at a warm one', make_record(
        journal='5.000 start 2.000 5\n' + OPENS), None),
    ('a flow in a data centre that is out', make_record(
        journal='14.000 open aa\n', outages=[outage(10.0, 15.0)]),
     'a data centre that is out gets no new flow'),
    ('a flow within the bound', make_record(
        journal='12.900 open aa\n', outages=[outage(10.0, 15.0)]), None),
    ('a flow after the return', make_record(
        journal='15.100 open aa\n', outages=[outage(10.0, 15.0)]), None),
    ('a read of an older configuration', make_record(stale_reads=['old']),
     'reads are never older than what was acknowledged'),
    ('a request that failed in calm', make_record(
        [attempt(outcome=flow_callers.UNANSWERED)]),
     'callers are served while nothing is disturbed'),
    ('a request that failed after a kill', make_record(
        [attempt(outcome=flow_callers.UNANSWERED)], disturbances=[KILL]),
     None),
    ('a request whose second attempt was answered', make_record(
        [attempt(outcome=flow_callers.UNOPENED, opened=False),
         attempt(at=10.3)]), None),
)


@pytest.mark.parametrize(
    'record, noticed', [case[1:] for case in CASES],
    ids=[case[0] for case in CASES])
def test_check_notices(record, noticed):
    """Guards against a soak that passes whatever the system does."""
    assert list(checks.violations(record)) == ([noticed] if noticed else [])


def test_checks_without_bounds_of_time():
    """Guards against a verdict in CI that depends on the machine's load."""
    assert set(checks.CHECKS.entry_by_name) >= checks.TIMED
    record = make_record([attempt(outcome=flow_callers.UNANSWERED)])
    assert checks.violations(record, timed=False) == {}
