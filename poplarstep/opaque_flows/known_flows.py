r"""Tells a restarted agent which flows its target holds.

Explanation
===========

An agent loses its table when it restarts, while its target keeps its flows.
The balancers that forwarded these flows still know them. When the
configuration shows a later incarnation of a target's agent at the same
address, the balancer looks through its flow table in slices and sends the
agent the flows that it has accepted, with the time since their last packet.
Datagrams get lost, so the flows are sent a second time.

An agent announces its incarnation once its target has reported to it, so it
can compare the flows with the target's start when they arrive.

See Also
========

poplarstep.opaque_flows.claims : what the agent does with these flows.
"""

import collections
import math
import typing

from poplarstep.configuration import model
from poplarstep.core import effect
from poplarstep.opaque_flows import message

if typing.TYPE_CHECKING:
    from poplarstep.opaque_flows import balancer_state as states

# Limits the time that a tick takes; ticks come every 20 ms.
FLOWS_PER_SLICE = 2000
# A message of 64 flows would have 1,800 bytes and be fragmented; one of 39 has
# less than 1,200. A tick sends one message: at most 60 KB/s, a third of a link
# of 1.5 Mbit/s.
FLOWS_PER_MESSAGE = 39
REPEAT_AFTER_MS = 500
# What an agent accepts, see ``claims.MAXIMUM_CLAIMS``.
MAXIMUM_FLOWS_PER_AGENT = 4096
# Removed targets whose last incarnation is kept: an agent that was silent
# until its target was removed comes back under the same name.
MAXIMUM_REMOVED_TARGETS = 64


class Notice:
    r"""The flows of one restarted agent.

    Parameters
    ==========

    agent : Address
        The agent.
    flows : list of bytes
        Keys of the flows, at most ``MAXIMUM_FLOWS_PER_AGENT``.
    position : int
        Number of flows that have been processed in this pass.
    sent : int
        Number of flows that were sent in this pass; those that have been
        idle for too long, or were found elsewhere, are not.
    repeat_at : int or None
        When the second pass starts, in ms; None during the first.
    """

    __slots__ = ('agent', 'flows', 'position', 'sent', 'repeat_at')

    def __init__(self, agent):
        self.agent = agent
        self.flows = []
        self.position = 0
        self.sent = 0
        self.repeat_at = None

    def is_complete(self):
        r"""Return whether all flows of this pass have been processed."""
        return self.position >= len(self.flows)


class KnownFlowsState:
    r"""Restarted agents and the notices to them.

    Parameters
    ==========

    enabled : bool
        Whether notices are sent.
    version : int
        Version of the catalogue that was last compared.
    incarnation_by_name : dict
        Agent address and incarnation of each target, by its name.
    restarted : dict
        Agents that wait for the next pass through the flow table; the values
        are unused.
    scanned_flows : list of bytes
        Keys of the flow table when the current pass started.
    scan_position : int
        Number of these flows that have been looked at.
    notice_by_agent : dict
        Notices that the current pass fills.
    notices : deque of Notice
        Notices in their first pass, oldest first.
    repeats : deque of Notice
        Notices that are to be sent again, in the order of ``repeat_at``.
    """

    __slots__ = (
        'enabled', 'version', 'incarnation_by_name', 'restarted',
        'scanned_flows', 'scan_position', 'notice_by_agent', 'notices',
        'repeats')

    def __init__(self, enabled):
        self.enabled = enabled
        self.version = 0
        self.incarnation_by_name = {}
        self.restarted = {}
        self.scanned_flows = []
        self.scan_position = 0
        self.notice_by_agent = {}
        self.notices = collections.deque()
        self.repeats = collections.deque()


def make_known_flows(enabled=False) -> KnownFlowsState:
    r"""Return the state of a balancer that knows no target yet."""
    return KnownFlowsState(enabled)


def catalogue_changed(state: 'states.FlowBalancerState'):
    r"""Record which agents have restarted since the last change."""
    known = state.known_flows
    if not known.enabled:
        return
    for target in _changed_targets(state):
        former = known.incarnation_by_name.get(target.name)
        current = (target.agent, target.incarnation)
        known.incarnation_by_name[target.name] = current
        if former is not None and former[0] == target.agent and (
                former[1] < target.incarnation):
            known.restarted[target.agent] = None
    known.version = state.catalogue.version
    _prune(state)


