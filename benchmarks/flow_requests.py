r"""Callers that keep flows open for many requests, in the flow simulation.

Explanation
===========

Each stream has callers with a number of connections, which are opened before
the first request. A request takes an idle connection or waits for one. Its
packet is retransmitted after 200 ms, doubled up to 1.6 s, until the timeout;
then the caller abandons the connection and opens another one. A target whose
queue is full sheds a request: it answers that the request did not run. The
caller then retries it on a new flow, at most twice.

``python -m benchmarks.flow_requests`` prints a row for each load, stream and
value of the setting ``request-queue``.
"""

import collections
import random

import click
import tabulate

from benchmarks import flow_callers
from benchmarks import flow_model
from benchmarks import flow_scenario
from benchmarks import flow_targets
from poplarstep.core import address
from poplarstep.opaque_flows import segment as segments

REQUEST_BYTES = 300
HEADER_BYTES = 34
FIRST_RETRANSMIT_MS = 200
LONGEST_RETRANSMIT_MS = 1600
RECONNECT_MS = 200
# Time in which the connections are opened, before the first request.
OPENING_MS = 1000
# Value of a late answer, as part of that of an answer within the objective.
LATE_VALUE = 0.3
PLACEMENT = 'two-choices'

ROSTER = flow_scenario.Kind('roster', 81, 2, 603, 7538, 55.0)
CLAIM = flow_scenario.Kind('claim', 82, 1, 592, 8873, 72.0)
EXTRACT = flow_scenario.Kind('extract', 83, 2, 1554, 15538, 55.0)


class Stream:
    r"""Requests of one kind from callers with the same number of connections.

    Parameters
    ==========

    callers : int
        Number of callers; ``connections`` is the number of each.
    requests_per_s : float
        Mean rate of each caller.
    burst : tuple
        Start and end in ms after the opening time, and factor of the rate.
    first_caller : int
        Number of the first caller; a caller may be part of several streams.
    """

    __slots__ = (
        'name', 'kind', 'callers', 'connections', 'requests_per_s', 'burst',
        'first_caller')

    def __init__(
            self, name, kind, callers, connections, requests_per_s,
            burst=(0, 0, 1.0), first_caller=1):
        self.name = name
        self.kind = kind
        self.callers = callers
        self.connections = connections
        self.requests_per_s = requests_per_s
        self.burst = burst
        self.first_caller = first_caller


class Packet(segments.Segment):
    r"""A packet of a caller; stands for its own datagram in the model."""

    __slots__ = ()

    def __len__(self):
        return HEADER_BYTES + self.data_bytes


class Caller:
    r"""A caller: its idle connections, waiting requests, and outcome."""

    __slots__ = ('simulation', 'stream', 'ip', 'idle', 'waiting', 'outcome')

    def __init__(self, simulation, stream, ip, outcome):
        self.simulation = simulation
        self.stream = stream
        self.ip = ip
        self.idle = collections.deque()
        self.waiting = collections.deque()
        self.outcome = outcome

    def start(self):
        r"""Open the connections and schedule the first request."""
        for _ in range(self.stream.connections):
            self.simulation.after(
                self.simulation.random.random() * OPENING_MS / 2, self.connect)
        self.simulation.after(OPENING_MS, self.schedule_request)

    def connect(self):
        r"""Open a connection."""
        connection = Connection(self)
        self.simulation.connection_by_flow[connection.flow] = connection
        for number, delay_ms in enumerate(
                (0,) + flow_callers.RETRANSMIT_DELAYS_MS):
            self.simulation.after(
                delay_ms, connection.send_opening, number > 0)
        self.simulation.after(
            flow_callers.OPEN_TIMEOUT_MS, connection.expire_opening)

    def schedule_request(self):
        r"""Schedule the next request, by the rate at present."""
        simulation = self.simulation
        start_ms, end_ms, factor = self.stream.burst
        elapsed_ms = simulation.now - OPENING_MS
        rate = self.stream.requests_per_s * (
            factor if start_ms <= elapsed_ms < end_ms else 1.0)
        gap_ms = simulation.random.expovariate(rate / 1000)
        if simulation.now + gap_ms < simulation.end_ms:
            simulation.after(gap_ms, self.start_request)

    def start_request(self):
        r"""Send a request on an idle connection, or let it wait for one."""
        self.outcome.requests += 1
        request = flow_callers.Request(self.simulation.now)
        self.waiting.append(request)
        self.simulation.after(
            self.stream.kind.timeout_ms, self.expire_request, request)
        self.send_waiting()
        self.schedule_request()

    def send_waiting(self):
        r"""Send waiting requests while connections are idle."""
        while self.waiting and self.idle:
            self.idle.popleft().send(self.waiting.popleft())

    def expire_request(self, request):
        r"""End a request whose timeout has passed."""
        if request.opened:
            return
        request.opened = True
        self.outcome.lost += 1
        if request in self.waiting:
            self.waiting.remove(request)
        else:
            request.flow.abandon()


