r"""Messages inside an agent and between it and its target."""

from poplarstep.core import address
from poplarstep.core import record
from poplarstep.flow import packet


class Arrival(record.Record):
    r"""A forwarded packet; ``source`` is the balancer's address.

    ``arrived_at`` is the time in ms at which it was read, before it waited
    in an inbox.
    """

    __slots__ = ('source', 'forwarded', 'arrived_at')

    def __init__(
            self, source: address.Address, forwarded: packet.Forwarded,
            arrived_at: int):
        self.source = source
        self.forwarded = forwarded
        self.arrived_at = arrived_at


class VerifiedOpen(record.Record):
    r"""An ``Open`` that is meant for this target."""

    __slots__ = ('source', 'forwarded')

    def __init__(self, source: address.Address, forwarded: packet.Forwarded):
        self.source = source
        self.forwarded = forwarded


class VerifiedPacket(record.Record):
    r"""A packet whose token names a flow of this agent run."""

    __slots__ = ('path', 'packet')

    def __init__(
            self, path: packet.ReturnPath,
            packet: packet.Request | packet.Cancel | packet.Close):
        self.path = path
        self.packet = packet


class RequestKey(record.Record):
    r"""Identity of a request within one agent run."""

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
    r"""A new request asks for admission; ``deadline`` is clock time in ms."""

    __slots__ = ('key', 'deadline')

    def __init__(self, key: RequestKey, deadline: int):
        self.key = key
        self.deadline = deadline


class Withdraw(record.Record):
    r"""The caller cancelled a request, or its flow has ended."""

    __slots__ = ('key',)

    def __init__(self, key: RequestKey):
        self.key = key


class CallTarget(record.Record):
    r"""Effect: send a request to the target.

    ``deadline_ms`` is the time left, ``idempotency_key`` identifies the
    request to the target.
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
    r"""Effect: tell the target that a request is no longer wanted."""

    __slots__ = ('key', 'idempotency_key')

    def __init__(self, key: RequestKey, idempotency_key: str):
        self.key = key
        self.idempotency_key = idempotency_key


class TargetAnswered(record.Record):
    r"""The target answered a request; ``elapsed_ms`` is the time it took."""

    __slots__ = ('key', 'payload', 'elapsed_ms')

    def __init__(self, key: RequestKey, payload: bytes, elapsed_ms: float):
        self.key = key
        self.payload = payload
        self.elapsed_ms = elapsed_ms


class TargetFailed(record.Record):
    r"""A call to the target failed.

    ``ran`` is False only when the request certainly did not reach the
    target, or the target stated that it did not run it.
    """

    __slots__ = ('key', 'ran', 'reason', 'elapsed_ms')

    def __init__(
            self, key: RequestKey, ran: bool, reason: str,
            elapsed_ms: float):
        self.key = key
        self.ran = ran
        self.reason = reason
        self.elapsed_ms = elapsed_ms


# Failures of a call that leave the connection, and so the target, in place.
ANSWERED_REASONS = ('target-status-', 'target-timeout', 'target-cancelled')


def connection_broke(failed):
    r"""Return whether a failed call tells that the target may be gone.

    Examples
    ========

    >>> key = RequestKey(1, 1)
    >>> connection_broke(TargetFailed(key, True, 'target-status-500', 0.0))
    False
    >>> connection_broke(TargetFailed(key, False, 'target-unreachable', 0.0))
    True

    """
    return not failed.reason.startswith(ANSWERED_REASONS)


class TargetState(record.Record):
    r"""What the target announced to its agent.

    Parameters
    ==========

    address : Address
        HTTP address of the target.
    incarnation : int
        Identifies one run of the target; a new one is in cold start.
    slots, connections : int
        Requests that run at a time, flows that can be held.
    cold_limit : int
        Requests in flight that the target bears in cold start.
    leaving : bool
        The target takes no new work.
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
    r"""The target could not be reached for a while and is silent."""

    __slots__ = ()


class Leave(record.Record):
    r"""The agent has been asked to stop; it takes no new work."""

    __slots__ = ()
