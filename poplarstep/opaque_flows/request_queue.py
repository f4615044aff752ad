r"""Waiting new flows and held requests of an agent, and their order.

Explanation
===========

A target serves its own queue first come, first served, and sheds requests when
that queue is full. During a burst, a request of low priority that came early
then delays an urgent one, and a caller with many connections takes the slots
of callers with few. The agent therefore keeps what the target can't run yet:
new flows (``QueuedOffer``) and further requests of open flows
(``HeldRequest``). An order chooses the entry that starts next; orders are
kept in the registry ``ORDERS``.
"""

import collections
import heapq

from poplarstep.core import histogram
from poplarstep.core import registry
from poplarstep.opaque_flows import segment as segments

# Orders by the value of the setting ``request-queue``.
ORDER_BY_SETTING = {'off': 'arrival', 'fair': 'fair'}
ORDERS = registry.Registry('order of waiting requests')

MAXIMUM_HELD_PACKETS = 256
MAXIMUM_HELD_BYTES = 262_144
# A flow key starts with the IP address of the caller.
CALLER_BYTES = 4
# A started request counts against its caller for this many objectives of its
# route. Within it a target starts several requests of each busy caller, and
# requests that wait for longer are late.
RECENT_OBJECTIVES = 4
MAXIMUM_RECENT_STARTS = 4096
# Half of the range of sequence numbers, which wrap around.
SEQUENCE_HALF = segments.SEQUENCE_MODULUS // 2


class QueuedOffer:
    r"""A new flow that waits for a slot; times in ms.

    Parameters
    ==========

    deadline : int
        When the flow is rejected: its answer would come too late.
    due_at : int
        End of the objective of the flow's request.
    yields_until : int
        The deadline, see ``HeldRequest``.
    """

    __slots__ = (
        'balancer', 'offer', 'queued_at', 'deadline', 'caller', 'priority',
        'due_at', 'yields_until')

    def __init__(self, balancer, offer, queued_at, due_at):
        self.balancer = balancer
        self.offer = offer
        self.queued_at = queued_at
        self.deadline = queued_at + offer.wait_limit_ms
        self.yields_until = self.deadline
        self.caller = caller_of(offer.flow)
        self.priority = offer.priority
        self.due_at = due_at


class HeldRequest:
    r"""A request of an open flow that waits for a slot; times in ms.

    Parameters
    ==========

    balancer : Address
        The balancer that sent the latest packet.
    packets : list of FlowPacket
        The packets of the request, in order of arrival.
    deadline : int
        When the caller's timeout has passed.
    due_at : int
        End of the objective of the request.
    yields_until : int
        Until when a late request lets others go first: one objective before
        the deadline.
    """

    __slots__ = (
        'flow', 'caller', 'priority', 'balancer', 'queued_at', 'due_at',
        'deadline', 'yields_until', 'packets')

    def __init__(self, route, balancer, packet, now):
        self.flow = packet.flow
        self.caller = caller_of(packet.flow)
        self.priority = route.priority
        self.balancer = balancer
        self.queued_at = now
        self.due_at = now + objective_ms(route)
        self.deadline = now + route.timeout_ms
        self.yields_until = self.deadline - objective_ms(route)
        self.packets = [packet]


class RequestQueue:
    r"""Entries that wait for a slot of the target.

    Parameters
    ==========

    order : object
        Entry of ``ORDERS``: ``choose`` returns the next entry, ``started``
        records a start.
    offer_by_flow, held_by_flow : dict
        Waiting entries by flow, in order of arrival.
    holds_requests : bool
        Whether requests of open flows are held.
    packet_count, byte_count : int
        Held packets and their bytes.
    quiet_at : int or None
        When the end of a phase of holding is logged, in ms; None between
        such phases.
    held_ms : Histogram
        Waits of held requests.
    """

    __slots__ = (
        'order', 'offer_by_flow', 'held_by_flow', 'holds_requests',
        'packet_count', 'byte_count', 'quiet_at', 'held_ms')

    def __init__(self, setting):
        self.order = ORDERS.find(ORDER_BY_SETTING[setting]).unwrap()()
        self.holds_requests = setting != 'off'
        self.offer_by_flow = {}
        self.held_by_flow = {}
        self.packet_count = 0
        self.byte_count = 0
        self.quiet_at = None
        self.held_ms = histogram.Histogram()

    def __len__(self):
        return len(self.offer_by_flow) + len(self.held_by_flow)

    def add_offer(self, entry):
        r"""Add a new flow; a later offer of the flow replaces the former."""
        self.offer_by_flow[entry.offer.flow] = entry

    def remove_offer(self, flow):
        r"""Remove a new flow; return its entry, or None."""
        return self.offer_by_flow.pop(flow, None)

    def hold(self, entry):
        r"""Add a request with its first packet."""
        self.held_by_flow[entry.flow] = entry
        self._count(entry.packets[0], 1)

    def has_room(self, packet):
        r"""Return whether one more packet may be held."""
        return (
            self.packet_count < MAXIMUM_HELD_PACKETS
            and self.byte_count + len(packet.datagram) <= MAXIMUM_HELD_BYTES)

    def append(self, entry, packet):
        r"""Add a later packet to a held request."""
        entry.packets.append(packet)
        self._count(packet, 1)

    def replace_copy(self, entry, packet):
        r"""Replace the held packet that a packet copies, if there is one.

        Returns whether there is one. Packets of a format without sequence
        numbers are compared by their bytes.
        """
        for position, held in enumerate(entry.packets):
            if is_copy(held, packet):
                self._count(held, -1)
                self._count(packet, 1)
                entry.packets[position] = packet
                return True
        return False

    def remove_held(self, flow):
        r"""Remove the held request of a flow; return it, or None."""
        entry = self.held_by_flow.pop(flow, None)
        if entry is not None:
            for packet in entry.packets:
                self._count(packet, -1)
        return entry

    def count_ahead(self, priority):
        r"""Return how many entries start before a new one of a priority."""
        return sum(
            entry.priority <= priority
            for entries in (self.offer_by_flow, self.held_by_flow)
            for entry in entries.values())

    def take(self, service_ms, now):
        r"""Remove and return the entry that starts next."""
        entry = self.order.choose(
            self.offer_by_flow, self.held_by_flow, service_ms, now)
        if type(entry) is HeldRequest:
            return self.remove_held(entry.flow)
        return self.remove_offer(entry.offer.flow)

    def _count(self, packet, sign):
        self.packet_count += sign
        self.byte_count += sign * len(packet.datagram)