class Connection:
    r"""One open flow of a caller.

    ``request`` is the request in progress; its ``opened`` tells that it has
    ended. ``sequence`` is the position of the next request; the target has
    received all before ``received``.
    """

    __slots__ = (
        'caller', 'kind', 'flow', 'balancer', 'is_open', 'sequence',
        'received', 'request')

    def __init__(self, caller):
        simulation = caller.simulation
        self.caller = caller
        self.kind = caller.stream.kind
        self.flow = segments.flow_key(
            address.Address(caller.ip, next(simulation.ports)),
            self.kind.route_address())
        self.balancer = simulation.random.choice(list(simulation.balancers))
        self.is_open = False
        self.sequence = 0
        self.received = 0
        self.request = None

    def send_opening(self, retransmitted):
        r"""Send the opening packet unless the flow has opened."""
        if not self.is_open and self.is_current():
            self._send(opening=True, repeated=retransmitted)

    def expire_opening(self):
        r"""Open another flow if this one has not opened in time."""
        if not self.is_open and self.is_current():
            self.abandon()

    def is_current(self):
        r"""Return whether the caller still uses this flow."""
        return self.flow in self.caller.simulation.connection_by_flow

    def abandon(self):
        r"""Close this flow and open another one."""
        self._send(closing=True)
        del self.caller.simulation.connection_by_flow[self.flow]
        self.caller.connect()

    def refuse(self):
        r"""Open another flow a little after this one was refused."""
        simulation = self.caller.simulation
        del simulation.connection_by_flow[self.flow]
        simulation.after(RECONNECT_MS, self.caller.connect)

    def send(self, request):
        r"""Send a request."""
        self.request = request
        request.flow = self
        self._transmit(request, FIRST_RETRANSMIT_MS)

    def _transmit(self, request, interval_ms):
        if request.opened or self.request is not request:
            return
        self._send(data_bytes=REQUEST_BYTES)
        self.caller.simulation.after(
            interval_ms, self._transmit, request,
            min(LONGEST_RETRANSMIT_MS, 2 * interval_ms))

    def _send(self, opening=False, repeated=False, closing=False,
              data_bytes=0):
        simulation = self.caller.simulation
        simulation.after(
            simulation.scenario.caller_delay_ms,
            simulation.receive_from_caller, self.balancer,
            Packet(
                self.flow, opening, closing, False, False, data_bytes, None,
                repeated, self.sequence))

    def is_new(self, segment):
        r"""Return whether a packet of a request is not a copy, at the target.

        The target keeps the position up to which it has received the flow.
        """
        if segment.sequence < self.received:
            return False
        self.received = segment.sequence + segment.data_bytes
        return True

    def receive(self, segment):
        r"""Process a packet of the target at the caller."""
        if segment.data_bytes:
            self._end_request(segment.data_bytes == flow_targets.SHED_BYTES)
        elif not self.is_open:
            self.is_open = True
            self._become_idle()

    def _end_request(self, was_shed):
        request, self.request = self.request, None
        if request is None:
            return
        self.sequence += REQUEST_BYTES
        request.attempts += 1
        if was_shed and request.attempts <= flow_callers.MAX_RETRIES:
            self.caller.waiting.appendleft(request)
            self.abandon()
            return
        request.opened = True
        outcome = self.caller.outcome
        if was_shed:
            outcome.refused += 1
        else:
            outcome.latencies_ms.append(
                self.caller.simulation.now - request.started_at)
        self._become_idle()

    def _become_idle(self):
        self.caller.idle.append(self)
        self.caller.send_waiting()


