r"""Seeded model of callers, balancers, agents and targets of opaque flows.

Explanation
===========

The stages of ``poplarstep.opaque_flows`` run as they are; network, targets and
callers are events on one simulated clock. A caller opens a flow for each
request, repeats its opening packet after 200 and 600 ms, gives up at its
time limit, and tries again at most twice. A target works on as many requests
as it has slots and queues a few more; a full one returns the opening packet.
"""

import collections
import heapq
import itertools
import math

from poplarstep.configuration import catalogue as catalogues
from poplarstep.configuration import model
from poplarstep.core import address
from poplarstep.core import timer
from poplarstep.opaque_flows import agent
from poplarstep.opaque_flows import agent_state
from poplarstep.opaque_flows import balancer
from poplarstep.opaque_flows import balancer_state
from poplarstep.opaque_flows import message
from poplarstep.opaque_flows import placement
from poplarstep.opaque_flows import presence
from poplarstep.opaque_flows import segment as segments
from poplarstep.opaque_flows import target as targets

PLACE = address.Address('198.18.0.1', 80)
SERVICE = 1
TICK_MS = 20
HEARTBEAT_MS = 800
COPIES_MS = (200, 600)
RETRIES = 2
NODE_HOP_MS = 0.9
TARGET_HOP_MS = 0.2
PROCESSING_MS = 0.2
WORK_SPREAD = 0.5
FIRST_PORT = 1024


class Site:
    r"""Load and hosts of one run.

    Parameters
    ==========

    speeds : tuple of float
        For each target the factor of its work time; above 1 is slower.
    slots : int
        Requests that a target runs at a time.
    per_second : float
        Requests a second.
    work_ms : float
        Mean work on a request at speed 1.
    aim_ms, limit_ms : int
        Objective and time limit of a request.
    caller_ms : float
        One-way delay between callers and the deployment.
    """

    __slots__ = (
        'speeds', 'slots', 'per_second', 'work_ms', 'aim_ms', 'limit_ms',
        'caller_ms', 'balancers', 'queue')

    def __init__(
            self, speeds, slots, per_second, work_ms, aim_ms, limit_ms,
            caller_ms, balancers=9, queue=8):
        self.speeds = speeds
        self.slots = slots
        self.per_second = per_second
        self.work_ms = work_ms
        self.aim_ms = aim_ms
        self.limit_ms = limit_ms
        self.caller_ms = caller_ms
        self.balancers = balancers
        self.queue = queue


class Request:
    r"""One request of a caller over its tries."""

    __slots__ = ('asked_at', 'tries', 'flow', 'balancer', 'opened')

    def __init__(self, asked_at):
        self.asked_at = asked_at
        self.tries = 0
        self.flow = None
        self.balancer = None
        self.opened = False


class Target:
    r"""A target with its agent: running requests and its own queue."""

    __slots__ = ('speed', 'running', 'queued', 'state', 'beats')

    def __init__(self, speed, state):
        self.speed = speed
        self.running = 0
        self.queued = collections.deque()
        self.state = state
        self.beats = itertools.count(1)


class Outcome:
    r"""What callers got.

    ``latencies_ms`` holds those of served requests, ``refused`` counts the
    requests whose last try was reset, ``lost`` those without an answer.
    """

    __slots__ = ('asked', 'latencies_ms', 'refused', 'lost', 'hops')

    def __init__(self):
        self.asked = 0
        self.latencies_ms = []
        self.refused = 0
        self.lost = 0
        self.hops = 0

    def share_in(self, limit_ms):
        r"""Return the share of all requests answered within a limit."""
        served = sum(item <= limit_ms for item in self.latencies_ms)
        return served / max(1, self.asked)

    def quantile(self, share):
        r"""Return a quantile of the latency in ms."""
        ordered = sorted(self.latencies_ms)
        if not ordered:
            return math.nan
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


