r"""Asks agents which of them holds an unknown flow, and resets dead flows.

Explanation
===========

The search for the agent of a flow has two steps.

1. Every agent of the targets of the services that may hold the flow is asked:
   those of the candidates at once, the others in surveys, which ask for many
   flows in one message. An agent that holds the flow gets its packets.
2. When all have answered and none holds the flow, a packet goes to the agents
   that may hold it (see ``poplarstep.opaque_flows.uncertain_agents``). They
   are asked again afterwards: the one whose target answered the packet knows
   the flow now.

A flow that all agents deny is open nowhere. Its caller, which would wait until
its timeout, is reset. An agent denies a flow if it has seen everything that
its target received since the target's start, or if its target has returned a
packet of the flow.

An agent that does not answer prevents the reset. So does a configuration that
was last confirmed before the packet came: it may lack a target that was added
shortly before. A target whose agent has been silent until the control hosts
removed it does not count: callers have waited for it for longer than that.
"""

import collections
import itertools
import math
import typing

from poplarstep.core import effect
from poplarstep.opaque_flows import lookup_budget
from poplarstep.opaque_flows import message
from poplarstep.opaque_flows import pending_flows
from poplarstep.opaque_flows import segment as segments
from poplarstep.opaque_flows import uncertain_agents

if typing.TYPE_CHECKING:
    from poplarstep.opaque_flows import balancer_state as states

# Flows in one message, which then has 1,341 bytes and fits a packet of 1,500.
FLOWS_PER_SURVEY = 40
# Surveys that contain a flow. Agents that have not answered are asked again,
# at shorter intervals than a restart takes, 0.8 s.
MAXIMUM_ROUNDS = 12
FIRST_INTERVAL_MS = 150
MAXIMUM_INTERVAL_MS = 600
# Time between two evaluations of the pending flows. Flows that arrive
# meanwhile share the messages of the next survey.
SURVEY_INTERVAL_MS = 40
# Agents whose answers one evaluation of the pending flows looks at, some 5 ms
# of a core every 40 ms. 5,000 agents take 11 ms, most of a host with 0.39 of a
# core.
MAXIMUM_EVALUATED_AGENTS = 2250
# Flows whose candidates are asked one by one. The flows beyond wait for the
# next survey, which takes fewer messages for all of them.
MAXIMUM_QUERIED_FLOWS = 8
# Time between two evaluations of a flow for which no answer has come: while an
# uncertain agent has a packet, and otherwise.
CHECK_INTERVAL_MS = 120
MAXIMUM_CHECK_INTERVAL_MS = 1000
# Callers repeat a packet after 1.6 s at most. One whose last packet is older
# than two such intervals has given up or has been answered.
MAXIMUM_PACKET_AGE_MS = 4000
# Agents that are asked for one flow at once. Of more, a sample is asked; the
# others are asked in later rounds.
MAXIMUM_MESSAGES = 400


