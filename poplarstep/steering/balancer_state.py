r"""State of a balancer of opaque flows."""

from poplarstep.core import histogram


class Tracked:
    r"""What a balancer remembers of one flow.

    Parameters
    ==========

    agent : Address or None
        The agent that holds the flow; None while it is offered or sought.
    opening : bytes
        Opening packet that is being offered, or no bytes.
    tried : tuple of int
        Numbers of the targets that did not take it.
    offered_to : Target or None
        Target whose agent has not answered yet.
    may_be_open : bool
        A target may have taken the flow without this balancer's knowledge,
        so it must not be reset.
    opened_at : int or None
        When the opening packet arrived, in ms, until an agent takes it.
    """

    __slots__ = (
        'agent', 'opening', 'tried', 'offered_to', 'offered_at', 'offers',
        'service', 'priority', 'deadline', 'last_used', 'finds', 'waits',
        'reports', 'may_be_open', 'queue_until', 'opened_at')

    def __init__(self, now):
        self.agent = None
        self.opening = b''
        self.tried = ()
        self.offered_to = None
        self.offered_at = 0
        self.offers = 0
        self.service = 0
        self.priority = 0
        self.deadline = 0
        self.last_used = now
        self.finds = 0
        self.waits = False
        self.reports = {}
        self.may_be_open = False
        self.queue_until = 0
        self.opened_at = None


class SteeringCounters:
    r"""Counts of events since the balancer started."""

    __slots__ = (
        'packets', 'carried', 'openings', 'offers', 'held', 'not_taken',
        'silent_offers', 'finds', 'strays', 'unknown_route', 'reset_flows',
        'no_target', 'unconfirmed', 'table_full', 'outdated', 'pauses',
        'parked')

    def __init__(self):
        for name in self.__slots__:
            setattr(self, name, 0)


class SteeringState:
    r"""State of the stage; build it with ``make_steering``."""

    __slots__ = (
        'catalogue', 'confirmed', 'placement', 'random', 'tracked_by_flow',
        'offering', 'parked', 'counters', 'sweep_due', 'ticked_at',
        'resumed_at', 'opening_ms')

    def __init__(self, catalogue, confirmed, placed, random):
        self.catalogue = catalogue
        self.confirmed = confirmed
        self.placement = placed
        self.random = random
        self.tracked_by_flow = {}
        self.offering = {}
        self.parked = {}
        self.counters = SteeringCounters()
        self.sweep_due = 0
        self.ticked_at = None
        self.resumed_at = None
        self.opening_ms = histogram.Histogram()


def make_steering(catalogue, confirmed, placed, random):
    r"""Return the state of a balancer that knows no flow.

    Parameters
    ==========

    catalogue : Catalogue
        Configuration copy of this node.
    confirmed : callable
        Takes ``now`` and returns whether the configuration may be used.
    placed : Placement
        Chooses targets.
    random : random.Random
        Draws the service of a route with several shares.
    """
    return SteeringState(catalogue, confirmed, placed, random)
