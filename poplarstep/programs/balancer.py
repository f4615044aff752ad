r"""Builds a balancer of flows with tokens: sockets, codec and pipeline."""

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

CACHED_SOURCE_ADDRESSES = 1024


def build(settings):
    r"""Return ``Success(Node)`` of a running balancer or ``Failure``."""
    node = nodes.make_node(settings)
    packet_codec = codec.make_data_path_codec(
        token.Sealer(settings['cluster-key']))
    links = nodes.open_links(node)
    front = datagrams.open_datagram_socket(
        settings['front-address'], make_front_decoder(packet_codec))
    back = datagrams.open_datagram_socket(
        settings['back-address'], make_back_decoder(packet_codec))
    for opened in (links, front, back):
        if isinstance(opened, result.Failure):
            return opened
    front, back, links = front.unwrap(), back.unwrap(), links.unwrap()
    pipeline, subscriber_state, balancer = assembly.make_pipeline(
        settings, nodes.new_incarnation(), random.Random(), clock.now_ms())
    nodes.schedule_ticks(node, *assembly.TICKING)
    node.exporter.add_counters('balancer', balancer.counters)
    node.exporter.add_values(lambda: _service_rows(balancer))
    node.status = lambda: {
        'version': subscriber_state.catalogue.version,
        'confirmed': balancer.confirmed(clock.now_ms()),
        'pending_opens': len(balancer.pending_by_attempt),
    }
    # The fabric, the routers that spread callers' packets over the balancers,
    # may keep sending packets after /readyz returns 503. So the balancer uses
    # its whole drain time.
    node.start_drain = lambda: nodes.Drain(
        may_stop=lambda: False, unfinished_requests=lambda: 0)
    node.ready = lambda: balancer.confirmed(clock.now_ms())
    return nodes.start(
        node, pipeline,
        make_performers(packet_codec, front, back, links, balancer),
        links, {'front': front, 'back': back})


def make_front_decoder(packet_codec):
    r"""Return the decoder of callers' datagrams, which the fabric forwards."""
    def decode(source, data):
        parsed = proxy_header.read(data)
        if type(parsed) is result.Failure:
            return parsed
        caller, service, body = parsed
        item = packet_codec.read(body)
        if type(item) not in packet.FROM_CALLER:
            return _unexpected(item)
        if type(item) is packet.Request and (
                len(item.payload) > packet.MAXIMUM_PAYLOAD_BYTES):
            return result.Failure('payload of %d bytes exceeds %d' % (
                len(item.payload), packet.MAXIMUM_PAYLOAD_BYTES))
        return packet.Ingress(packet.ReturnPath(
            fabric_address(source), caller, service), item, clock.now_ms())

    fabric_address = functools.lru_cache(CACHED_SOURCE_ADDRESSES)(
        lambda source: address.Address(*source))
    return decode


def make_back_decoder(packet_codec):
    r"""Return the decoder of datagrams from agents."""
    def decode(source, data):
        item = packet_codec.read(data)
        if type(item) is not packet.OpenOutcome:
            return _unexpected(item)
        return opening.OutcomeArrived(item)
    return decode


def _unexpected(item):
    r"""Return the ``Failure`` for a message of an unexpected type."""
    if type(item) is result.Failure:
        return item
    return result.Failure(
        '%s is not expected on this socket' % type(item).__name__)


def make_performers(packet_codec, front, back, links, balancer):
    r"""Return the performers of a balancer, by type of effect.

    The lease is checked again just before a packet goes to an agent.
    Otherwise a process that was paused between the decision and the send
    could forward a packet to a data centre that was taken out meanwhile;
    such a data centre receives no more packets after 3 s.
    """
    def send_packet(item):
        data = packet_codec.encode(item.packet)
        if balancer.confirmed(clock.now_ms()):
            back.send(item.destination, data)
        else:
            # The packet is dropped; the caller retransmits it.
            balancer.counters.paused += 1
        return ()

    def send_to_caller(item):
        return_path = item.path
        front.send(return_path.fabric, proxy_header.encode(
            return_path.service, return_path.caller,
            packet_codec.encode(item.packet)))
        return ()

    return {
        effect.SendPacket: send_packet,
        packet.Egress: send_to_caller,
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
