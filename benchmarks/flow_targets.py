r"""Targets in the simulation of opaque flows.

Explanation
===========

A target runs as many requests as it has slots and queues a few more; when
its queue is full, it returns the opening packet.
"""

import collections
import itertools

from benchmarks import flow_counting
from poplarstep.opaque_flows import presence
from poplarstep.opaque_flows import segment as segments
from poplarstep.opaque_flows import target as targets

HEARTBEAT_MS = 800
# Sigma of the lognormal service times.
SERVICE_SIGMA = 0.5
# An error is answered in this part of the service time.
ERROR_BYTES = 120
ERROR_TIME_PART = 0.2
# Distance of the initial sequence numbers of two targets.
SEQUENCE_STEP = segments.MAXIMUM_FLOW_BYTES + 1
ANSWER_BYTES = 2000
# Length of the answer of a target that sheds a request.
SHED_BYTES = 1


class Target:
    r"""A target's slots and queue, and the state of its agent.

    ``queued`` holds the flows of the queued requests, ``first_sequence`` is
    the initial sequence number of all its flows.
    """

    __slots__ = (
        'number', 'service_factor', 'running', 'queued', 'agent_state',
        'heartbeat_numbers', 'first_sequence')

    def __init__(self, number, service_factor, state):
        self.number = number
        self.first_sequence = (
            number * SEQUENCE_STEP % segments.SEQUENCE_MODULUS)
        self.service_factor = service_factor
        self.running = 0
        self.queued = collections.deque()
        self.agent_state = state
        self.heartbeat_numbers = itertools.count(1)


def draw_work(scenario, generator):
    r"""Return a service time relative to the mean."""
    work = generator.lognormvariate(-SERVICE_SIGMA ** 2 / 2, SERVICE_SIGMA)
    if scenario.long_share and generator.random() < scenario.long_share:
        work *= scenario.long_factor
    return work


def disturbance(simulation, target):
    r"""Return what disturbs a target now."""
    return simulation.scenario.disturbance(target.number, simulation.now)


def send_heartbeat(simulation, node_address):
    r"""Send the heartbeat of a target to its agent."""
    target = simulation.targets[node_address]
    if not disturbance(simulation, target).down:
        presence.PRESENCE.process(target.agent_state, targets.Heartbeat(
            0, 'i', 'service', 1, next(target.heartbeat_numbers),
            simulation.scenario.slots, False, 0), simulation.clock)
    if simulation.now < simulation.end_ms + simulation.scenario.limit_ms:
        simulation.after(
            HEARTBEAT_MS, send_heartbeat, simulation, node_address)


def receive_at_target(simulation, node_address, segment):
    r"""Process a packet at a target: answer an opening, queue a request."""
    target = simulation.targets[node_address]
    if disturbance(simulation, target).down:
        return
    if segment.opening:
        full = len(target.queued) >= simulation.scenario.queue_length
        if not full:
            flow_counting.count_open(simulation, node_address, segment.flow)
        opened = segments.Segment(
            segment.flow, True, False, False, full, 0, segment,
            sequence=target.first_sequence)
        if not full:
            opened.datagram = opened
        simulation.receive_from_target(node_address, opened)
    elif segment.data_bytes and segments.is_in_window(
            segment.acknowledged, target.first_sequence):
        connection = simulation.connection_by_flow.get(segment.flow)
        if connection is not None and not connection.is_new(segment):
            return
        if connection is not None and (
                len(target.queued) >= simulation.scenario.queue_length):
            answer(simulation, node_address, segment.flow, SHED_BYTES)
            return
        target.queued.append(segment.flow)
        start_queued(simulation, node_address)
    elif segment.closing and (
            segment.flow not in simulation.connection_by_flow):
        simulation.receive_from_target(node_address, segments.Segment(
            segment.flow, False, True, False, False, 0, segment))


def start_queued(simulation, node_address):
    r"""Start queued requests while slots are free."""
    target = simulation.targets[node_address]
    while target.queued and target.running < simulation.scenario.slots:
        target.running += 1
        flow = target.queued.popleft()
        connection = simulation.connection_by_flow.get(flow)
        disturbed = disturbance(simulation, target)
        mean = target.service_factor * disturbed.slowness * (
            simulation.scenario.service_ms if connection is None
            else connection.kind.service_ms)
        request = simulation.request_by_flow.get(flow)
        work = getattr(request, 'work', None)
        if work is None:
            work = draw_work(simulation.scenario, simulation.random)
        answer_bytes = ANSWER_BYTES
        if disturbed.mute_share and (
                simulation.random.random() < disturbed.mute_share):
            answer_bytes = 0
        elif disturbed.error_share and (
                simulation.random.random() < disturbed.error_share):
            answer_bytes = ERROR_BYTES
            work *= ERROR_TIME_PART
        simulation.after(
            mean * work, finish_request, simulation, node_address, flow,
            answer_bytes)


def finish_request(simulation, node_address, flow, answer_bytes):
    r"""Answer a request, if at all, and start the next queued ones."""
    target = simulation.targets[node_address]
    target.running -= 1
    start_queued(simulation, node_address)
    if node_address in simulation.lost_agents:
        return
    if answer_bytes and not disturbance(simulation, target).down:
        answer(simulation, node_address, flow, answer_bytes)


def answer(simulation, node_address, flow, data_bytes):
    r"""Send an answer; a target closes the flows of single requests."""
    closing = flow not in simulation.connection_by_flow and (
        simulation.scenario.requests_per_flow == 1)
    segment = segments.Segment(
        flow, False, closing, False, False, data_bytes, None)
    segment.datagram = segment
    simulation.receive_from_target(node_address, segment)