def _changed_targets(state: 'states.FlowBalancerState'):
    r"""Return the targets in the changes since the last call, or all."""
    changes = state.catalogue.changes_since(state.known_flows.version)
    if changes is None:
        return state.catalogue.target_by_number.values()
    return [
        change.body for change in changes
        if type(change.body) is model.Target]


def _prune(state: 'states.FlowBalancerState'):
    incarnations = state.known_flows.incarnation_by_name
    present = state.catalogue.target_by_name
    if len(incarnations) > len(present) + MAXIMUM_REMOVED_TARGETS:
        state.known_flows.incarnation_by_name = {
            name: incarnations[name] for name in present
            if name in incarnations}


def due_at(state):
    r"""Return when the next slice or message is due, in ms."""
    known = state.known_flows
    if known.restarted or known.notice_by_agent or known.notices:
        return 0
    return known.repeats[0].repeat_at if known.repeats else math.inf


def tick(state: 'states.FlowBalancerState', now):
    r"""Look through a slice of the flow table, and send a message."""
    if not state.known_flows.enabled:
        return []
    _scan(state, now)
    return _send_next(state, now)


def _scan(state: 'states.FlowBalancerState', now):
    known = state.known_flows
    if known.restarted and not known.notice_by_agent:
        _start_scan(state)
    if not known.notice_by_agent:
        return
    end = known.scan_position + FLOWS_PER_SLICE
    for flow in known.scanned_flows[known.scan_position:end]:
        tracked = state.tracked_by_flow.get(flow)
        if tracked is None or tracked.agent is None or tracked.is_closed:
            continue
        notice = known.notice_by_agent.get(tracked.agent)
        if notice is not None and (
                len(notice.flows) < MAXIMUM_FLOWS_PER_AGENT
                and now - tracked.last_used < _idle_limit_ms(state)):
            notice.flows.append(flow)
    known.scan_position = end
    if end >= len(known.scanned_flows):
        known.notices.extend(known.notice_by_agent.values())
        known.notice_by_agent = {}
        known.scanned_flows = []


def _start_scan(state: 'states.FlowBalancerState'):
    r"""Start a pass for the agents that have restarted meanwhile.

    Their earlier notices are dropped: the new ones have the same flows. The
    keys are copied, since the table changes between the slices; for 200,000
    flows that takes 1 ms.
    """
    known = state.known_flows
    for notices in (known.notices, known.repeats):
        kept = [
            item for item in notices if item.agent not in known.restarted]
        notices.clear()
        notices.extend(kept)
    known.notice_by_agent = {
        agent: Notice(agent) for agent in known.restarted}
    known.restarted = {}
    known.scanned_flows = list(state.tracked_by_flow)
    known.scan_position = 0


def _idle_limit_ms(state: 'states.FlowBalancerState'):
    r"""Return the idle timeout; no flow is sent without a configuration."""
    policy = state.catalogue.policy
    return policy.flow_idle_ms if policy else 0


def _send_next(state: 'states.FlowBalancerState', now):
    r"""Return the next message, and the log line of a completed notice."""
    known = state.known_flows
    notices = known.notices
    if not notices:
        notices = known.repeats
        if not notices or now < notices[0].repeat_at:
            return []
    notice = notices[0]
    effects = _next_message(state, notice, now)
    if not notice.is_complete():
        return effects
    notices.popleft()
    if notice.repeat_at is not None:
        return effects
    effects.append(effect.LogEvent('known-flows-sent', (
        ('agent', str(notice.agent)), ('flows', notice.sent),
        ('version', state.catalogue.version))))
    state.counters.known_flows_sent += notice.sent
    if notice.sent:
        notice.position = 0
        notice.repeat_at = now + REPEAT_AFTER_MS
        known.repeats.append(notice)
    return effects


def _next_message(state: 'states.FlowBalancerState', notice, now):
    r"""Return the message about the next flows that are still to be sent."""
    end = notice.position + FLOWS_PER_MESSAGE
    items = []
    for flow in notice.flows[notice.position:end]:
        tracked = state.tracked_by_flow.get(flow)
        if tracked is None or tracked.agent != notice.agent:
            continue
        idle_ms = now - tracked.last_used
        if idle_ms < _idle_limit_ms(state):
            items.append(message.KnownFlow(flow, idle_ms))
    notice.position = end
    if not items:
        return []
    notice.sent += len(items)
    return [message.ToNode(
        notice.agent, message.KnownFlows(tuple(items)))]
