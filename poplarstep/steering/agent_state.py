r"""State of an agent that guards the target beside it."""

import collections

from poplarstep.core import histogram
from poplarstep.steering import occupancy
from poplarstep.steering import segment as segments

DEFAULT_IDLE_MS = 15_000
NANOSECONDS_PER_MILLISECOND = 1_000_000


class Flow:
    r"""A flow of the target beside this agent.

    ``balancer`` sent its latest packet; ``confirmed`` tells a flow that the
    target has answered from one that it may not know. ``sequence`` is the
    first number of the target's bytes, when its answer has told it.
    """

    __slots__ = (
        'balancer', 'opening', 'confirmed', 'ended_at', 'last_used',
        'sequence')

    def __init__(self, balancer, opening, now):
        self.balancer = balancer
        self.opening = opening
        self.confirmed = False
        self.ended_at = None
        self.last_used = now
        self.sequence = segments.NO_NUMBER


class Waiting:
    r"""An opening packet in the queue of an agent; times in ms."""

    __slots__ = ('balancer', 'offer', 'queued_at', 'deadline')

    def __init__(self, balancer, offer, queued_at):
        self.balancer = balancer
        self.offer = offer
        self.queued_at = queued_at
        self.deadline = queued_at + offer.patience_ms


class HoldCounters:
    r"""Counts of events since the agent started."""

    __slots__ = (
        'offers', 'taken', 'queued', 'disowned', 'not_taken', 'carried',
        'found', 'passed_unsure', 'returned', 'expired_waiting',
        'heartbeats', 'outdated_heartbeats', 'restarts', 'to_caller')

    def __init__(self):
        for name in self.__slots__:
            setattr(self, name, 0)


class HoldState:
    r"""State of both stages; build it with ``make_hold``."""

    __slots__ = (
        'node', 'data_centre', 'address', 'incarnation', 'revision',
        'catalogue', 'fresh_ms', 'flow_limit_ms', 'cold_factor',
        'cold_slack', 'started_at', 'target', 'flow_by_key', 'occupancy',
        'queue_by_priority', 'waiting', 'cold_starts', 'leaving', 'gone',
        'announced', 'was_out', 'returned_at', 'started_unix_ms',
        'counters', 'sweep_due', 'queue_ms')

    def __init__(self, settings, catalogue, incarnation, now):
        self.node = settings['node']
        self.data_centre = settings['data-centre']
        self.address = settings['agent-address']
        self.fresh_ms = settings['target-fresh']
        self.flow_limit_ms = settings['flow-limit']
        self.cold_factor = settings['cold-factor']
        self.cold_slack = settings['cold-slack']
        self.catalogue = catalogue
        self.incarnation = incarnation
        self.started_unix_ms = incarnation // NANOSECONDS_PER_MILLISECOND
        self.revision = 0
        self.started_at = now
        self.target = None
        self.flow_by_key = {}
        self.occupancy = occupancy.Occupancy()
        self.queue_by_priority = {}
        self.waiting = 0
        self.cold_starts = collections.deque()
        self.leaving = False
        self.gone = False
        self.announced = None
        self.was_out = False
        self.returned_at = None
        self.counters = HoldCounters()
        self.queue_ms = histogram.Histogram()
        self.sweep_due = 0


def make_hold(settings, catalogue, incarnation, now):
    r"""Return the state of an agent that has not heard its target."""
    return HoldState(settings, catalogue, incarnation, now)


def is_out(state):
    r"""Return whether the data centre of this agent is out of service."""
    centre = state.catalogue.data_centre_by_name.get(state.data_centre)
    return centre is not None and centre.out


def slots(state):
    r"""Return how many requests the target runs at a time, at least 1."""
    return max(1, state.target.slots) if state.target else 1


def load(state):
    r"""Return the ``Load`` that answers to balancers carry."""
    return state.occupancy.load(state.waiting, slots(state))
