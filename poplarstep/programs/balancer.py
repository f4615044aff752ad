r"""Builds a balancer: sockets, codecs and the pipeline of its stages."""

import functools
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

CACHED_SOURCES = 1024


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
    return nodes.start(
        node, pipeline,
        make_performers(packets, front, back, links, balancer),
        links, {'front': front, 'back': back})


def make_front_decoder(packets):
    r"""Return the decoder of datagrams from the fabric."""
    def decode(source, data):
        framed = proxy_header.read(data)
        if type(framed) is result.Failure:
            return framed
        caller, service, body = framed
        item = packets.read(body)
        if type(item) not in packet.FROM_CALLER:
            return _misplaced(item)
        if type(item) is packet.Request and (
                len(item.payload) > packet.MAXIMUM_PAYLOAD_BYTES):
            return result.Failure('payload of %d bytes exceeds %d' % (
                len(item.payload), packet.MAXIMUM_PAYLOAD_BYTES))
        return packet.Ingress(packet.ReturnPath(
            fabric(source), caller, service), item, clock.now_ms())

    fabric = functools.lru_cache(CACHED_SOURCES)(
        lambda source: address.Address(*source))
    return decode


def make_back_decoder(packets):
    r"""Return the decoder of datagrams from agents."""
    def decode(source, data):
        item = packets.read(data)
        if type(item) is not packet.OpenOutcome:
            return _misplaced(item)
        return opening.OutcomeArrived(item)
    return decode


def _misplaced(item):
    if type(item) is result.Failure:
        return item
    return result.Failure(
        '%s is not expected on this socket' % type(item).__name__)


def make_performers(packets, front, back, links, balancer):
    r"""Return the functions that carry out a balancer's effects.

    The lease is checked again just before a packet goes to an agent: a
    process that was paused between the decision and the send forwarded one
    packet into a data centre that had been taken out meanwhile (R4).
    """
    def send_packet(item):
        data = packets.encode(item.packet)
        if balancer.confirmed(clock.now_ms()):
            back.send(item.destination, data)
        else:
            balancer.counters.paused += 1
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
