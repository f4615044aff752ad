r"""Loads that the simulation of opaque flows plays, and their outcomes."""

import math

from poplarstep.core import address
from poplarstep.core import record

ROUTE_IP = '198.18.0.1'
ROUTE_ADDRESS = address.Address(ROUTE_IP, 80)


class Kind:
    r"""Kind of requests on flows that stay open; each has a route.

    ``port`` is the port of the route's address, ``service_ms`` the mean
    service time at factor 1; the other fields are as in ``Route``.
    """

    __slots__ = (
        'name', 'port', 'priority', 'objective_ms', 'timeout_ms', 'service_ms')

    def __init__(
            self, name, port, priority, objective_ms, timeout_ms, service_ms):
        self.name = name
        self.port = port
        self.priority = priority
        self.objective_ms = objective_ms
        self.timeout_ms = timeout_ms
        self.service_ms = service_ms

    def route_address(self):
        r"""Return the address of the route."""
        return address.Address(ROUTE_IP, self.port)


class Disturbance:
    r"""What goes wrong at some targets for a time.

    Parameters
    ==========

    targets : tuple of int
        Positions of the targets in ``Scenario.service_factors``.
    begin_ms, end_ms : int
        When it begins and ends.
    slowness : float
        Factor of the service time.
    mute_share, error_share : float
        Part of the requests that get no answer, and part of the others that
        get a quick and short one.
    down : bool
        The targets send and receive nothing.
    """

    __slots__ = (
        'targets', 'begin_ms', 'end_ms', 'slowness', 'mute_share',
        'error_share', 'down')

    def __init__(
            self, targets, begin_ms, end_ms, slowness=1.0, mute_share=0.0,
            error_share=0.0, down=False):
        self.targets = targets
        self.begin_ms = begin_ms
        self.end_ms = end_ms
        self.slowness = slowness
        self.mute_share = mute_share
        self.error_share = error_share
        self.down = down


UNDISTURBED = Disturbance((), 0, 0)