def make_scenario(service_factors, streams, request_queue):
    r"""Return a scenario whose load are streams of requests."""
    kinds = {stream.kind.name: stream.kind for stream in streams}
    return flow_scenario.Scenario(
        service_factors, 2, 0.0, 55.0, 600,
        max(kind.timeout_ms for kind in kinds.values()), 3.0, balancers=3,
        kinds=tuple(kinds.values()), request_queue=request_queue)


LOADS = {
    'burst of one kind': ((0.9, 0.9, 0.9), (
        Stream('claim', CLAIM, 2, 12, 9.0),
        Stream('roster', ROSTER, 20, 8, 2.6, (2000, 6000, 2.6), 11))),
    'a caller with many connections': ((1.0, 1.0), (
        Stream('many', ROSTER, 1, 60, 55.0, (2000, 6000, 2.0)),
        Stream('few', ROSTER, 6, 2, 2.0, first_caller=11))),
    'two objectives': ((1.0, 1.0), (
        Stream('roster', ROSTER, 10, 8, 2.0, (2000, 3500, 2.6)),
        Stream('extract', EXTRACT, 10, 8, 3.6, (2000, 3500, 2.6)))),
}


def measure(load, request_queue, seed, seconds):
    r"""Return the outcomes of a load by stream."""
    factors, streams = LOADS[load]
    simulation = flow_model.Simulation(
        make_scenario(factors, streams, request_queue), random.Random(seed),
        PLACEMENT)
    outcomes = {stream.name: flow_scenario.Outcome() for stream in streams}
    for stream in streams:
        for number in range(stream.callers):
            Caller(simulation, stream,
                   '100.65.0.%d' % (stream.first_caller + number),
                   outcomes[stream.name]).start()
    simulation.run(OPENING_MS + seconds * 1000)
    return outcomes


def row(stream, outcome):
    r"""Return the figures of a stream."""
    in_aim = outcome.share_within(stream.kind.objective_ms)
    answered = outcome.share_within(stream.kind.timeout_ms)
    return (
        stream.name, outcome.requests,
        in_aim + LATE_VALUE * (answered - in_aim), in_aim, answered,
        outcome.quantile(0.5), outcome.quantile(0.99),
        outcome.refused / outcome.requests, outcome.lost / outcome.requests)


@click.command()
@click.option('--seconds', default=12, help='Simulated time of a run.')
@click.option('--seed', default=1, help='Seed of the runs.')
def main(seconds, seed):
    r"""Print a row for each load, stream and value of the setting."""
    rows = []
    for load, (_, streams) in LOADS.items():
        for setting in ('off', 'fair'):
            outcomes = measure(load, setting, seed, seconds)
            for stream in streams:
                rows.append(
                    (load, setting, *row(stream, outcomes[stream.name])))
    click.echo(tabulate.tabulate(rows, headers=(
        'load', 'queue', 'stream', 'requests', 'value', 'in aim', 'answered',
        'p50 ms', 'p99 ms', 'shed', 'lost'), floatfmt='.3f'))


if __name__ == '__main__':
    main()
