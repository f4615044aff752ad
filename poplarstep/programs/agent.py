r"""Builds an agent: sockets, target client and the pipeline of stages."""

import msgspec
from returns import result

from poplarstep.core import address
from poplarstep.core import effect
from poplarstep.core import stage
from poplarstep.edge import clock
from poplarstep.edge import codec
from poplarstep.edge import datagrams
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
    packets = codec.make_data_path_codec(
        token.Sealer(settings['cluster-key']))
    links = nodes.open_links(node)
    front = datagrams.open_datagram_socket(
        settings['agent-address'], make_decoder(packets))
    for opened in (links, front):
        if isinstance(opened, result.Failure):
            return opened
    front, links = front.unwrap(), links.unwrap()
    client = target_client.TargetClient(
        lambda batch: node.task.post_unbounded(batch))
    pipeline, agent, admitted = assembly.make_pipeline(
        settings, nodes.new_incarnation())
    pipeline, counted = with_service_level(pipeline, settings['late-after'])
    nodes.subscribe(node, *assembly.TICKING)
    node.exporter.add_counters('agent', agent.counters)
    node.exporter.add_values(lambda: _load_rows(admitted))
    node.exporter.add_values(lambda: _service_level_rows(agent, counted))
    node.status = lambda: _status(agent, admitted)
    node.ready = lambda: _accepting(agent)
    node.leave = lambda: _leave(node, agent)
    _register_announce(node)
    return nodes.finish(
        node, pipeline, make_performers(packets, front, links, client),
        links, {'front': front})


def with_service_level(pipeline, late_after_ms):
    r"""Return the pipeline that also counts requests, and the counts."""
    counted = service_level.ServiceLevel(late_after_ms)
    steps = pipeline.steps
    return stage.Pipeline(
        steps[:-1] + ((service_level.SERVICE_LEVEL, counted),)
        + steps[-1:]), counted


def make_decoder(packets):
    r"""Return the decoder of datagrams from balancers."""
    def decode(source, data):
        item = packets.read(data)
        if type(item) is result.Failure:
            return item
        if type(item) is not packet.Forwarded:
            return result.Failure(
                '%s is not expected on this socket' % type(item).__name__)
        return message.Arrival(
            address.Address(*source), item, clock.now_ms())
    return decode


def make_performers(packets, front, links, client):
    r"""Return the functions that carry out an agent's effects."""
    def send_packet(item):
        front.send(item.destination, packets.encode(item.packet))
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
    try:
        read = msgspec.json.decode(body, type=AnnounceBody)
    except msgspec.DecodeError as error:
        return result.Failure('announcement: %s' % error)
    for name in ('slots', 'connections', 'cold_limit'):
        if not 1 <= getattr(read, name) <= 1_000_000:
            return result.Failure(
                'announcement: %s must be from 1 to 1000000' % name)
    if not settings_table.NAME_PATTERN.fullmatch(read.service):
        # The name is replicated to every node.
        return result.Failure(
            'announcement: service %.100r is not a name' % read.service)
    return address.parse(read.address).map(
        lambda place: message.TargetState(
            read.service, place, read.incarnation, read.slots,
            read.connections, read.cold_limit, read.leaving))


def _register_announce(node):
    @node.routes.route('POST', '/announce')
    def announce(body):
        parsed = parse_announcement(body)
        if isinstance(parsed, result.Failure):
            return web.json_reply({'error': parsed.failure()}, 400)
        node.task.post([parsed.unwrap()])
        return web.json_reply({'accepted': True})


def _leave(node, agent):
    node.task.post_unbounded([message.Leave()])
    return nodes.Drain(
        lambda: not agent.flow_by_serial,
        lambda: states.unfinished(agent),
        lambda: len(agent.flow_by_serial))


def _accepting(agent):
    r"""Return whether the agent accepts new flows."""
    return states.own_target(agent) is not None and (
        states.may_dispatch(agent, clock.now_ms()))


def _status(agent, admitted):
    target = states.own_target(agent)
    return {
        'version': agent.catalogue.version,
        'target': target.number if target else None,
        'accepting': _accepting(agent),
        'flows': len(agent.flow_by_serial),
        'in_flight': len(admitted.in_flight),
        'queued': len(admitted.queue),
        'limit': admitted.ramp.limit(),
        'cold': admitted.ramp.is_cold(),
    }


def _service_level_rows(agent, counted):
    if agent.target is None:
        return []
    labels = {'service': agent.target.service}
    return [
        ('requests_total', labels, counted.total),
        ('requests_good', labels, counted.good),
        ('requests_late', labels, counted.late),
    ]


def _load_rows(admitted):
    return [
        ('agent_flows', {}, len(admitted.agent.flow_by_serial)),
        ('agent_in_flight', {}, len(admitted.in_flight)),
        ('agent_queued', {}, len(admitted.queue)),
        ('agent_limit', {}, admitted.ramp.limit()),
    ]
