r"""HTTP interface of a control host for whole configurations.

Explanation
===========

Operators post the routes and services of opaque flows as one document and
read it back unchanged. Bodies are JSON. A body with an unknown field is
refused, so that a misspelt name is noticed.
"""

import typing
import zlib

import msgspec
from returns import result

from poplarstep.configuration import command
from poplarstep.configuration import replacement
from poplarstep.control import message
from poplarstep.core import address
from poplarstep.edge import json_body
from poplarstep.edge import web

# A command without an outcome after this time is answered with the status
# "unknown"; the tool then asks the next control host.
ANSWER_TIMEOUT_MS = 1000
DEFAULT_IDLE_MS = 15_000
MAXIMUM_NUMBER = 2**53
CONFIGURATION_PATH = '/configuration'
Name = typing.Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
Number = typing.Annotated[int, msgspec.Meta(ge=0, le=MAXIMUM_NUMBER)]


class ServiceBody(msgspec.Struct, forbid_unknown_fields=True):
    r"""A service.

    ``cold_per_second`` is the number of requests per second that a target can
    handle while it warms up.
    """

    name: Name
    cold_per_second: typing.Annotated[float, msgspec.Meta(ge=0)] = 0.0


class ShareBody(msgspec.Struct, forbid_unknown_fields=True):
    r"""A service and its weight in the choice for a route's new flows."""

    service: Name
    weight: Number = 1


class RouteBody(msgspec.Struct, forbid_unknown_fields=True):
    r"""A route; ``address`` is IP:PORT. For the fields see ``model.Route``."""

    name: Name
    address: str
    idempotent: bool
    timeout_ms: Number
    shares: list[ShareBody]
    priority: Number = 0
    objective_ms: Number = 0


class ConfigurationBody(msgspec.Struct, forbid_unknown_fields=True):
    r"""A whole configuration; the one with the highest revision applies."""

    revision: Number
    services: list[ServiceBody]
    routes: list[RouteBody]
    flow_idle_ms: Number = DEFAULT_IDLE_MS


def parse_configuration(body):
    r"""Return ``Success(ReplaceConfiguration)`` or ``Failure(message)``."""
    decoded = json_body.decode(body, ConfigurationBody, 'configuration')
    if isinstance(decoded, result.Failure):
        return decoded
    configuration = decoded.unwrap()
    routes = []
    for route in configuration.routes:
        route_address = address.parse(route.address)
        if isinstance(route_address, result.Failure):
            return result.Failure('route %s: %s' % (
                route.name, route_address.failure()))
        routes.append(command.WantedRoute(
            route.name, route_address.unwrap(), route.idempotent,
            route.priority, route.timeout_ms, route.objective_ms, tuple(
                command.ServiceShare(share.service, share.weight)
                for share in route.shares)))
    replacement_command = command.ReplaceConfiguration(
        configuration.revision, tuple(
            command.WantedService(service.name, service.cold_per_second)
            for service in configuration.services),
        tuple(routes), configuration.flow_idle_ms, zlib.compress(body))
    fault = replacement.find_fault(replacement_command)
    return result.Failure(fault) if fault else (
        result.Success(replacement_command))


def register(node, pending):
    r"""Register the handlers of whole configurations on a control host.

    The reply to a posted configuration has the fields of the reply to
    ``POST /command``.
    """
    @node.routes.route('POST', CONFIGURATION_PATH)
    def replace(body):
        parsed = parse_configuration(body)
        if isinstance(parsed, result.Failure):
            return web.json_reply({'error': parsed.failure()}, 400)
        reply = pending.ask(
            node.task, lambda key: message.IdempotentCommand(
                key, parsed.unwrap()),
            ANSWER_TIMEOUT_MS)
        if reply is None:
            return web.json_reply({
                'status': command.UNKNOWN, 'version': 0, 'leader': '',
                'reason': 'no outcome within %d ms' % ANSWER_TIMEOUT_MS})
        return web.json_reply({
            'status': reply.outcome.status,
            'version': reply.outcome.version,
            'reason': reply.outcome.reason,
            'leader': reply.leader})

    @node.routes.route('GET', CONFIGURATION_PATH)
    def read(body):
        reply = pending.ask(
            node.task, message.ReadConfiguration, ANSWER_TIMEOUT_MS)
        if reply is None or not reply.current or not reply.document:
            return web.json_reply(
                {'error': 'the newest configuration is not known'}, 503)
        return web.Reply(200, zlib.decompress(reply.document))