class World:
    r"""All parts of one run."""

    __slots__ = (
        'site', 'random', 'events', 'order', 'now', 'outcome', 'balancers',
        'targets', 'request_by_flow', 'ports', 'until')

    def __init__(self, site, generator, placement_name):
        self.site = site
        self.random = generator
        self.events = []
        self.order = itertools.count()
        self.now = 0.0
        self.until = 0.0
        self.outcome = Outcome()
        self.request_by_flow = {}
        self.ports = itertools.count(FIRST_PORT)
        catalogue = make_catalogue(site)
        self.balancers = {
            address.Address('10.1.0.%d' % number, 1):
            balancer_state.make_flow_balancer(
                catalogue, lambda now: True,
                placement.make_placement(placement_name, generator),
                generator)
            for number in range(site.balancers)}
        self.targets = {
            agent_place(number): Target(speed, agent_state.make_flow_agent({
                'node': 'side-%d' % number, 'data-centre': 'one',
                'agent-address': agent_place(number), 'target-fresh': 1900,
                'flow-limit': 0, 'cold-factor': 1.0, 'cold-slack': 1.0,
            }, catalogue, 1, 0))
            for number, speed in enumerate(site.speeds)}

    def after(self, delay_ms, function, *arguments):
        r"""Call a function later."""
        heapq.heappush(self.events, (
            self.now + delay_ms, next(self.order), function, arguments))

    def run(self, duration_ms):
        r"""Play requests for a while and wait for their ends."""
        self.until = duration_ms
        for place in self.targets:
            self.after(0, beat, self, place)
        for place in [*self.targets, *self.balancers]:
            self.after(self.random.random() * TICK_MS, tick, self, place)
        self.after(0, arrive, self)
        while self.events:
            self.now, _, function, arguments = heapq.heappop(self.events)
            function(*arguments)
        return self.outcome

    @property
    def clock(self):
        r"""Return the time as nodes see it, in whole ms."""
        return int(self.now)


def agent_place(number):
    r"""Return the address of an agent."""
    return address.Address('10.2.%d.%d' % divmod(number, 256), 1)


def make_catalogue(site):
    r"""Return the configuration of a run."""
    catalogue = catalogues.Catalogue()
    bodies = [
        model.Service('service', SERVICE, None, 0, 1000, (), 1, 0.0),
        model.DataCentre('one', 1, False, 1),
        model.Policy(1, 15_000, 1),
        model.Route('route', 1, PLACE, True, 1, site.limit_ms, site.aim_ms,
                    (model.Share(SERVICE, 1),), 1),
    ] + [
        model.Target('side-%d' % number, number, SERVICE, 1,
                     agent_place(number), 1, 1, site.slots, 1, False, False,
                     1)
        for number in range(len(site.speeds))]
    catalogue.apply([model.Change(1, body) for body in bodies])
    return catalogue


def beat(world, place):
    r"""Let a target send its heartbeat."""
    held = world.targets[place]
    presence.PRESENCE.process(held.state, targets.Heartbeat(
        0, 'i', 'service', 1, next(held.beats), world.site.slots, False, 0),
        world.clock)
    if world.now < world.until + world.site.limit_ms:
        world.after(HEARTBEAT_MS, beat, world, place)


def tick(world, place):
    r"""Give a node its tick."""
    if place in world.targets:
        effects = agent.AGENT.process(
            world.targets[place].state, timer.Tick(agent.TICK), world.clock)
    else:
        effects = balancer.BALANCER.process(
            world.balancers[place], timer.Tick(balancer.TICK), world.clock)
    carry_out(world, place, effects)
    if world.now < world.until + world.site.limit_ms:
        world.after(TICK_MS, tick, world, place)


def arrive(world):
    r"""Start a request, and plan the next one."""
    world.outcome.asked += 1
    request = Request(world.now)
    attempt(world, request)
    world.after(world.site.limit_ms, give_up, world, request)
    gap_ms = world.random.expovariate(world.site.per_second / 1000)
    if world.now + gap_ms < world.until:
        world.after(gap_ms, arrive, world)


