"""Tests that each check of the soak reports its violation."""

import pytest

from soak import checks
from soak import faults
from standins import flow_callers

ANSWERED, RESET = flow_callers.ANSWERED, flow_callers.RESET


def attempt(identity='r-1', service='dispatch', outcome=ANSWERED,
            began_at=10.0, opened=True):
    """Return an attempt that took a tenth of a second."""
    return flow_callers.Attempt(
        identity, service, outcome, began_at,
        began_at + 0.05 if opened else None, began_at + 0.1)


def make_observations(attempts=(), journal='', injected_faults=(),
                      evacuations=(), stale_reads=(), other_journal='',
                      resets_dead_flows=False):
    """Return observations of two targets of ``dispatch`` in data centre a."""
    observed = checks.Observations()
    observed.attempts = list(attempts)
    observed.entries_by_target = {
        'target-0': checks.parse_journal(journal),
        'target-1': checks.parse_journal(other_journal)}
    observed.service_by_target = dict.fromkeys(
        observed.entries_by_target, 'dispatch')
    observed.data_centre_by_target = dict.fromkeys(
        observed.entries_by_target, 'a')
    observed.resets_dead_flows = resets_dead_flows
    observed.idempotent_by_service = {'dispatch': False, 'certs': True}
    observed.injected_faults = list(injected_faults)
    observed.evacuations = list(evacuations)
    observed.stale_reads = list(stale_reads)
    return observed


def evacuation(out_at, in_at):
    """Return an evacuation of data centre a."""
    evacuated = checks.Evacuation('a', out_at)
    evacuated.in_at = in_at
    return evacuated


RUN = '10.000 run r-1 dispatch dispatch\n'
KILL = faults.InjectedFault('target-0', 'kill', 9.0, 9.5)
OPENS = ''.join('10.%d00 open aa\n' % tenth for tenth in range(6))
RETURNS = ''.join('20.%d00 return aa\n' % tenth for tenth in range(3))
AGENT_ROLLED = faults.InjectedFault('agent-0', 'rolling', 18.0, 20.1)
AGENT_KILLED = faults.InjectedFault('agent-0', 'kill', 15.0, 15.5)
AGENT_KILLED_EARLIER = faults.InjectedFault('agent-0', 'kill', 13.0, 14.5)
TARGET_STOPPED = faults.InjectedFault('target-0', 'stop', 12.0, 13.0)
CASES = (
    # name, observations, name of the check that must report it or None
    ('a run without violations', make_observations([attempt()], RUN), None),
    ('the answer to another request', make_observations(
        [attempt(outcome=flow_callers.MISMATCHED)], injected_faults=[KILL]),
     'answers belong to their requests'),
    ('a reset of an open flow', make_observations(
        [attempt(outcome=RESET)], injected_faults=[KILL]),
     'open flows are not reset'),
    ('a reset of a flow whose target was killed', make_observations(
        [attempt(outcome=RESET, began_at=9.2)], injected_faults=[KILL],
        resets_dead_flows=True), None),
    ('a reset of a flow that began after the kill', make_observations(
        [attempt(outcome=RESET)], injected_faults=[KILL],
        resets_dead_flows=True),
     'open flows are not reset'),
    ('packets of an open flow at another target', make_observations(
        journal='10.000 packet aa\n22.100 packet aa\n',
        other_journal=RETURNS, injected_faults=[
            AGENT_KILLED_EARLIER, AGENT_ROLLED]),
     'packets of an open flow reach its target'),
    ('packets at another target and then at the own one', make_observations(
        journal='10.000 packet aa\n21.900 packet aa\n',
        other_journal=RETURNS), None),
    ('packets at another target after a kill of the agent', make_observations(
        journal='10.000 packet aa\n', other_journal=RETURNS,
        injected_faults=[AGENT_KILLED]), None),
    ('packets of a flow whose target was stopped', make_observations(
        journal='10.000 packet aa\n', other_journal=RETURNS,
        injected_faults=[TARGET_STOPPED]), None),
    ('packets of a flow that opened later', make_observations(
        journal='30.000 packet aa\n', other_journal=RETURNS), None),
    ('a run at another service', make_observations(
        [attempt(service='certs')], '10.000 run r-1 certs dispatch\n'),
     'requests reach their service'),
    ('a non-idempotent request that ran twice', make_observations(
        [attempt()], RUN + RUN),
     'non-idempotent requests run once'),
    ('a request that was refused and ran', make_observations(
        [attempt(outcome=flow_callers.REFUSED, opened=False)], RUN,
        [KILL]),
     'a refusal says that nothing ran'),
    ('a flow at a leaving target', make_observations(
        journal='5.000 leave\n5.200 open aa\n'),
     'leaving targets get no new flow'),
    ('a flow that was in flight', make_observations(
        journal='5.000 leave\n5.030 open aa\n'), None),
    ('a flow after the restart of a target that left', make_observations(
        journal='5.000 leave\n9.000 start 0.0 5\n9.200 open aa\n'), None),
    ('too many flows at a cold target', make_observations(
        journal='9.900 start 2.000 5\n' + OPENS),
     'cold targets get no more flows than their limit'),
    ('as many flows at a warm target', make_observations(
        journal='5.000 start 2.000 5\n' + OPENS), None),
    ('a flow in a data centre that is out', make_observations(
        journal='14.000 open aa\n', evacuations=[evacuation(10.0, 15.0)]),
     'a data centre that is out gets no new flow'),
    ('a flow within the evacuation time', make_observations(
        journal='12.900 open aa\n', evacuations=[evacuation(10.0, 15.0)]),
     None),
    ('a flow after the end of the evacuation', make_observations(
        journal='15.100 open aa\n', evacuations=[evacuation(10.0, 15.0)]),
     None),
    ('a read of an older configuration', make_observations(
        stale_reads=['old']),
     'reads are never older than what was acknowledged'),
    ('a request that failed without a fault', make_observations(
        [attempt(outcome=flow_callers.UNANSWERED)]),
     'callers are served while no fault is in force'),
    ('a request that failed after a kill', make_observations(
        [attempt(outcome=flow_callers.UNANSWERED)], injected_faults=[KILL]),
     None),
    ('a request whose second attempt was answered', make_observations(
        [attempt(outcome=flow_callers.UNOPENED, opened=False),
         attempt(began_at=10.3)]), None),
)


@pytest.mark.parametrize(
    'observed, reported', [case[1:] for case in CASES],
    ids=[case[0] for case in CASES])
def test_check_reports_violation(observed, reported):
    """Guards against checks that miss their violation or report others."""
    assert list(checks.violations(observed)) == (
        [reported] if reported else [])


def test_violations_without_timed_checks():
    """Guards against a CI result that depends on the machine's load."""
    assert set(checks.CHECKS.entry_by_name) >= checks.TIMED_CHECKS
    observed = make_observations([attempt(outcome=flow_callers.UNANSWERED)])
    assert checks.violations(observed, include_timed=False) == {}
