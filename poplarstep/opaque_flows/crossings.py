r"""Stage that counts the packets which a balancer sends to data centres.

Explanation
===========

It follows the stage ``BALANCER`` if the setting ``locality`` prefers the own
data centre, and passes on what it counts. Packets of callers count, whether
they are offered, forwarded or part of a lookup; questions without a packet
do not.
"""

from poplarstep.core import stage
from poplarstep.opaque_flows import message

CROSSINGS = stage.Stage('packets to data centres')


class Traffic:
    r"""Packets and bytes to agents by number of their data centre.

    Parameters
    ==========

    agents : AgentIndex
        Finds the target, and so the data centre, of an agent.
    counters : FlowBalancerCounters
        Hold the sums for the data centres other than the own one.
    centre_name : str
        Name of the balancer's own data centre.
    """

    __slots__ = (
        'catalogue', 'counters', 'centre_name', 'agents', 'packets_by_centre',
        'bytes_by_centre')

    def __init__(self, catalogue, agents, counters, centre_name):
        self.catalogue = catalogue
        self.agents = agents
        self.counters = counters
        self.centre_name = centre_name
        self.packets_by_centre = {}
        self.bytes_by_centre = {}

    def rows(self):
        r"""Return the metrics: ``(name, labels, value)`` for each centre."""
        return [
            (name, {'destination': self._name(number)}, value)
            for name, value_by_centre in (
                ('steering_packets_to', self.packets_by_centre),
                ('steering_bytes_to', self.bytes_by_centre))
            for number, value in value_by_centre.items()]

    def _name(self, number):
        centre = self.catalogue.data_centre_by_number.get(number)
        return str(number) if centre is None else centre.name


@CROSSINGS.handles(message.ToNode)
def to_node(state, event, now):
    r"""Count a packet that is sent to an agent."""
    item = event.message
    if type(item) is message.FlowLookup:
        item = item.packet
    if type(item) not in (message.Offer, message.FlowPacket):
        return [event]
    target = state.agents.target(event.destination)
    if target is None:
        return [event]
    centre = target.data_centre
    size = len(item.datagram)
    state.packets_by_centre[centre] = (
        state.packets_by_centre.get(centre, 0) + 1)
    state.bytes_by_centre[centre] = (
        state.bytes_by_centre.get(centre, 0) + size)
    own = state.catalogue.data_centre_by_name.get(state.centre_name)
    if own is None or own.number != centre:
        state.counters.packets_to_others += 1
        state.counters.bytes_to_others += size
    return [event]


def make_traffic(catalogue, agents, counters, centre_name) -> Traffic:
    r"""Return the state of the stage with nothing counted."""
    return Traffic(catalogue, agents, counters, centre_name)
