r"""Builds an agent of opaque flows for a packet front end."""

from returns import result

from poplarstep.core import effect
from poplarstep.edge import clock
from poplarstep.edge import datagrams
from poplarstep.edge import plain_format
from poplarstep.edge import wire
from poplarstep.opaque_flows import assembly
from poplarstep.opaque_flows import message
from poplarstep.opaque_flows import presence
from poplarstep.opaque_flows import target
from poplarstep.programs import flow_balancer
from poplarstep.programs import node as nodes
from poplarstep.programs import target_interface
from poplarstep.programs import waiters


def build(settings, packet_format=None, register_front_end=None):
    r"""Return ``Success(Node)`` of a running agent or ``Failure``.

    Parameters
    ==========

    packet_format : PacketFormat or None
        How the target's datagrams are read; the project's own by default.
    register_front_end : callable or None
        Takes the node and its ``Waiters``; adds the interface by which the
        target makes itself known.
    """
    packet_format = packet_format or plain_format.make_format()
    node = nodes.make_node(settings)
    flow_codec = wire.make_flow_codec()
    links = nodes.open_links(node)
    front = datagrams.open_datagram_socket(
        settings['agent-address'],
        flow_balancer.make_node_decoder(flow_codec, message.TO_AGENT))
    inner = datagrams.open_datagram_socket(
        settings['outbound-address'], make_target_decoder(packet_format))
    for opened in (links, front, inner):
        if isinstance(opened, result.Failure):
            return opened
    front, inner, links = front.unwrap(), inner.unwrap(), links.unwrap()
    pipeline, subscribed, held = assembly.make_agent(
        settings, nodes.new_incarnation(), clock.now_ms())
    nodes.subscribe(node, *assembly.AGENT_TICKING)
    node.exporter.add_counters('hold', held.counters)
    node.exporter.add_values(lambda: _load_rows(held))
    node.exporter.add_histogram('hold_queue_ms', held.queue_ms)
    node.exporter.add_histogram(
        'hold_request_ms', held.occupancy.request_ms)
    node.status = lambda: {
        'version': subscribed.catalogue.version,
        'flows': len(held.flow_by_key),
    }
    node.ready = lambda: held.target is not None
    node.leave = lambda: _leave(node, held)
    waiting = waiters.Waiters()
    node.exporter.add_histogram('heartbeat_ms', waiting.answer_ms)
    target_interface.register(node, waiting)
    if register_front_end is not None:
        register_front_end(node, waiting)
    return nodes.finish(
        node, pipeline,
        make_performers(
            settings, packet_format, flow_codec, front, inner, links,
            waiting),
        links, {'front': front, 'inner': inner})


def make_target_decoder(packet_format):
    r"""Return the decoder of the target's datagrams."""
    def decode(source, data):
        segment = packet_format.decode_target(data)
        if type(segment) is result.Failure:
            return segment
        return message.FromTarget(segment)
    return decode


def make_performers(
        settings, packet_format, flow_codec, front, inner, links, waiting):
    r"""Return the functions that carry out an agent's effects."""
    target_address = settings['target-address']
    return {
        effect.SendControl: links.send,
        message.ToNode: lambda item: front.send(
            item.destination, flow_codec.encode(item.message)),
        message.ToTarget: lambda item: inner.send(
            target_address, item.datagram),
        message.ToCaller: lambda item: front.send(
            packet_format.caller_address(item.flow), item.datagram),
        target.HeartbeatReply: waiting.reply,
    }


def _leave(node, held):
    node.task.post_unbounded([presence.Leave()])
    return nodes.Drain(
        lambda: not _open_flows(held), lambda: _open_flows(held),
        lambda: _open_flows(held))


def _open_flows(held):
    return sum(
        flow.confirmed and flow.ended_at is None
        for flow in held.flow_by_key.values())


def _load_rows(held):
    return [
        ('hold_flows', {}, len(held.flow_by_key)),
        ('hold_waiting', {}, held.queue_length),
        ('hold_occupied', {}, held.occupancy.count()),
        ('hold_service_us', {}, int(held.occupancy.service_us)),
    ]
