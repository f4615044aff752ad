r"""Builds an agent of flows with tokens: sockets, client and pipeline."""

import msgspec
from returns import result

from poplarstep.core import address
from poplarstep.core import effect
from poplarstep.core import stage
from poplarstep.edge import clock
from poplarstep.edge import codec
from poplarstep.edge import datagrams
from poplarstep.edge import json_body
from poplarstep.edge import proxy_header
from poplarstep.edge import target_client
from poplarstep.edge import web
from poplarstep.flow import packet
from poplarstep.flow import token
from poplarstep.programs import node as nodes
from poplarstep.programs import settings as settings_table
from poplarstep.requests import assembly
from poplarstep.requests import message
from poplarstep.requests import service_level
from poplarstep.requests import state as states


def build(settings):
    r"""Return ``Success(Node)`` of a running agent or ``Failure``."""
    node = nodes.make_node(settings)
    packet_codec = codec.make_data_path_codec(
        token.Sealer(settings['cluster-key']))
    links = nodes.open_links(node)
    front = datagrams.open_datagram_socket(
        settings['agent-address'], make_decoder(packet_codec))
    for opened in (links, front):
        if isinstance(opened, result.Failure):
            return opened
    front, links = front.unwrap(), links.unwrap()
    client = target_client.TargetClient(
        lambda batch: node.task.post_unbounded(batch))
    pipeline, agent, admission_state = assembly.make_pipeline(
        settings, nodes.new_incarnation())
    pipeline, request_counts = with_service_level(
        pipeline, settings['late-after'])
    nodes.schedule_ticks(node, *assembly.TICKING)
    node.exporter.add_counters('agent', agent.counters)
    node.exporter.add_values(lambda: _load_rows(admission_state))
    node.exporter.add_values(
        lambda: _service_level_rows(agent, request_counts))
    node.status = lambda: _status(agent, admission_state)
    node.ready = lambda: _accepting(agent)
    node.start_drain = lambda: _start_drain(node, agent)
    _register_announce(node)
    return nodes.start(
        node, pipeline, make_performers(packet_codec, front, links, client),
        links, {'front': front})


def with_service_level(pipeline, late_after_ms):
    r"""Return the pipeline with a service-level stage, and its state.

    The stage is inserted before the last one, admission.
    """
    request_counts = service_level.ServiceLevel(late_after_ms)
    steps = pipeline.steps
    return stage.Pipeline(
        steps[:-1] + ((service_level.SERVICE_LEVEL, request_counts),)
        + steps[-1:]), request_counts


def make_decoder(packet_codec):
    r"""Return the decoder of datagrams from balancers."""
    def decode(source, data):
        item = packet_codec.read(data)
        if type(item) is result.Failure:
            return item
        if type(item) is not packet.Forwarded:
            return result.Failure(
                '%s is not expected on this socket' % type(item).__name__)
        return message.Arrival(
            address.Address(*source), item, clock.now_ms())
    return decode


def make_performers(packet_codec, front, links, client):
    r"""Return the performers of an agent, by type of effect."""
    def send_packet(item):
        front.send(item.destination, packet_codec.encode(item.packet))
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
        message.TargetState: lambda item: client.set_address(item.address),
        message.CallTarget: client.call,
        message.CancelCall: client.cancel,
    }


class AnnounceBody(msgspec.Struct, forbid_unknown_fields=True):
    r"""JSON body of a target's announcement."""

    service: str
    address: str
    incarnation: int
    slots: int
    connections: int
    cold_limit: int = 1
    leaving: bool = False


def parse_announcement(body):
    r"""Return ``Success(TargetState)`` or ``Failure(message)``."""
    decoded = json_body.decode(body, AnnounceBody, 'announcement')
    if isinstance(decoded, result.Failure):
        return decoded
    announced = decoded.unwrap()
    for name in ('slots', 'connections', 'cold_limit'):
        if not 1 <= getattr(announced, name) <= 1_000_000:
            return result.Failure(
                'announcement: %s must be from 1 to 1000000' % name)
    if not settings_table.NAME_PATTERN.fullmatch(announced.service):
        # The name is replicated to every node, so it must be valid.
        return result.Failure(
            'announcement: service %.100r is not a name' % announced.service)
    return address.parse(announced.address).map(
        lambda target_address: message.TargetState(
            announced.service, target_address, announced.incarnation,
            announced.slots, announced.connections, announced.cold_limit,
            announced.leaving))


def _register_announce(node):
    @node.routes.route('POST', '/announce')
    def announce(body):
        parsed = parse_announcement(body)
        if isinstance(parsed, result.Failure):
            return web.json_reply({'error': parsed.failure()}, 400)
        node.task.post([parsed.unwrap()])
        return web.json_reply({'accepted': True})


def _start_drain(node, agent):
    r"""Start a graceful shutdown and return its ``Drain``."""
    node.task.post_unbounded([message.Leave()])
    return nodes.Drain(
        lambda: not agent.flow_by_serial,
        lambda: states.unfinished(agent),
        lambda: len(agent.flow_by_serial))


def _accepting(agent):
    r"""Return whether the agent accepts new flows."""
    return states.own_target(agent) is not None and (
        states.may_dispatch(agent, clock.now_ms()))


def _status(agent, admission_state):
    target = states.own_target(agent)
    return {
        'version': agent.catalogue.version,
        'target': target.number if target else None,
        'accepting': _accepting(agent),
        'flows': len(agent.flow_by_serial),
        'in_flight': len(admission_state.in_flight),
        'queued': len(admission_state.queue),
        'limit': admission_state.ramp.limit(),
        'cold': admission_state.ramp.is_cold(),
    }


def _service_level_rows(agent, request_counts):
    if agent.target is None:
        return []
    labels = {'service': agent.target.service}
    return [
        ('requests_total', labels, request_counts.total),
        ('requests_good', labels, request_counts.good),
        ('requests_late', labels, request_counts.late),
    ]


def _load_rows(admission_state):
    return [
        ('agent_flows', {}, len(admission_state.agent.flow_by_serial)),
        ('agent_in_flight', {}, len(admission_state.in_flight)),
        ('agent_queued', {}, len(admission_state.queue)),
        ('agent_limit', {}, admission_state.ramp.limit()),
    ]
