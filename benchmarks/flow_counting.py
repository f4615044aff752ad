r"""Counts of what nodes do in the simulation of opaque flows."""

from poplarstep.opaque_flows import message


def count_message(simulation, node_address, item):
    r"""Count a caller's packet to an agent, or a load report."""
    kind = type(item.message)
    if kind is message.LoadReport:
        simulation.outcome.reports += 1
    elif kind in (message.Offer, message.FlowPacket):
        simulation.outcome.packets += 1
        centre_by_address = simulation.centre_by_address
        simulation.outcome.crossings += (
            centre_by_address[node_address]
            != centre_by_address[item.destination])


def count_open(simulation, node_address, flow):
    r"""Count a flow that a second target opens."""
    request = simulation.request_by_flow.get(flow)
    if request is None:
        return
    if request.opened_at is None:
        request.opened_at = node_address
    elif request.opened_at != node_address:
        simulation.outcome.extra_opens += 1


def count_decision(simulation, item):
    r"""Record that a balancer avoids a target or uses it again."""
    if item.event in ('target-avoided', 'target-returned'):
        simulation.outcome.decisions.append((
            simulation.clock, item.event, dict(item.fields)['number']))
