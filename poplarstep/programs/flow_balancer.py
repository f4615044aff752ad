r"""Builds a balancer of opaque flows.

Only the two ends of an opaque flow can read its packets; the ``PacketFormat``
decodes what the balancer needs of a caller's datagram.
"""

import random

from returns import result

from poplarstep.core import effect
from poplarstep.dissemination import subscriber
from poplarstep.edge import clock
from poplarstep.edge import datagrams
from poplarstep.edge import plain_format
from poplarstep.edge import wire
from poplarstep.opaque_flows import balancer_assembly
from poplarstep.opaque_flows import explanations
from poplarstep.opaque_flows import message
from poplarstep.programs import explain_interface
from poplarstep.programs import flow_sockets
from poplarstep.programs import node as nodes
from poplarstep.programs import pending_requests


def build(
        settings, packet_format=None, register_front_end=None,
        front_socket=None):
    r"""Return ``Success(Node)`` of a running balancer or ``Failure``.

    Parameters
    ==========

    packet_format : PacketFormat or None
        Format of callers' datagrams; default ``edge.plain_format``.
    register_front_end : callable or None
        Registers the interface of another front end. It is called with the
        node.
    front_socket : socket.socket or None
        UDP socket that a launcher has bound to ``front-address``.
    """
    packet_format = packet_format or plain_format.make_format()
    node = nodes.make_node(settings)
    flow_codec = wire.make_flow_codec()
    links = nodes.open_links(node)
    front = datagrams.open_datagram_socket(
        settings['front-address'], make_front_decoder(packet_format),
        front_socket)
    back = datagrams.open_datagram_socket(
        settings['back-address'],
        flow_sockets.make_node_decoder(flow_codec, message.TO_BALANCER))
    for opened in (links, front, back):
        if isinstance(opened, result.Failure):
            return opened
    front, back, links = front.unwrap(), back.unwrap(), links.unwrap()
    pipeline, subscriber_state, flow_balancer = (
        balancer_assembly.make_balancer(
            settings, nodes.new_incarnation(), random.Random(),
            clock.now_ms()))
    nodes.schedule_ticks(node, *balancer_assembly.TICKING)
    node.exporter.add_counters('steering', flow_balancer.counters)
    node.exporter.add_counters(
        'ejection', flow_balancer.placement.ejection.counters)
    node.exporter.add_histogram(
        'steering_opening_ms', flow_balancer.opening_ms)
    node.exporter.add_values(lambda: [
        ('steering_flows', {}, len(flow_balancer.tracked_by_flow)),
        ('ejection_targets', {}, flow_balancer.placement.ejection.count()),
        ('steering_spilling', {}, len(flow_balancer.locality.spilling))])
    if flow_balancer.traffic is not None:
        node.exporter.add_values(flow_balancer.traffic.rows)
    node.status = lambda: {
        'version': subscriber_state.catalogue.version,
        'confirmed': subscriber.lease_holds(subscriber_state, clock.now_ms()),
        'flows': len(flow_balancer.tracked_by_flow),
    }
    node.ready = lambda: flow_balancer.confirmed(clock.now_ms())
    # The fabric, the routers that spread callers' packets over the balancers,
    # may keep sending packets after /readyz returns 503. So the balancer uses
    # its whole drain time.
    node.start_drain = lambda: nodes.Drain(
        may_stop=lambda: False, unfinished_requests=lambda: 0)
    pending = pending_requests.PendingRequests()
    explain_interface.register(node, pending)
    if register_front_end is not None:
        register_front_end(node)
    return nodes.start(
        node, pipeline,
        {**make_performers(packet_format, flow_codec, front, back, links),
         explanations.FlowExplained: pending.reply},
        links, {'front': front, 'back': back})


def make_front_decoder(packet_format):
    r"""Return the decoder of callers' datagrams."""
    def decode(source, data):
        segment = packet_format.decode_caller(data)
        if type(segment) is result.Failure:
            return segment
        return message.FromCaller(segment)
    return decode


def make_performers(packet_format, flow_codec, front, back, links):
    r"""Return the performers of a balancer, by type of effect."""
    return {
        effect.SendControl: links.send,
        message.ToNode: lambda item: back.send(
            item.destination, flow_codec.encode(item.message)),
        message.ResetFlow: flow_sockets.make_reset_performer(
            packet_format, front),
    }
