r"""HTTP interface of an agent for the target beside it.

Explanation
===========

Targets of opaque flows post heartbeats, and a departure before they end.
Bodies are JSON; fields that are not known are refused, so that a misspelt
one does not go unnoticed. A front end of another platform brings its own
interface and posts the same messages.
"""

import typing

import msgspec
from returns import result

from poplarstep.edge import web
from poplarstep.opaque_flows import target

# A target that gets no answer by then posts again.
ANSWER_MS = 1000
MAXIMUM_NUMBER = 2**53
HEARTBEAT_PATH = '/heartbeat'
DEPARTURE_PATH = '/departure'
Name = typing.Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
Number = typing.Annotated[int, msgspec.Meta(ge=0, le=MAXIMUM_NUMBER)]


class HeartbeatBody(msgspec.Struct, forbid_unknown_fields=True):
    r"""A target says what it is; see ``target.Heartbeat``."""

    target: Name
    service: Name
    started_at: Number
    sequence: Number
    slots: typing.Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
    leaving: bool = False
    cold_ms: Number = 0


class DepartureBody(msgspec.Struct, forbid_unknown_fields=True):
    r"""A target says that it ends."""

    target: Name


def parse_heartbeat(body):
    r"""Return ``Success(Heartbeat)`` without a key or ``Failure``."""
    read = _decode(body, HeartbeatBody)
    return read.map(lambda item: target.Heartbeat(
        0, item.target, item.service, item.started_at, item.sequence,
        item.slots, item.leaving, item.cold_ms))


def _decode(body, kind):
    try:
        return result.Success(msgspec.json.decode(body, type=kind))
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return result.Failure(str(error))


def register(node, waiting):
    r"""Serve the calls of the target beside an agent.

    The answer says that the call is in force at this agent.
    """
    @node.routes.route('POST', HEARTBEAT_PATH)
    def heartbeat(body):
        parsed = parse_heartbeat(body)
        if isinstance(parsed, result.Failure):
            return web.json_reply({'error': parsed.failure()}, 400)
        return acknowledge(
            node, waiting, lambda key: parsed.unwrap().replace(key=key))

    @node.routes.route('POST', DEPARTURE_PATH)
    def departure(body):
        parsed = _decode(body, DepartureBody)
        if isinstance(parsed, result.Failure):
            return web.json_reply({'error': parsed.failure()}, 400)
        return acknowledge(
            node, waiting,
            lambda key: target.Departure(key, parsed.unwrap().target))


def acknowledge(node, waiting, make_message, timeout_ms=ANSWER_MS):
    r"""Post a message and answer when what it says is in force."""
    if waiting.ask(node.task, make_message, timeout_ms) is None:
        return web.json_reply({'error': 'no answer in time'}, 503)
    return web.json_reply({})