def attempt(world, request):
    r"""Open a flow for a request."""
    request.tries += 1
    port = next(world.ports)
    request.flow = segments.flow_key(address.Address(
        '100.64.%d.1' % (port // 60_000), 1 + port % 60_000), PLACE)
    request.balancer = world.random.choice(list(world.balancers))
    world.request_by_flow[request.flow] = request
    for number, delay_ms in enumerate((0,) + COPIES_MS):
        world.after(delay_ms, send_opening, world, request, request.flow,
                    number > 0)


def send_opening(world, request, flow, repeated):
    r"""Send one copy of an opening packet while the flow is not open."""
    if request.flow != flow or request.opened:
        return
    world.after(world.site.caller_ms, from_caller, world, request.balancer,
                segments.Segment(flow, True, False, False, False, 0, None,
                                 repeated))


def give_up(world, request):
    r"""End a request whose time limit has passed."""
    if request.flow is not None:
        world.outcome.lost += 1
        world.request_by_flow.pop(request.flow, None)
        request.flow = None


def from_caller(world, place, segment):
    r"""Hand a caller's packet to a balancer."""
    segment.datagram = segment
    carry_out(world, place, balancer.BALANCER.process(
        world.balancers[place], message.FromCaller(segment), world.clock))


def from_node(world, source, place, item):
    r"""Hand a message to a node."""
    world.outcome.hops += 1
    event = message.FromNode(source, item)
    if place in world.targets:
        effects = agent.AGENT.process(
            world.targets[place].state, event, world.clock)
    else:
        effects = balancer.BALANCER.process(
            world.balancers[place], event, world.clock)
    carry_out(world, place, effects)


def carry_out(world, place, effects):
    r"""Carry out the effects of a node."""
    for item in effects:
        kind = type(item)
        if kind is message.ToNode:
            world.after(NODE_HOP_MS + PROCESSING_MS, from_node, world, place,
                        item.destination, item.message)
        elif kind is message.ToTarget:
            world.after(TARGET_HOP_MS, at_target, world, place,
                        item.datagram)
        elif kind is message.ToCaller:
            world.after(world.site.caller_ms, at_caller, world,
                        item.datagram)
        elif kind is message.ResetFlow:
            world.after(world.site.caller_ms, reset, world, item.flow)


def at_target(world, place, segment):
    r"""Let a target take a packet."""
    held = world.targets[place]
    if segment.opening:
        full = len(held.queued) >= world.site.queue
        answer(world, place, segments.Segment(
            segment.flow, True, False, False, full, 0, segment))
    elif segment.data_bytes:
        held.queued.append(segment.flow)
        start_work(world, place)


def start_work(world, place):
    r"""Start queued requests while slots are free."""
    held = world.targets[place]
    while held.queued and held.running < world.site.slots:
        held.running += 1
        flow = held.queued.popleft()
        mean = world.site.work_ms * held.speed
        work_ms = mean * world.random.lognormvariate(
            -WORK_SPREAD ** 2 / 2, WORK_SPREAD)
        world.after(work_ms, end_work, world, place, flow)


def end_work(world, place, flow):
    r"""Answer a request and start the next one."""
    world.targets[place].running -= 1
    start_work(world, place)
    segment = segments.Segment(flow, False, True, False, False, 2000, None)
    segment.datagram = segment
    answer(world, place, segment)


def answer(world, place, segment):
    r"""Hand a target's packet to its agent."""
    carry_out(world, place, agent.AGENT.process(
        world.targets[place].state, message.FromTarget(segment),
        world.clock))


def at_caller(world, segment):
    r"""Let a caller take a packet: send the request, or note the answer."""
    request = world.request_by_flow.get(segment.flow)
    if request is None:
        return
    if not segment.data_bytes:
        if not request.opened:
            request.opened = True
            world.after(
                world.site.caller_ms, from_caller, world, request.balancer,
                segments.Segment(
                    request.flow, False, False, False, False, 300, None))
        return
    world.outcome.latencies_ms.append(world.now - request.asked_at)
    del world.request_by_flow[segment.flow]
    request.flow = None


def reset(world, flow):
    r"""Let a caller try again, or give up."""
    request = world.request_by_flow.pop(flow, None)
    if request is None or request.opened:
        return
    if request.tries > RETRIES:
        world.outcome.refused += 1
        request.flow = None
        return
    attempt(world, request)
