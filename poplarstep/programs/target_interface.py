r"""HTTP interface of an agent for its target.

Explanation
===========

A target of opaque flows posts heartbeats to the agent on its host, and a
departure before it ends. Bodies are JSON. A body with an unknown field is
refused, so that a misspelt name is noticed. Another platform may have
its own HTTP interface, which posts the same messages to the agent's task.
"""

import typing

import msgspec
from returns import result

from poplarstep.edge import clock
from poplarstep.edge import json_body
from poplarstep.edge import web
from poplarstep.opaque_flows import target

# A request that the agent has not acknowledged after this time is answered
# with 503; the target then posts again.
ANSWER_TIMEOUT_MS = 1000
MAXIMUM_NUMBER = 2**53
HEARTBEAT_PATH = '/heartbeat'
DEPARTURE_PATH = '/departure'
Name = typing.Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
Number = typing.Annotated[int, msgspec.Meta(ge=0, le=MAXIMUM_NUMBER)]


class HeartbeatBody(msgspec.Struct, forbid_unknown_fields=True):
    r"""Heartbeat of a target; for the fields see ``target.Heartbeat``."""

    target: Name
    service: Name
    started_at: Number
    sequence: Number
    slots: typing.Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
    leaving: bool = False
    cold_ms: Number = 0


class DepartureBody(msgspec.Struct, forbid_unknown_fields=True):
    r"""Departure of a target, which is about to end."""

    target: Name


def parse_heartbeat(body):
    r"""Return ``Success(Heartbeat)`` with key 0, or ``Failure(message)``."""
    decoded = json_body.decode(body, HeartbeatBody, 'heartbeat')
    return decoded.map(lambda heartbeat: target.Heartbeat(
        0, heartbeat.target, heartbeat.service, heartbeat.started_at,
        heartbeat.sequence, heartbeat.slots, heartbeat.leaving,
        heartbeat.cold_ms))


def register(node, pending):
    r"""Register the handlers of the target's requests on an agent.

    Status 200 means that the agent applies the heartbeat or departure.
    """
    @node.routes.route('POST', HEARTBEAT_PATH)
    def heartbeat(body):
        return accept_heartbeat(
            node, pending, parse_heartbeat(body), ANSWER_TIMEOUT_MS)

    @node.routes.route('POST', DEPARTURE_PATH)
    def departure(body):
        parsed = json_body.decode(body, DepartureBody, 'departure')
        if isinstance(parsed, result.Failure):
            return web.json_reply({'error': parsed.failure()}, 400)
        return acknowledge(
            node, pending,
            lambda key: target.Departure(key, parsed.unwrap().target))


def accept_heartbeat(node, pending, parsed, timeout_ms):
    r"""Refuse a heartbeat that no target can have sent, or acknowledge it."""
    checked = parsed.bind(check_heartbeat)
    if isinstance(checked, result.Failure):
        return web.json_reply({'error': checked.failure()}, 400)
    return acknowledge(
        node, pending, lambda key: checked.unwrap().replace(key=key),
        timeout_ms)


def check_heartbeat(heartbeat):
    r"""Return ``Success(Heartbeat)`` or ``Failure(message)``."""
    fault = target.find_fault(heartbeat, clock.unix_ms())
    if fault:
        return result.Failure('heartbeat: %s' % fault)
    return result.Success(heartbeat)


def acknowledge(node, pending, make_message, timeout_ms=ANSWER_TIMEOUT_MS):
    r"""Post a heartbeat or departure; reply once the agent applies it."""
    if pending.ask(node.task, make_message, timeout_ms) is None:
        return web.json_reply({'error': 'no answer in time'}, 503)
    return web.json_reply({})
