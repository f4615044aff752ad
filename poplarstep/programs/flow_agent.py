r"""Builds an agent of opaque flows.

Only the two ends of an opaque flow can read its packets; the ``PacketFormat``
decodes what the agent needs of a target's datagram.
"""

from returns import result

from poplarstep.core import effect
from poplarstep.edge import clock
from poplarstep.edge import datagrams
from poplarstep.edge import plain_format
from poplarstep.edge import target_probe
from poplarstep.edge import wire
from poplarstep.opaque_flows import agent_assembly
from poplarstep.opaque_flows import agent_state
from poplarstep.opaque_flows import message
from poplarstep.opaque_flows import presence
from poplarstep.opaque_flows import target
from poplarstep.opaque_flows import target_probe as probes
from poplarstep.programs import flow_sockets
from poplarstep.programs import node as nodes
from poplarstep.programs import pending_requests
from poplarstep.programs import target_interface


def build(settings, packet_format=None, register_front_end=None):
    r"""Return ``Success(Node)`` of a running agent or ``Failure``.

    Parameters
    ==========

    packet_format : PacketFormat or None
        Format of the target's datagrams; default ``edge.plain_format``.
    register_front_end : callable or None
        Registers the interface for the target's heartbeats. It is called
        with the node and its ``PendingRequests``.
    """
    packet_format = packet_format or plain_format.make_format()
    node = nodes.make_node(settings)
    flow_codec = wire.make_flow_codec()
    links = nodes.open_links(node)
    front = datagrams.open_datagram_socket(
        settings['agent-address'],
        flow_sockets.make_node_decoder(flow_codec, message.TO_AGENT))
    outbound = datagrams.open_datagram_socket(
        settings['outbound-address'], make_target_decoder(packet_format))
    for opened in (links, front, outbound):
        if isinstance(opened, result.Failure):
            return opened
    front, outbound, links = front.unwrap(), outbound.unwrap(), links.unwrap()
    pipeline, subscriber_state, flow_agent = agent_assembly.make_agent(
        settings, nodes.new_incarnation(), clock.now_ms())
    nodes.schedule_ticks(node, *agent_assembly.TICKING)
    node.exporter.add_counters('hold', flow_agent.counters)
    node.exporter.add_counters('target_health', flow_agent.health.counters)
    node.exporter.add_values(lambda: _load_rows(flow_agent))
    node.exporter.add_histogram('hold_queue_ms', flow_agent.queue_ms)
    node.exporter.add_histogram('hold_held_ms', flow_agent.queue.held_ms)
    node.exporter.add_histogram(
        'hold_request_ms', flow_agent.occupancy.request_ms)
    node.status = lambda: {
        'version': subscriber_state.catalogue.version,
        'flows': len(flow_agent.flow_by_key),
    }
    node.ready = lambda: flow_agent.target is not None
    node.start_drain = lambda: _start_drain(node, flow_agent)
    pending = pending_requests.PendingRequests()
    node.exporter.add_histogram('heartbeat_ms', pending.answer_ms)
    target_interface.register(node, pending)
    if register_front_end is not None:
        register_front_end(node, pending)
    return nodes.start(
        node, pipeline,
        {**make_performers(
            settings, packet_format, flow_codec, front, outbound, links,
            pending),
         probes.ProbeTarget: target_probe.make_performer(
             settings['target-address'],
             lambda events: node.task.post(events))},
        links, {'front': front, 'inner': outbound})


def make_target_decoder(packet_format):
    r"""Return the decoder of the target's datagrams."""
    def decode(source, data):
        segment = packet_format.decode_target(data)
        if type(segment) is result.Failure:
            return segment
        return message.FromTarget(segment)
    return decode


def make_performers(
        settings, packet_format, flow_codec, front, outbound, links, pending):
    r"""Return the performers of an agent, by type of effect."""
    target_address = settings['target-address']
    return {
        effect.SendControl: links.send,
        message.ToNode: lambda item: front.send(
            item.destination, flow_codec.encode(item.message)),
        message.ToTarget: lambda item: outbound.send(
            target_address, item.datagram),
        message.ToCaller: lambda item: front.send(
            packet_format.caller_address(item.flow), item.datagram),
        message.ResetFlow: flow_sockets.make_reset_performer(
            packet_format, front),
        target.HeartbeatReply: pending.reply,
    }


def _start_drain(node: nodes.Node, flow_agent: agent_state.FlowAgentState):
    r"""Start a graceful shutdown and return its ``Drain``."""
    node.task.post_unbounded([presence.Leave()])
    return nodes.Drain(
        lambda: agent_state.may_stop(flow_agent, clock.now_ms()),
        lambda: agent_state.unfinished_requests(flow_agent),
        lambda: agent_state.open_flows(flow_agent))


def _load_rows(flow_agent: agent_state.FlowAgentState):
    return [
        ('hold_flows', {}, len(flow_agent.flow_by_key)),
        ('hold_waiting', {}, flow_agent.queue_length),
        ('hold_held_packets', {}, flow_agent.queue.packet_count),
        ('hold_held_bytes', {}, flow_agent.queue.byte_count),
        ('hold_occupied', {}, flow_agent.occupancy.count()),
        ('hold_busy_slots', {}, round(flow_agent.demand.busy_slots, 3)),
        ('hold_service_us', {}, int(flow_agent.occupancy.service_us)),
    ]
