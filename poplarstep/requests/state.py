r"""State of one agent: its target, flows and request records."""

import collections
import enum

from poplarstep.core import record
from poplarstep.core import verdict as verdicts


# Share of its connections that a cold target may have open, at least one.
COLD_CONNECTIONS_PERCENT = 25


class Phase(enum.IntEnum):
    r"""Progress of a request; phases below ANSWERED have no result yet."""

    QUEUED = 0
    DISPATCHED = 1
    ANSWERED = 2
    REFUSED = 3


class RequestRecord(record.Record):
    r"""State of one request and its result.

    ``path`` is the return path of the latest copy of the request, because
    the address of the caller may have changed. ``cancelled`` is set if the
    request was cancelled while it was running; it is not dispatched again
    if the target reports that it did not run.
    """

    __slots__ = (
        'phase', 'path', 'flow_key', 'idempotent', 'deadline', 'payload',
        'parts', 'verdict', 'reason', 'cancelled')

    def __init__(
            self, path, flow_key, idempotent, deadline, payload):
        self.phase = Phase.QUEUED
        self.path = path
        self.flow_key = flow_key
        self.idempotent = idempotent
        self.deadline = deadline
        self.payload = payload
        self.parts = ()
        self.verdict = verdicts.Verdict.MAY_HAVE_RUN
        self.reason = ''
        self.cancelled = False


class Flow(record.Record):
    r"""One flow.

    ``caller`` is the address from which the flow was opened. All requests
    with numbers below ``window_start`` have been acknowledged.
    """

    __slots__ = (
        'flow_key', 'caller', 'last_seen', 'window_start', 'record_by_number')

    def __init__(self, flow_key, caller, last_seen):
        self.flow_key = flow_key
        self.caller = caller
        self.last_seen = last_seen
        self.window_start = 1
        self.record_by_number = {}


class AgentCounters:
    r"""Counts of events since the agent started; exported as metrics."""

    __slots__ = (
        'opened', 'open_refused', 'dispatched', 'answered', 'resent',
        'refused_not_run', 'refused_may_have_run', 'misrouted', 'failed',
        'flows_expired', 'target_silences', 'answers_dropped',
        'duplicate_opens')

    def __init__(self):
        for name in self.__slots__:
            setattr(self, name, 0)


class AgentState:
    r"""State of one agent.

    Parameters
    ==========

    node : str
        Name of the node and of the target.
    data_centre : str
        Name of the data centre from the settings.
    agent_address : Address
        UDP address at which balancers reach this agent.
    incarnation : int
        Identifies this run of the agent.
    catalogue : Catalogue
        The agent's copy of the configuration.
    flow_idle_ms : int
        A flow without a packet for this time ends.
    answer_bytes_limit : int
        Bytes of recorded answers that are kept for resends.
    target : TargetState or None
        Latest announcement of the target.
    dispatch_allowed_at : int or None
        Time in ms before which nothing is dispatched to the target; None
        until the target has announced itself.
    cold : bool
        Whether the ramp has not reached the slots of the target since a
        reset.
    leaving : bool
        Whether the agent has been asked to stop.
    silent : bool
        Whether the target has stopped announcing itself.
    announced_at : int
        Time in ms of the latest announcement.
    flow_by_serial : OrderedDict
        Open flows in the order in which they become idle.
    serial_by_opener : dict
        Serials by address of the caller and flow key, to detect duplicate
        ``Open`` packets.
    last_number_by_serial : dict
        Highest request number of flows that the agent has terminated.
    drain_deadline_at : int or None
        Time in ms at which the flows of a draining target end.
    answer_bytes, answer_size_by_key : int, dict
        Total size and sizes of the stored answers.
    """

    __slots__ = (
        'node', 'data_centre', 'agent_address', 'incarnation', 'catalogue',
        'flow_idle_ms', 'answer_bytes_limit', 'target',
        'dispatch_allowed_at', 'cold', 'revision', 'leaving', 'silent',
        'announced_at', 'next_serial', 'flow_by_serial', 'serial_by_opener',
        'last_number_by_serial', 'drain_deadline_at', 'answer_bytes',
        'answer_size_by_key', 'counters')

    def __init__(
            self, node, data_centre, agent_address, incarnation, catalogue,
            flow_idle_ms, answer_bytes_limit):
        self.node = node
        self.data_centre = data_centre
        self.agent_address = agent_address
        self.incarnation = incarnation
        self.catalogue = catalogue
        self.flow_idle_ms = flow_idle_ms
        self.answer_bytes_limit = answer_bytes_limit
        self.target = None
        self.dispatch_allowed_at = None
        self.cold = True
        self.revision = 0
        self.leaving = False
        self.silent = False
        self.announced_at = 0
        self.next_serial = 1
        self.flow_by_serial = collections.OrderedDict()
        self.serial_by_opener = {}
        self.last_number_by_serial = {}
        self.drain_deadline_at = None
        self.answer_bytes = 0
        self.answer_size_by_key = {}
        self.counters = AgentCounters()


def make_agent_state(
        node, data_centre, agent_address, incarnation, catalogue,
        flow_idle_ms=3_600_000, answer_bytes_limit=16 * 1024 * 1024):
    r"""Return the state of an agent without an announced target."""
    return AgentState(
        node, data_centre, agent_address, incarnation, catalogue,
        flow_idle_ms, answer_bytes_limit)


def connection_limit(state):
    r"""Return the number of flows that may be open at the target now."""
    if not state.cold:
        return state.target.connections
    return max(
        1, state.target.connections * COLD_CONNECTIONS_PERCENT // 100)


def may_dispatch(state, now):
    r"""Return whether requests may be dispatched to the target.

    Not while the target is silent: it may have ended, and a target of another
    service may have taken over its address.
    """
    return state.target is not None and not state.silent and (
        now >= state.dispatch_allowed_at)


def drain_deadline_passed(state, now):
    r"""Return whether the drain deadline of the target has passed."""
    return state.drain_deadline_at is not None and (
        now >= state.drain_deadline_at)


def own_target(state):
    r"""Return this agent's target in the configuration, or None.

    None is returned until the configuration has the incarnation of this run
    and the service that the target announces.
    """
    target = state.catalogue.target_by_name.get(state.node)
    if target is None or target.incarnation != state.incarnation or (
            state.target is None):
        return None
    service = state.catalogue.service_by_number.get(target.service)
    if service is None or service.name != state.target.service:
        return None
    return target


def request_record(state, key):
    r"""Return the record of a ``RequestKey``, or None if it was dropped."""
    flow = state.flow_by_serial.get(key.serial)
    if flow is None:
        return None
    return flow.record_by_number.get(key.number)


def idempotency_key(state, key):
    r"""Return the text that identifies a request to the target."""
    return '%x-%x-%d' % (state.incarnation, key.serial, key.number)


def unfinished(state):
    r"""Return the number of requests without an answer or refusal."""
    return sum(
        request.phase <= Phase.DISPATCHED
        for flow in state.flow_by_serial.values()
        for request in flow.record_by_number.values())
