"""Tests of the promises on real processes under faults."""

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
# R4: from the acceptance of the command to the last packet.
DATA_CENTRE_OUT_MS = 3000
# R10: from the last command to the same version on every node.
IN_FORCE_MS = 4000
STATUS_PERIOD_S = 0.1
PACKETS_AT_AGENT = 'front_received'


class Run:
    r"""A deployment whose script has been played under load."""

    __slots__ = ('demonstration', 'events', 'count_by_agent_at', 'status')

    def __init__(self, demonstration):
        self.demonstration = demonstration
        self.events = []
        self.count_by_agent_at = {}
        self.status = {}

    def tally(self):
        return self.demonstration.tally_by_service['lookups']

    def sample(self, name):
        r"""Note the packets that each agent has received so far."""
        layout = self.demonstration.layout
        self.count_by_agent_at[name] = gevent.get_hub().threadpool.apply(
            lambda: {
                index: read(self.demonstration, deployment.AGENT, index,
                            PACKETS_AT_AGENT)
                for index, _ in layout.target_places()})


def read(demonstration, kind, index, counter):
    status = demonstration.processes.status(demonstration.layout.place(
        kind, index, deployment.HTTP_PORT))
    if status is None:
        return None
    return {row[0]: row[2] for row in status['values']}[counter]


def none_broken(run):
    # R1: flows survive what is neither their agent's nor their data
    # centre's end.
    tally = run.tally()
    assert (tally.broken, tally.mismatched, tally.refused) == (0, 0, 0), (
        tally.reasons)
    assert tally.completed + tally.given_up == FLOWS


def none_given_up(run):
    assert run.tally().given_up == 0


def no_run_repeated(run):
    # R7, by the target's keys and by what the caller asked for.
    runs = run.demonstration.processes.runs()
    assert len(runs) >= run.tally().answered
    for part in (0, 1):
        counts = collections.Counter(entry[part] for entry in runs)
        assert [name for name, count in counts.items() if count > 1] == []


def not_run_is_true(run):
    # R6: nothing that a caller was told did not run has run.
    ran = {payload for _, payload in run.demonstration.processes.runs()}
    assert run.tally().not_run_payloads & ran == set()


def cold_targets_bear_it(run):
    # R3: a target that has just started fails when it gets more than one
    # request at a time; the restarted ones got some, and no more.
    loads = [
        run.demonstration.processes.target_load(index)
        for index, _ in run.demonstration.layout.target_places()]
    assert [load['failures'] for load in loads] == [0] * len(loads)
    assert loads[1]['most_in_flight_cold'] == 1


def commands_applied(run):
    # A command that a paused leader swallowed is sent again to the next.
    outcomes = [event.outcome for event in run.events
                if event.text.startswith(('create', 'drain'))]
    assert outcomes == ['applied', 'applied']


def one_configuration_everywhere(run):
    # R10: in force on every node within 4 s, also on the leader that was
    # paused; it neither leads on nor holds an older version for good.
    layout = run.demonstration.layout
    places = [
        layout.place(kind, index, deployment.HTTP_PORT)
        for kind, count in ((deployment.CONTROL, layout.controls),
                            (deployment.BALANCER, layout.balancers),
                            (deployment.AGENT, len(layout.target_places())))
        for index in range(count)]
    deadline = clock.now_ms() + IN_FORCE_MS
    while True:
        statuses = [
            run.demonstration.processes.status(place) for place in places]
        versions = {status['version'] for status in statuses}
        leaders = {status['leader'] for status in statuses
                   if status['role'] == 'control'}
        if len(versions) == len(leaders) == 1:
            return
        assert clock.now_ms() < deadline, (versions, leaders)
        gevent.sleep(STATUS_PERIOD_S)


def most_flows_complete(run):
    # One of four agents and one of four targets end once; the flows that
    # broke are theirs.
    assert run.tally().completed >= FLOWS // 4


def stops_cut_nothing(run):
    # R9: exit code 4 says that requests were cut.
    ends = [event.outcome for event in run.events
            if event.text.startswith('terminate')]
    assert len(ends) == 2
    assert all(text.endswith('exit code 0') for text in ends), ends


def no_packet_after_the_bound(run):
    # R4: a balancer that resumes with a lapsed lease, with packets for the
    # data centre in its socket buffer, forwards none of them.
    out = [index for index, _ in run.demonstration.layout.target_places()
           if run.demonstration.layout.data_centre(index) == 'west']
    bound, end = run.count_by_agent_at['bound'], run.count_by_agent_at['end']
    assert out and [bound[index] for index in out] == [
        end[index] for index in out]
    # The others went on, and the resumed balancer had packets to refuse.
    assert sum(end.values()) > sum(bound.values())
    refused = [
        read(run.demonstration, deployment.BALANCER, 0, counter)
        for counter in ('balancer_refused_unconfirmed',
                        'balancer_refused_data_centre')]
    assert sum(refused) > 0
    assert run.tally().given_up > 0


CASES = (
    # Name, script, seconds of the samples, checks.
    ('undisturbed', '', (), (
        none_broken, none_given_up, no_run_repeated)),
    ('balancer and leader killed', '''
        0.5 kill balancer-0
        1.0 kill leader
        3.0 restart balancer-0
     ''', (), (none_broken, none_given_up, no_run_repeated)),
    ('paused balancer', '''
        0.5 stop balancer-0
        1.0 take data-centre west out
        5.5 continue balancer-0
     ''', ((1.5 + DATA_CENTRE_OUT_MS / 1000, 'bound'), (8.0, 'end')), (
        none_broken, no_packet_after_the_bound, no_run_repeated,
        not_run_is_true)),
    ('agent and target killed', '''
        0.5 kill agent-0
        1.0 kill target-1
        1.5 restart target-1
        2.0 restart agent-0
     ''', (), (
        no_run_repeated, not_run_is_true, cold_targets_bear_it,
        most_flows_complete)),
    ('paused leader', '''
        0.5 stop leader
        1.0 create service extra address 10.9.9.9:5000 priority 5
        8.5 continue control-0
        8.5 continue control-1
        8.5 continue control-2
        9.0 drain target lookups/0
     ''', (), (
        none_broken, none_given_up, commands_applied,
        one_configuration_everywhere, no_run_repeated)),
    ('graceful stops', '''
        0.5 terminate balancer-0
        0.7 terminate agent-0
     ''', (), (none_broken, none_given_up, stops_cut_nothing,
               no_run_repeated)),
)


@pytest.mark.parametrize(
    'text, samples, checks', [case[1:] for case in CASES],
    ids=[case[0] for case in CASES])
def test_promises_hold(tmp_path, text, samples, checks):
    """Guards against each broken promise that its checks name."""
    with open(os.devnull, 'wb') as log, networks.reserve() as network:
        demonstration = demo.make_demonstration(
            PLAN, str(tmp_path), log, network)
        run = Run(demonstration)
        try:
            demo.start(demonstration)
            playing = script.play(
                script.parse(text).unwrap(), demonstration.processes,
                run.events)
            for seconds, name in samples:
                playing.add(gevent.spawn_later(seconds, run.sample, name))
            demo.drive(
                demonstration, FLOWS, CONCURRENCY, REQUESTS, PAUSE_S)
            playing.join()
            for check in checks:
                check(run)
        finally:
            demonstration.fabric.close()
            demonstration.processes.kill_all()
