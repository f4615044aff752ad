r"""Builds a balancer: sockets, codecs and the pipeline of its stages."""

import random

from returns import result

from poplarstep.core import address
from poplarstep.core import effect
from poplarstep.edge import clock
from poplarstep.edge import codec
from poplarstep.edge import datagrams
from poplarstep.edge import proxy_header
from poplarstep.flow import packet
from poplarstep.flow import token
from poplarstep.programs import node as nodes
from poplarstep.routing import assembly
from poplarstep.routing import opening


def build(settings):
    r"""Return ``Success(Node)`` of a running balancer or ``Failure``."""
    node = nodes.make_node(settings)
    packets = codec.make_data_path_codec(
        token.Sealer(settings['cluster-key']))
    links = nodes.open_links(node)
    front = datagrams.open_datagram_socket(
        settings['front-address'], make_front_decoder(packets))
    back = datagrams.open_datagram_socket(
        settings['back-address'], make_back_decoder(packets))
    for opened in (links, front, back):
        if isinstance(opened, result.Failure):
            return opened
    front, back, links = front.unwrap(), back.unwrap(), links.unwrap()
    pipeline, subscribed, balancer = assembly.make_pipeline(
        settings, nodes.new_incarnation(), random.Random(), clock.now_ms())
    nodes.subscribe(node, *assembly.TICKING)
    node.exporter.add_counters('balancer', balancer.counters)
    node.exporter.add_values(lambda: _service_rows(balancer))
    node.status = lambda: {
        'version': subscribed.catalogue.version,
        'confirmed': balancer.confirmed(clock.now_ms()),
        'pending_opens': len(balancer.pending_by_attempt),
    }
    # The fabric may go on sending for a while after /readyz turned to 503.
    node.leave = lambda: nodes.Drain(lambda: False, lambda: 0)
    node.ready = lambda: balancer.confirmed(clock.now_ms())
    return nodes.finish(
        node, pipeline,
        make_performers(packets, front, back, links),
        links, {'front': front, 'back': back})


def make_front_decoder(packets):
    r"""Return the decoder of datagrams from the fabric."""
    def decode(source, data):
        framed = proxy_header.decode(data)
        if isinstance(framed, result.Failure):
            return framed
        caller, service, body = framed.unwrap()
        return packets.decode(body).bind(lambda item: _ingress(
            source, caller, service, item))
    return decode


def _ingress(source, caller, service, item):
    if type(item) not in packet.FROM_CALLER:
        return result.Failure(
            '%s does not come from callers' % type(item).__name__)
    return result.Success(packet.Ingress(packet.ReturnPath(
        address.Address(*source), caller, service), item, clock.now_ms()))


def make_back_decoder(packets):
    r"""Return the decoder of datagrams from agents."""
    def decode(source, data):
        return packets.decode(data).bind(_outcome)
    return decode


def _outcome(item):
    if type(item) is not packet.OpenOutcome:
        return result.Failure(
            '%s does not come from agents' % type(item).__name__)
    return result.Success(opening.OutcomeArrived(item))


def make_performers(packets, front, back, links):
    r"""Return the functions that carry out a balancer's effects."""
    def send_packet(item):
        back.send(item.destination, packets.encode(item.packet))
        return ()

    def egress(item):
        path = item.path
        front.send(path.fabric, proxy_header.encode(
            path.service, path.caller, packets.encode(item.packet)))
        return ()

    return {
        effect.SendPacket: send_packet,
        packet.Egress: egress,
        effect.SendControl: links.send,
    }


def _service_rows(balancer):
    service_by_number = balancer.catalogue.service_by_number
    rows = []
    for name, counts in (
            ('service_opens', balancer.opens_by_service),
            ('service_opens_refused', balancer.refused_by_service)):
        rows.extend(
            (name, {'service': service_by_number[number].name}, count)
            for number, count in counts.items()
            if number in service_by_number)
    return rows
