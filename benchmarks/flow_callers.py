r"""Callers of single flows in the simulation of opaque flows.

Explanation
===========

A caller opens a flow for each request and retransmits the opening packet
after 200 and 600 ms. When the flow is reset before it has opened, the caller
retries on a new flow, at most twice; at the time limit the request is lost.
If two targets answer an opening packet, the caller uses the first answer and
acknowledges its sequence numbers.
"""

from benchmarks import flow_scenario
from benchmarks import flow_targets
from poplarstep.core import address
from poplarstep.opaque_flows import segment as segments

RETRANSMIT_DELAYS_MS = (200, 600)
# A caller gives up an attempt whose flow has not opened after this time.
OPEN_TIMEOUT_MS = 1400
MAX_RETRIES = 2


class Request:
    r"""One request of a caller, with its flow of the current attempt.

    ``opened_at`` is the address of the first agent whose target has answered
    the opening packet of this flow, ``work`` the service time relative to the
    mean, or None if it is drawn at the target. ``left`` counts the further
    requests of the flow, ``number`` those before.
    """

    __slots__ = (
        'started_at', 'attempts', 'flow', 'balancer', 'opened', 'opened_at',
        'work', 'left', 'number', 'centre', 'acknowledged')

    def __init__(self, started_at, left=0, centre=0):
        self.left = left
        self.number = 0
        self.centre = centre
        self.started_at = started_at
        self.attempts = 0
        self.flow = None
        self.balancer = None
        self.opened = False
        self.opened_at = None
        self.work = None
        self.acknowledged = segments.NO_SEQUENCE_NUMBER


def start_request(simulation):
    r"""Start a request, and schedule the next one."""
    scenario = simulation.scenario
    generator = simulation.load_random
    demands = scenario.demand_by_centre(simulation.now)
    centre = 0
    if scenario.centres > 1:
        centre, = generator.choices(range(scenario.centres), demands)
    request = Request(
        simulation.now, scenario.requests_per_flow - 1, centre)
    if scenario.load_seed is not None:
        request.work = flow_targets.draw_work(scenario, generator)
    count_request(simulation, request)
    open_flow(simulation, request)
    gap_ms = generator.expovariate(
        scenario.requests_per_s / scenario.requests_per_flow
        * sum(demands) / len(demands) / 1000)
    if simulation.now + gap_ms < simulation.end_ms:
        simulation.after(gap_ms, start_request, simulation)


def count_request(simulation, request):
    r"""Count a request and schedule its end."""
    simulation.outcome.requests += 1
    simulation.after(
        simulation.scenario.limit_ms, expire_request, simulation, request,
        request.number)


def open_flow(simulation, request):
    r"""Open a new flow for a request."""
    request.attempts += 1
    request.opened_at = None
    port = next(simulation.ports)
    request.flow = segments.flow_key(
        address.Address(
            '100.64.%d.1' % (port // 60_000), 1 + port % 60_000),
        flow_scenario.ROUTE_ADDRESS)
    request.balancer = simulation.random.choice(
        list(simulation.balancers)[
            request.centre::simulation.scenario.centres])
    simulation.request_by_flow[request.flow] = request
    for number, delay_ms in enumerate((0,) + RETRANSMIT_DELAYS_MS):
        simulation.after(
            delay_ms, send_opening, simulation, request, request.flow,
            number > 0)
    simulation.after(
        OPEN_TIMEOUT_MS, end_attempt, simulation, request, request.flow)


def end_attempt(simulation, request, flow):
    r"""Retry a request whose flow has not opened in time."""
    if request.flow == flow and not request.opened:
        reset_flow(simulation, flow)


def send_opening(simulation, request, flow, retransmitted):
    r"""Send the opening packet unless the flow has opened or changed."""
    if request.flow != flow or request.opened:
        return
    simulation.after(
        simulation.scenario.caller_delay_ms, simulation.receive_from_caller,
        request.balancer, segments.Segment(
            flow, True, False, False, False, 0, None, retransmitted))


def expire_request(simulation, request, number):
    r"""End a request whose time limit has passed, and its flow."""
    if request.flow is not None and request.number == number:
        simulation.outcome.lost += 1
        simulation.request_by_flow.pop(request.flow, None)
        request.flow = None
        if request.left and simulation.now < simulation.end_ms:
            # The caller sends its further requests on a new flow.
            again = Request(simulation.now, request.left - 1, request.centre)
            count_request(simulation, again)
            open_flow(simulation, again)


def receive_at_caller(simulation, segment):
    r"""Process a packet at a caller: send the request, record the answer."""
    if segment.flow in simulation.connection_by_flow:
        simulation.connection_by_flow[segment.flow].receive(segment)
        return
    request = simulation.request_by_flow.get(segment.flow)
    if request is None:
        return
    if not segment.data_bytes:
        if not request.opened:
            request.opened = True
            request.acknowledged = segment.sequence + 1
            send_packet(simulation, request, data_bytes=300)
        return
    if segment.data_bytes < flow_targets.ANSWER_BYTES:
        simulation.outcome.failed += 1
    else:
        simulation.outcome.latencies_ms.append(
            simulation.now - request.started_at)
    if request.left and simulation.now < simulation.end_ms:
        request.left -= 1
        request.number += 1
        simulation.after(
            simulation.random.expovariate(
                simulation.scenario.burst_factor(simulation.now)
                / simulation.scenario.pause_ms),
            send_next_request, simulation, request)
        return
    if simulation.scenario.requests_per_flow > 1:
        send_packet(simulation, request, closing=True)
    del simulation.request_by_flow[segment.flow]
    request.flow = None


def send_next_request(simulation, request):
    r"""Send a further request on an open flow."""
    request.started_at = simulation.now
    count_request(simulation, request)
    send_packet(simulation, request, data_bytes=300)


def send_packet(simulation, request, data_bytes=0, closing=False):
    r"""Send a later packet of a caller's flow."""
    simulation.after(
        simulation.scenario.caller_delay_ms, simulation.receive_from_caller,
        request.balancer, segments.Segment(
            request.flow, False, closing, False, False, data_bytes, None,
            acknowledged=request.acknowledged))


def reset_flow(simulation, flow):
    r"""Retry a request whose flow was reset, or count it as refused."""
    if flow in simulation.connection_by_flow:
        simulation.connection_by_flow[flow].refuse()
    request = simulation.request_by_flow.pop(flow, None)
    if request is None or request.opened:
        return
    if request.attempts > MAX_RETRIES:
        simulation.outcome.refused += 1
        request.flow = None
        return
    open_flow(simulation, request)