def ask_candidates(state: 'states.FlowBalancerState', packet, agents, now):
    r"""Return the questions to the agents of a new flow's candidates.

    While other flows wait for the budget, or less than half of it is left,
    the flow goes straight to the next survey, which takes fewer bytes for
    many flows and is in the order of arrival.
    """
    surveys = state.surveys
    pending = surveys.pending_by_flow[packet.flow]
    # Two targets have the same agent while one is renamed.
    agents = dict.fromkeys(agents, now)
    size = len(agents) * lookup_budget.QUERY_BYTES
    if len(surveys.pending_by_flow) > MAXIMUM_QUERIED_FLOWS:
        return []
    if surveys.query_queue or not surveys.query_budget.try_take(
            size, now, reserve=surveys.query_budget.burst // 2):
        return []
    state.counters.lookup_messages += len(agents)
    pending.asked_at = {**agents, **pending.asked_at}
    query = message.FlowQuery(packet.flow, packet.acknowledged)
    return [message.ToNode(agent, query) for agent in agents]


def due_at(state):
    r"""Return when the surveys need a tick, in ms."""
    surveys = state.surveys
    return surveys.evaluate_at if surveys.pending_by_flow else math.inf


def tick(state: 'states.FlowBalancerState', now):
    r"""Evaluate the pending flows; return messages and resets."""
    surveys = state.surveys
    if not surveys.pending_by_flow or now < surveys.evaluate_at:
        return []
    surveys.evaluate_at = now + SURVEY_INTERVAL_MS
    effects = []
    for flow, pending in list(surveys.pending_by_flow.items()):
        if pending.tracked.agent is not None or (
                state.tracked_by_flow.get(flow) is not pending.tracked):
            # The flow was found otherwise, or opened again.
            pending_flows.forget(state, flow)
            effects.extend(pending_flows.found(state, pending.tracked))
        elif now >= pending.check_at:
            surveys.check_queue.setdefault(flow)
    effects.extend(_check_due_flows(state, now))
    effects.extend(_ask(state, now))
    if state.pauses.resumed_at is not None:
        # Answers may still wait in the socket.
        return effects
    return effects + uncertain_agents.send(state, now)


def _check_due_flows(state: 'states.FlowBalancerState', now):
    r"""Evaluate the flows that are due; of many, the others wait."""
    surveys = state.surveys
    effects, evaluated = [], 0
    while surveys.check_queue and evaluated < MAXIMUM_EVALUATED_AGENTS:
        flow = next(iter(surveys.check_queue))
        del surveys.check_queue[flow]
        pending = surveys.pending_by_flow[flow]
        undecided = pending_flows.undecided_agents(state, flow, pending)
        evaluated += len(undecided or ()) + len(pending.denied_by)
        effects.extend(_check(state, flow, pending, undecided, now))
    return effects


def _check(
        state: 'states.FlowBalancerState', flow,
        pending: pending_flows.PendingFlow, undecided, now):
    r"""Give up, reset or go on looking for a flow; return the effects."""
    # After a pause, packets and answers may still wait in the socket.
    if undecided is None or (
            state.pauses.resumed_at is None
            and _has_expired(pending, undecided, now)):
        state.counters.surveys_given_up += 1
        pending_flows.drop(state, flow)
        return []
    if not undecided:
        return _end(state, flow, pending, now)
    _queue(state, flow, pending, undecided, now)
    return []


def _has_expired(pending: pending_flows.PendingFlow, undecided, now):
    if now - pending.packet_at > MAXIMUM_PACKET_AGE_MS:
        return True
    return bool(undecided) and (
        pending.rounds >= MAXIMUM_ROUNDS and now >= pending.next_at)


def _queue(
        state: 'states.FlowBalancerState', flow,
        pending: pending_flows.PendingFlow, undecided, now):
    r"""Add a flow to the queues of questions and of packets if it is due.

    It is checked again when an answer or a packet comes, or something else
    that it waits for is due.
    """
    times = [now + MAXIMUM_CHECK_INTERVAL_MS]
    unblocked_at = uncertain_agents.unblocked_at(pending, undecided)
    if now < unblocked_at:
        times.append(unblocked_at)
    elif uncertain_agents.recipients(pending, undecided, now):
        state.surveys.packet_queue.setdefault(flow)
    if pending.tracked.passed_at_by_agent:
        times.append(now + CHECK_INTERVAL_MS)
    if now < pending.rest_at:
        times.append(pending.rest_at)
    if now < pending.next_at:
        times.append(pending.next_at)
    elif _unanswered(pending, undecided):
        state.surveys.query_queue.setdefault(flow)
    pending.check_at = min(times)


def _unanswered(pending: pending_flows.PendingFlow, undecided):
    r"""Return the agents that must be asked."""
    return uncertain_agents.silent(pending, undecided) + (
        uncertain_agents.unasked(pending, undecided))


def _end(
        state: 'states.FlowBalancerState', flow,
        pending: pending_flows.PendingFlow, now):
    r"""Reset a flow that all agents deny, once the configuration is confirmed.

    A flow without data is not reset: its packet may be the last one of a
    flow that has been closed.
    """
    if not pending.packet.has_data:
        pending_flows.drop(state, flow)
        return []
    pending.check_at = now + SURVEY_INTERVAL_MS
    if not pending.denied_by or (
            state.surveys.confirmed_since(now) < pending.arrived_at):
        return []
    state.counters.dead_flows_reset += 1
    packet = pending.packet
    pending_flows.drop(state, flow)
    state.tracked_by_flow.pop(flow, None)
    return [
        message.ResetFlow(flow, packet.acknowledged),
        effect.LogEvent('dead-flow-reset', (
            ('flow', segments.describe(flow)),
            ('denied_by', len(pending.denied_by)),
            ('rounds', pending.rounds),
            ('waited_ms', now - pending.arrived_at),
            ('version', state.catalogue.version)))]


def _ask(state: 'states.FlowBalancerState', now):
    r"""Send one message about several flows to each agent."""
    surveys = state.surveys
    batch, size = _choose_batch(state, now)
    state.counters.survey_delays += bool(surveys.query_queue)
    if not batch:
        return []
    flows_by_agent = collections.defaultdict(list)
    for flow, pending, agents in batch:
        surveyed = message.SurveyedFlow(flow, pending.packet.acknowledged)
        for agent in agents:
            flows_by_agent[agent].append(surveyed)
            pending.asked_at.setdefault(agent, now)
        pending.next_at = now + min(
            MAXIMUM_INTERVAL_MS, FIRST_INTERVAL_MS * 2 ** pending.rounds)
        pending.rounds += 1
        pending.check_at = min(pending.check_at, pending.next_at)
    surveys.query_budget.try_take(size, now)
    surveys.number += 1
    state.counters.surveys += 1
    state.counters.survey_messages += len(flows_by_agent)
    return [
        message.ToNode(agent, message.FlowSurvey(
            surveys.number, tuple(flows)))
        for agent, flows in flows_by_agent.items()]


def _choose_batch(state: 'states.FlowBalancerState', now):
    r"""Take the flows of the next survey from their queue.

    Returns them with the bytes of the messages. They are the first ones for
    which the budget suffices; none overtakes one for which it does not. If it
    does not suffice for all of a survey, they wait until half of it is there:
    a message for each flow alone takes more than twice the bytes.
    """
    surveys = state.surveys
    batch, known, entries, size = [], set(), 0, 0
    for flow in list(itertools.islice(
            surveys.query_queue, FLOWS_PER_SURVEY)):
        pending = surveys.pending_by_flow[flow]
        agents = _unanswered(pending, pending_flows.undecided_agents(
            state, flow, pending) or ())
        if len(agents) > MAXIMUM_MESSAGES:
            agents = state.random.sample(agents, MAXIMUM_MESSAGES)
        known.update(agents)
        entries += len(agents)
        wanted = lookup_budget.survey_bytes(len(known), entries)
        if not surveys.query_budget.has(wanted, now):
            if not surveys.query_budget.has(
                    0, now, surveys.query_budget.burst // 2):
                return [], 0
            break
        size = wanted
        batch.append((flow, pending, agents))
    for flow, _, _ in batch:
        del surveys.query_queue[flow]
    return [item for item in batch if item[2]], size


def process_reply(state: 'states.FlowBalancerState', source, reply, now):
    r"""Record an agent's answer; return the pending flows that it holds."""
    for flow in reply.denied:
        pending_flows.record_denial(state, flow, source)
    for flow in reply.uncertain:
        pending_flows.record_uncertain(state, flow, source, now)
    return [
        flow for flow in reply.held if flow in state.surveys.pending_by_flow]
