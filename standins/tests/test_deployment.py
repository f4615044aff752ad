"""Tests of the guarantees to callers on real processes under faults."""

import collections
import os

import gevent
import pytest

from poplarstep.edge import clock
from standins import demo
from standins import deployment
from standins import network as networks
from standins import script

# Two data centres, few targets: the processes start in a few seconds.
PLAN = deployment.Plan('test', ('east', 'west'), (
    deployment.ServicePlan('lookups', 4, 2, 2000, 0, 3.0, cold_ms=3000),))
FLOWS = 64
CONCURRENCY = 32
REQUESTS = 20
PAUSE_S = 0.1
# Limit from the acceptance of the command that takes a data centre out to
# the last packet that reaches it.
DATA_CENTRE_OUT_MS = 3000
# Limit from an accepted command to its version on every node.
IN_FORCE_MS = 4000
STATUS_PERIOD_S = 0.1
RECEIVED_COUNTER = 'front_received'


class Run:
    r"""A deployment under load, the events of its script and samples.

    ``received_by_sample`` holds, for each named sample, the packets that
    each agent has received.
    """

    __slots__ = ('demonstration', 'events', 'received_by_sample', 'status')

    def __init__(self, demonstration):
        self.demonstration = demonstration
        self.events = []
        self.received_by_sample = {}
        self.status = {}

    def tally(self):
        return self.demonstration.tally_by_service['lookups']

    def sample(self, name):
        r"""Record the packets that each agent has received so far."""
        layout = self.demonstration.layout
        self.received_by_sample[name] = gevent.get_hub().threadpool.apply(
            lambda: {
                index: read_counter(
                    self.demonstration, deployment.AGENT, index,
                    RECEIVED_COUNTER)
                for index, _ in layout.indexed_targets()})


def read_counter(demonstration, kind, index, counter):
    status = demonstration.processes.status(
        demonstration.layout.process_address(
            kind, index, deployment.HTTP_PORT))
    if status is None:
        return None
    return {row[0]: row[2] for row in status['values']}[counter]


def no_flow_broken(run):
    # Flows survive every fault but the end of their agent or target, or
    # their data centre being taken out.
    tally = run.tally()
    assert (tally.broken, tally.mismatched, tally.refused) == (0, 0, 0), (
        tally.reasons)
    assert tally.completed + tally.given_up == FLOWS


def no_flow_given_up(run):
    assert run.tally().given_up == 0


def no_request_repeated(run):
    # A non-idempotent request runs at most once: neither its idempotency
    # key nor its payload occurs twice in the journals.
    runs = run.demonstration.processes.executed_requests()
    assert len(runs) >= run.tally().answered
    for part in (0, 1):
        counts = collections.Counter(entry[part] for entry in runs)
        assert [name for name, count in counts.items() if count > 1] == []


def refused_requests_did_not_run(run):
    # No request that was refused as not run has run.
    ran = {
        payload for _, payload
        in run.demonstration.processes.executed_requests()}
    assert run.tally().not_run_payloads & ran == set()


def cold_targets_not_overloaded(run):
    # A cold target fails requests above one at a time. The restarted target
    # got requests and failed none.
    loads = [
        run.demonstration.processes.target_load(index)
        for index, _ in run.demonstration.layout.indexed_targets()]
    assert [load['failures'] for load in loads] == [0] * len(loads)
    assert loads[1]['most_in_flight_cold'] == 1


def commands_applied(run):
    # A command that was sent to the paused leader is resent to the new one.
    outcomes = [event.outcome for event in run.events
                if event.text.startswith(('create', 'drain'))]
    assert outcomes == ['applied', 'applied']


def configuration_in_force_everywhere(run):
    # The configuration is in force on every node within 4 s, also on the
    # former leader after its pause, and all agree on the leader.
    layout = run.demonstration.layout
    addresses = [
        layout.process_address(kind, index, deployment.HTTP_PORT)
        for kind, count in ((deployment.CONTROL, layout.controls),
                            (deployment.BALANCER, layout.balancers),
                            (deployment.AGENT, len(layout.indexed_targets())))
        for index in range(count)]
    deadline = clock.now_ms() + IN_FORCE_MS
    while True:
        statuses = [
            run.demonstration.processes.status(address)
            for address in addresses]
        versions = {status['version'] for status in statuses}
        leaders = {status['leader'] for status in statuses
                   if status['role'] == 'control'}
        if len(versions) == len(leaders) == 1:
            return
        assert clock.now_ms() < deadline, (versions, leaders)
        gevent.sleep(STATUS_PERIOD_S)


