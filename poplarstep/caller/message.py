r"""Messages between a program and the caller library."""

from poplarstep.core import address
from poplarstep.core import record


class StartFlow(record.Record):
    r"""Open a flow to a service; ``flow_key`` is a random 64-bit number.

    ``deadline_ms`` is the time left to open the flow.
    """

    __slots__ = ('flow_key', 'service', 'deadline_ms')

    def __init__(
            self, flow_key: int, service: address.Address,
            deadline_ms: int):
        self.flow_key = flow_key
        self.service = service
        self.deadline_ms = deadline_ms


class SendRequest(record.Record):
    r"""Send a request on a flow, once the flow is open.

    ``deadline_ms`` is the time left until the outcome is reported.
    """

    __slots__ = ('flow_key', 'payload', 'idempotent', 'deadline_ms')

    def __init__(
            self, flow_key: int, payload: bytes, idempotent: bool,
            deadline_ms: int):
        self.flow_key = flow_key
        self.payload = payload
        self.idempotent = idempotent
        self.deadline_ms = deadline_ms


class CancelRequest(record.Record):
    r"""Cancel a request; ``number`` is its number on the flow, from 1."""

    __slots__ = ('flow_key', 'number')

    def __init__(self, flow_key: int, number: int):
        self.flow_key = flow_key
        self.number = number


class EndFlow(record.Record):
    r"""Close a flow."""

    __slots__ = ('flow_key',)

    def __init__(self, flow_key: int):
        self.flow_key = flow_key


class FlowStarted(record.Record):
    r"""The flow is open; requests may be sent."""

    __slots__ = ('flow_key',)

    def __init__(self, flow_key: int):
        self.flow_key = flow_key


class FlowFailed(record.Record):
    r"""The flow could not be opened; nothing ran."""

    __slots__ = ('flow_key', 'reason')

    def __init__(self, flow_key: int, reason: str):
        self.flow_key = flow_key
        self.reason = reason


class Outcome(record.Record):
    r"""Result of a request.

    Parameters
    ==========

    number : int
        Number of the program's request on the flow, from 1.
    verdict : int
        Value of ``Verdict``: whether the request ran.
    reason : str
        Reason of the refusal or failure; empty with an answer.
    payload : bytes
        The whole answer.
    resends : int
        Number of resent copies, over all attempts.
    """

    __slots__ = (
        'flow_key', 'number', 'verdict', 'reason', 'payload', 'resends')

    def __init__(
            self, flow_key: int, number: int, verdict: int, reason: str,
            payload: bytes, resends: int):
        self.flow_key = flow_key
        self.number = number
        self.verdict = verdict
        self.reason = reason
        self.payload = payload
        self.resends = resends
