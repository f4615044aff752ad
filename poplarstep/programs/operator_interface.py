r"""HTTP interface of a control host for whole configurations.

Explanation
===========

Operators post the routes and services of opaque flows as one document and
read it back unchanged. Bodies are JSON; fields that are not known are
refused, so that a misspelt one does not go unnoticed.
"""

import typing
import zlib

import msgspec
from returns import result

from poplarstep.configuration import command
from poplarstep.configuration import replacement
from poplarstep.control import message
from poplarstep.core import address
from poplarstep.edge import web

# The operator's tool asks the next control host after this time.
ANSWER_MS = 1000
DEFAULT_IDLE_MS = 15_000
MAXIMUM_NUMBER = 2**53
CONFIGURATION_PATH = '/configuration'
Name = typing.Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
Number = typing.Annotated[int, msgspec.Meta(ge=0, le=MAXIMUM_NUMBER)]


class ServiceBody(msgspec.Struct, forbid_unknown_fields=True):
    r"""A service; ``cold_per_second`` is what a cold target bears."""

    name: Name
    cold_per_second: typing.Annotated[float, msgspec.Meta(ge=0)] = 0.0


class ShareBody(msgspec.Struct, forbid_unknown_fields=True):
    r"""A service that takes part of a route's new flows."""

    service: Name
    weight: Number = 1


class RouteBody(msgspec.Struct, forbid_unknown_fields=True):
    r"""A route; ``address`` is IP:PORT, times are in ms."""

    name: Name
    address: str
    idempotent: bool
    timeout_ms: Number
    shares: list[ShareBody]
    priority: Number = 0
    objective_ms: Number = 0


class ConfigurationBody(msgspec.Struct, forbid_unknown_fields=True):
    r"""A whole configuration; the highest ``revision`` is in force."""

    revision: Number
    services: list[ServiceBody]
    routes: list[RouteBody]
    flow_idle_ms: Number = DEFAULT_IDLE_MS


def parse_configuration(body):
    r"""Return ``Success(ReplaceConfiguration)`` or ``Failure(message)``."""
    try:
        wanted = msgspec.json.decode(body, type=ConfigurationBody)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return result.Failure('configuration: %s' % error)
    routes = []
    for item in wanted.routes:
        place = address.parse(item.address)
        if isinstance(place, result.Failure):
            return result.Failure('route %s: %s' % (
                item.name, place.failure()))
        routes.append(command.WantedRoute(
            item.name, place.unwrap(), item.idempotent, item.priority,
            item.timeout_ms, item.objective_ms, tuple(
                command.ServiceShare(share.service, share.weight)
                for share in item.shares)))
    replaced = command.ReplaceConfiguration(
        wanted.revision, tuple(
            command.WantedService(item.name, item.cold_per_second)
            for item in wanted.services),
        tuple(routes), wanted.flow_idle_ms, zlib.compress(body))
    fault = replacement.find_fault(replaced)
    return result.Failure(fault) if fault else result.Success(replaced)


def register(node, waiting):
    r"""Serve whole configurations on a control host.

    A posted configuration is answered as ``POST /command`` is.
    """
    @node.routes.route('POST', CONFIGURATION_PATH)
    def replace(body):
        parsed = parse_configuration(body)
        if isinstance(parsed, result.Failure):
            return web.json_reply({'error': parsed.failure()}, 400)
        reply = waiting.ask(
            node.task, lambda key: message.IdempotentCommand(
                key, parsed.unwrap()),
            ANSWER_MS)
        if reply is None:
            return web.json_reply({
                'status': command.UNKNOWN, 'version': 0, 'leader': '',
                'reason': 'no outcome within %d ms' % ANSWER_MS})
        return web.json_reply({
            'status': reply.outcome.status,
            'version': reply.outcome.version,
            'reason': reply.outcome.reason,
            'leader': reply.leader})

    @node.routes.route('GET', CONFIGURATION_PATH)
    def read(body):
        reply = waiting.ask(node.task, message.ReadConfiguration, ANSWER_MS)
        if reply is None or not reply.current or not reply.document:
            return web.json_reply(
                {'error': 'the newest configuration is not known'}, 503)
        return web.Reply(200, zlib.decompress(reply.document))