def most_flows_complete(run):
    # One agent and another agent's target, of four each, end once; only
    # their flows may break.
    assert run.tally().completed >= FLOWS // 4


def stops_cut_no_request(run):
    # Exit code 4 of a graceful stop means that requests were cut.
    outcomes = [event.outcome for event in run.events
                if event.text.startswith('terminate')]
    assert len(outcomes) == 2
    assert all(text.endswith('exit code 0') for text in outcomes), outcomes


def no_packet_after_time_limit(run):
    # A balancer that resumes with an expired lease forwards none of the
    # packets for the data centre that wait in its socket buffer.
    agents_out = [
        index for index, _ in run.demonstration.layout.indexed_targets()
        if run.demonstration.layout.data_centre(index) == 'west']
    at_limit, at_end = (
        run.received_by_sample['time limit'], run.received_by_sample['end'])
    assert agents_out and [at_limit[index] for index in agents_out] == [
        at_end[index] for index in agents_out]
    # Other agents received packets meanwhile, and the resumed balancer
    # refused some.
    assert sum(at_end.values()) > sum(at_limit.values())
    refused = [
        read_counter(run.demonstration, deployment.BALANCER, 0, counter)
        for counter in ('balancer_refused_unconfirmed',
                        'balancer_refused_data_centre')]
    assert sum(refused) > 0
    assert run.tally().given_up > 0


CASES = (
    # Name, script, seconds of the samples, checks.
    ('undisturbed', '', (), (
        no_flow_broken, no_flow_given_up, no_request_repeated)),
    ('balancer and leader killed', '''
        0.5 kill balancer-0
        1.0 kill leader
        3.0 restart balancer-0
     ''', (), (no_flow_broken, no_flow_given_up, no_request_repeated)),
    ('paused balancer', '''
        0.5 stop balancer-0
        1.0 take data-centre west out
        5.5 continue balancer-0
     ''', ((1.5 + DATA_CENTRE_OUT_MS / 1000, 'time limit'), (8.0, 'end')), (
        no_flow_broken, no_packet_after_time_limit, no_request_repeated,
        refused_requests_did_not_run)),
    ('agent and target killed', '''
        0.5 kill agent-0
        1.0 kill target-1
        1.5 restart target-1
        2.0 restart agent-0
     ''', (), (
        no_request_repeated, refused_requests_did_not_run,
        cold_targets_not_overloaded, most_flows_complete)),
    ('paused leader', '''
        0.5 stop leader
        1.0 create service extra address 10.9.9.9:5000 priority 5
        8.5 continue control-0
        8.5 continue control-1
        8.5 continue control-2
        9.0 drain target lookups/0
     ''', (), (
        no_flow_broken, no_flow_given_up, commands_applied,
        configuration_in_force_everywhere, no_request_repeated)),
    ('graceful stops', '''
        0.5 terminate balancer-0
        0.7 terminate agent-0
     ''', (), (no_flow_broken, no_flow_given_up, stops_cut_no_request,
               no_request_repeated)),
)


@pytest.mark.parametrize(
    'text, samples, checks', [case[1:] for case in CASES],
    ids=[case[0] for case in CASES])
def test_guarantees_hold_under_faults(tmp_path, text, samples, checks):
    """Guards against faults that break a guarantee named by a check."""
    with open(os.devnull, 'wb') as log, networks.reserve() as network:
        demonstration = demo.make_demonstration(
            PLAN, str(tmp_path), log, network)
        run = Run(demonstration)
        try:
            demo.start(demonstration)
            scheduled = script.play(
                script.parse(text).unwrap(), demonstration.processes,
                run.events)
            for seconds, name in samples:
                scheduled.add(gevent.spawn_later(seconds, run.sample, name))
            demo.run_flows(
                demonstration, FLOWS, CONCURRENCY, REQUESTS, PAUSE_S)
            scheduled.join()
            for check in checks:
                check(run)
        finally:
            demonstration.fabric.close()
            demonstration.processes.kill_all()