def make_request_queue(setting) -> RequestQueue:
    r"""Return an empty queue for a value of the setting."""
    return RequestQueue(setting)


def caller_of(flow):
    r"""Return the bytes of a caller's address, without the port."""
    return flow[:CALLER_BYTES]


def objective_ms(route):
    r"""Return the objective of a route, or its timeout if it has none."""
    return route.objective_ms or route.timeout_ms


def is_after(sequence, former):
    r"""Return whether a sequence number follows a former one.

    True if either number is unknown.

    Examples
    ========

    >>> is_after(1200, 0), is_after(0, 1200), is_after(0, 0)
    (True, False, False)
    >>> is_after(5, segments.SEQUENCE_MODULUS - 9), is_after(-1, 0)
    (True, True)

    """
    if segments.NO_SEQUENCE_NUMBER in (sequence, former):
        return True
    return 0 < (sequence - former) % segments.SEQUENCE_MODULUS < SEQUENCE_HALF


def is_copy(held, packet):
    r"""Return whether a packet is a retransmission of a held one."""
    if packet.sequence == segments.NO_SEQUENCE_NUMBER:
        return held.datagram == packet.datagram
    return (
        held.sequence == packet.sequence and held.has_data == packet.has_data)


@ORDERS.register('arrival')
class ArrivalOrder:
    r"""By priority; entries of the same priority in order of arrival."""

    __slots__ = ()

    def choose(self, offer_by_flow, held_by_flow, service_ms, now):
        r"""Return the entry that starts next."""
        return min(
            (*offer_by_flow.values(), *held_by_flow.values()),
            key=lambda entry: entry.priority)

    def started(self, caller, counts_until, now):
        r"""Ignore a start: the order does not depend on callers."""


@ORDERS.register('fair')
class FairOrder(ArrivalOrder):
    r"""By priority, recent starts of the caller, and remaining time.

    Explanation
    ===========

    Entries that can't be answered within their objective any more come after
    the others of their priority: starting them first would make the others
    late too. They yield until one objective before their timeouts. Entries
    past their deadline come first of all, since they take no slot. While no
    request is held, the order is that of arrival.

    Parameters
    ==========

    starts : list of tuple
        Heap of the recent starts: until when one counts, and the caller.
    starts_by_caller : Counter
        Number of the recent starts of each caller.
    """

    __slots__ = ('starts', 'starts_by_caller')

    def __init__(self):
        self.starts = []
        self.starts_by_caller = collections.Counter()

    def choose(self, offer_by_flow, held_by_flow, service_ms, now):
        r"""Return the entry that starts next."""
        if not held_by_flow:
            return super().choose(offer_by_flow, held_by_flow, service_ms, now)
        self._forget_starts(now)

        def rank(entry):
            return (
                now < entry.deadline, entry.priority,
                now + service_ms > entry.due_at
                and now < entry.yields_until,
                self.starts_by_caller[entry.caller], entry.due_at)
        return min(
            (*offer_by_flow.values(), *held_by_flow.values()), key=rank)

    def started(self, caller, counts_until, now):
        r"""Record that a request of a caller has started."""
        if len(self.starts) >= MAXIMUM_RECENT_STARTS:
            self._forget_starts(now)
        if len(self.starts) >= MAXIMUM_RECENT_STARTS:
            self._forget_first()
        heapq.heappush(self.starts, (counts_until, caller))
        self.starts_by_caller[caller] += 1

    def _forget_starts(self, now):
        while self.starts and self.starts[0][0] <= now:
            self._forget_first()

    def _forget_first(self):
        _, caller = heapq.heappop(self.starts)
        self.starts_by_caller[caller] -= 1
        if not self.starts_by_caller[caller]:
            del self.starts_by_caller[caller]
