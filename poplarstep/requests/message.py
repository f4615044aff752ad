r"""Messages between the stages of an agent, and to and from its target."""

from poplarstep.core import address
from poplarstep.core import record
from poplarstep.flow import packet


class Arrival(record.Record):
    r"""A packet that a balancer forwarded to this agent.

    ``source`` is the address of the balancer. ``arrived_at`` is the time in
    ms at which the packet was read from the socket, before it waited in the
    inbox of the agent's task.
    """

    __slots__ = ('source', 'forwarded', 'arrived_at')

    def __init__(
            self, source: address.Address, forwarded: packet.Forwarded,
            arrived_at: int):
        self.source = source
        self.forwarded = forwarded
        self.arrived_at = arrived_at


class VerifiedOpen(record.Record):
    r"""An ``Open`` that is addressed to this target."""

    __slots__ = ('source', 'forwarded')

    def __init__(self, source: address.Address, forwarded: packet.Forwarded):
        self.source = source
        self.forwarded = forwarded


class VerifiedPacket(record.Record):
    r"""A packet with a token that this run of the agent issued."""

    __slots__ = ('path', 'packet')

    def __init__(
            self, path: packet.ReturnPath,
            packet: packet.Request | packet.Cancel | packet.Close):
        self.path = path
        self.packet = packet


class RequestKey(record.Record):
    r"""Identity of a request within one run of the agent.

    ``serial`` identifies the flow, ``number`` the request on the flow.
    """

    __slots__ = ('serial', 'number')

    def __init__(self, serial: int, number: int):
        self.serial = serial
        self.number = number

    def __eq__(self, other):
        return (
            type(other) is RequestKey
            and self.serial == other.serial
            and self.number == other.number)

    def __hash__(self):
        return hash((self.serial, self.number))


class Admit(record.Record):
    r"""A new request to be queued; ``deadline`` is clock time in ms."""

    __slots__ = ('key', 'deadline')

    def __init__(self, key: RequestKey, deadline: int):
        self.key = key
        self.deadline = deadline


class Withdraw(record.Record):
    r"""Cancel a request: its caller cancelled it or its flow has ended."""

    __slots__ = ('key',)

    def __init__(self, key: RequestKey):
        self.key = key


class CallTarget(record.Record):
    r"""Effect: send a request to the target.

    ``deadline_ms`` is the time left until the deadline.
    ``idempotency_key`` identifies the request to the target.
    """

    __slots__ = (
        'key', 'idempotency_key', 'idempotent', 'deadline_ms', 'payload')

    def __init__(
            self, key: RequestKey, idempotency_key: str, idempotent: bool,
            deadline_ms: int, payload: bytes):
        self.key = key
        self.idempotency_key = idempotency_key
        self.idempotent = idempotent
        self.deadline_ms = deadline_ms
        self.payload = payload


class CancelCall(record.Record):
    r"""Effect: tell the target to cancel a request."""

    __slots__ = ('key', 'idempotency_key')

    def __init__(self, key: RequestKey, idempotency_key: str):
        self.key = key
        self.idempotency_key = idempotency_key


class TargetAnswered(record.Record):
    r"""The target answered a request after ``elapsed_ms``."""

    __slots__ = ('key', 'payload', 'elapsed_ms')

    def __init__(self, key: RequestKey, payload: bytes, elapsed_ms: float):
        self.key = key
        self.payload = payload
        self.elapsed_ms = elapsed_ms


class TargetFailed(record.Record):
    r"""A call to the target failed.

    ``may_have_run`` is False only if the request certainly did not reach
    the target, or the target stated that it did not run it.
    """

    __slots__ = ('key', 'may_have_run', 'reason', 'elapsed_ms')

    def __init__(
            self, key: RequestKey, may_have_run: bool, reason: str,
            elapsed_ms: float):
        self.key = key
        self.may_have_run = may_have_run
        self.reason = reason
        self.elapsed_ms = elapsed_ms


# Prefixes of the reasons of failed calls that don't mean a broken connection.
CONNECTION_INTACT_REASONS = (
    'target-status-', 'target-timeout', 'target-cancelled')


def connection_broke(failed):
    r"""Return whether a call failed because its connection broke.

    The target may have stopped or restarted then.

    Examples
    ========

    >>> key = RequestKey(1, 1)
    >>> connection_broke(TargetFailed(key, True, 'target-status-500', 0.0))
    False
    >>> connection_broke(TargetFailed(key, False, 'target-unreachable', 0.0))
    True

    """
    return not failed.reason.startswith(CONNECTION_INTACT_REASONS)


class TargetState(record.Record):
    r"""The latest announcement of the target to its agent.

    Parameters
    ==========

    address : Address
        HTTP address of the target.
    incarnation : int
        Identifies one run of the target. A new run starts cold.
    slots, connections : int
        Requests that run at the same time; flows that can be open.
    cold_limit : int
        Requests in flight that the target can handle in a cold start.
    leaving : bool
        Whether the target takes no new work because it is stopping.
    """

    __slots__ = (
        'service', 'address', 'incarnation', 'slots', 'connections',
        'cold_limit', 'leaving')

    def __init__(
            self, service: str, address: address.Address, incarnation: int,
            slots: int, connections: int, cold_limit: int, leaving: bool):
        self.service = service
        self.address = address
        self.incarnation = incarnation
        self.slots = slots
        self.connections = connections
        self.cold_limit = cold_limit
        self.leaving = leaving


class TargetGone(record.Record):
    r"""A connection to the target broke and no announcement followed."""

    __slots__ = ()


class Leave(record.Record):
    r"""The agent has been asked to stop: it drains its flows."""

    __slots__ = ()