class Scenario(record.Record):
    r"""Load and hosts of one run.

    Parameters
    ==========

    service_factors : tuple of float
        Factor of the service time for each target; above 1 is slower.
    slots : int
        Requests that a target runs at a time.
    requests_per_s : float
        Mean request rate.
    service_ms : float
        Mean service time of a request at factor 1.
    objective_ms, limit_ms : int
        Latency objective and time limit of a request.
    caller_delay_ms : float
        One-way delay between callers and the deployment.
    balancers : int
        Number of balancers.
    queue_length : int
        Requests that a target queues.
    confirmed_at_ms : int
        When the balancers, which have just started, get a configuration.
    long_share, long_factor : float
        Part of the requests that take longer, and how many times as long.
    load_seed : int or None
        Seed of the arrivals and of the work of each request, which are then
        the same whatever the nodes decide; None draws them as they happen.
    kinds : tuple of Kind
        Kinds of requests on flows that stay open.
    request_queue : str
        Setting ``request-queue`` of the agents.
    disturbances : tuple of Disturbance
        Of several at one target, the first one applies.
    centres : int
        Data centres, to which the targets and balancers belong in rotation.
        The callers of a data centre use its balancers.
    wave : float
        Amplitude of the demand as a share of its mean.
    wave_period_ms : int
        Period of the demand.
    wave_phases : tuple of float
        Phase of each data centre's demand, as a share of the period.
    burst : tuple
        Start and end in ms, and factor of the demand meanwhile.
    requests_per_flow : int
        Requests that a caller sends on a flow, one after the other.
    pause_ms : int
        Mean time between an answer and the next request of a flow.
    lost_centre_at_ms, centre_out_at_ms : int or None
        When the targets of the first data centre stop without notice, and
        when the data centre is taken out of service.
    centre_back_at_ms : int or None
        When the first data centre, out of service at first, comes back.
    """

    __slots__ = (
        'service_factors', 'slots', 'requests_per_s', 'service_ms',
        'objective_ms', 'limit_ms', 'caller_delay_ms', 'balancers',
        'queue_length', 'confirmed_at_ms', 'long_share', 'long_factor',
        'load_seed', 'kinds', 'request_queue', 'disturbances',
        'centres', 'wave', 'wave_period_ms', 'wave_phases', 'burst',
        'requests_per_flow', 'pause_ms', 'lost_centre_at_ms',
        'centre_out_at_ms', 'centre_back_at_ms')

    def __init__(
            self, service_factors, slots, requests_per_s, service_ms,
            objective_ms, limit_ms, caller_delay_ms, balancers=9,
            queue_length=8, confirmed_at_ms=0, long_share=0.0,
            long_factor=1.0, load_seed=None, kinds=(), request_queue='off',
            disturbances=(), centres=1, wave=0.0, wave_period_ms=1,
            wave_phases=(0.0,), burst=(0, 0, 1.0), requests_per_flow=1,
            pause_ms=0, lost_centre_at_ms=None, centre_out_at_ms=None,
            centre_back_at_ms=None):
        self.kinds = kinds
        self.request_queue = request_queue
        self.disturbances = disturbances
        self.centres = centres
        self.wave = wave
        self.wave_period_ms = wave_period_ms
        self.wave_phases = wave_phases
        self.burst = burst
        self.requests_per_flow = requests_per_flow
        self.pause_ms = pause_ms
        self.lost_centre_at_ms = lost_centre_at_ms
        self.centre_out_at_ms = centre_out_at_ms
        self.centre_back_at_ms = centre_back_at_ms
        self.service_factors = service_factors
        self.slots = slots
        self.requests_per_s = requests_per_s
        self.service_ms = service_ms
        self.objective_ms = objective_ms
        self.limit_ms = limit_ms
        self.caller_delay_ms = caller_delay_ms
        self.balancers = balancers
        self.queue_length = queue_length
        self.confirmed_at_ms = confirmed_at_ms
        self.long_share = long_share
        self.long_factor = long_factor
        self.load_seed = load_seed

    def disturbance(self, target, now):
        r"""Return what disturbs a target at a time in ms."""
        for item in self.disturbances:
            if target in item.targets and item.begin_ms <= now < item.end_ms:
                return item
        return UNDISTURBED

    def burst_factor(self, now):
        r"""Return the factor of new flows, and of requests on open ones."""
        start, end, factor = self.burst
        return factor if start <= now < end else 1.0

    def demand_by_centre(self, now):
        r"""Return the demand of each data centre's callers, 1 on average."""
        return [
            self.burst_factor(now) * (1 + self.wave * math.sin(
                2 * math.pi * (now / self.wave_period_ms + phase)))
            for phase in self.wave_phases]


class Outcome:
    r"""Results of the requests of one run.

    ``latencies_ms`` holds the latencies of the answered requests, ``refused``
    counts the requests whose last attempt was reset, ``lost`` those without
    an answer, ``failed`` the short answers, ``hops`` the messages between
    nodes, and ``extra_opens`` the flows that a second target opened as well.
    ``decisions`` holds ``(time in ms, event, target)`` of each target that a
    balancer avoids or that returns. ``packets`` counts messages with a
    caller's packet to agents, ``crossings`` those to agents in other data
    centres than the balancer's, and ``reports`` load reports.
    """

    __slots__ = (
        'requests', 'latencies_ms', 'refused', 'lost', 'hops', 'extra_opens',
        'failed', 'decisions', 'packets', 'crossings', 'reports')

    def __init__(self):
        self.requests = 0
        self.latencies_ms = []
        self.refused = 0
        self.lost = 0
        self.hops = 0
        self.extra_opens = 0
        self.failed = 0
        self.decisions = []
        self.packets = 0
        self.crossings = 0
        self.reports = 0

    def share_within(self, limit_ms):
        r"""Return the share of all requests answered within a limit."""
        answered = sum(item <= limit_ms for item in self.latencies_ms)
        return answered / max(1, self.requests)

    def quantile(self, share):
        r"""Return a quantile of the latency in ms."""
        ordered = sorted(self.latencies_ms)
        if not ordered:
            return math.nan
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
