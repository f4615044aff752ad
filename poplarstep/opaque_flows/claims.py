r"""Flows that balancers say a restarted agent's target holds.

Explanation
===========

A balancer sends a restarted agent the flows that it knows, see
``poplarstep.opaque_flows.known_flows``. The agent adds each to its table as
claimed, if it could only answer "uncertain" about the flow otherwise, and
answers lookups of it with "held". A claim is no proof: the flow occupies no
slot and is not counted as open until the target sends a packet of it. If the
target returns a packet of it, the claim is removed and the agent denies the
flow from then on.

A flow whose last packet is older than the target's start ended with an
earlier instance, and is left out. So is every flow of a target that does not
report its start.
"""

import math

from poplarstep.core import effect
from poplarstep.opaque_flows import agent_flows
from poplarstep.opaque_flows import agent_lookups
from poplarstep.opaque_flows import agent_state as states
from poplarstep.opaque_flows import message

# In one run of the agent. With 30 balancers, each can tell it 136 flows. A
# claim takes 264 bytes of memory, so all of them 1 MB.
MAXIMUM_CLAIMS = 4096
# The agent logs the number of claims once, when all balancers have told it:
# they have the configuration with the new incarnation within 4 s, and repeat
# their messages after 500 ms.
LOG_DELAY_MS = 5000


@agent_flows.BALANCER_MESSAGES.handles(message.KnownFlows)
def known_flows(state: states.FlowAgentState, event, now):
    r"""Add the flows that the target may hold to the table as claimed."""
    claims = state.claims
    for item in event.message.flows:
        if claims.accepted >= MAXIMUM_CLAIMS:
            break
        if _is_claimable(state, item, now):
            _claim(state, event.source, item, now)
    if claims.accepted and not claims.is_logged:
        claims.log_at = min(claims.log_at, now + LOG_DELAY_MS)
    return []


def _is_claimable(state: states.FlowAgentState, item, now):
    r"""Return whether the current instance of the target may hold a flow."""
    if state.target is None or not state.target.started_at:
        return False
    unix_ms = state.started_unix_ms + now - state.started_at
    policy = state.catalogue.policy
    idle_limit_ms = policy.flow_idle_ms if policy else states.DEFAULT_IDLE_MS
    return (
        0 <= item.idle_ms < idle_limit_ms
        and unix_ms - item.idle_ms >= state.target.started_at
        and not agent_lookups.knows_flow(state, item.flow)
        and agent_lookups.may_hold_unknown_flow(state, item.flow, now))


def _claim(state: states.FlowAgentState, balancer, item, now):
    r"""Mark a flow as claimed.

    The table has an entry already if a packet of the flow was passed to the
    target, which has not answered it. A full table removes no flow for a
    claim.
    """
    flow = state.flow_by_key.get(item.flow)
    if flow is None:
        if len(state.flow_by_key) >= agent_flows.MAXIMUM_FLOWS:
            return
        flow = states.Flow(balancer, None, now - item.idle_ms)
        state.flow_by_key[item.flow] = flow
    flow.claimed = True
    state.claims.accepted += 1
    state.counters.flows_claimed += 1


def withdraw(state: states.FlowAgentState, key):
    r"""Remove a claim, or a denial, of a flow that is offered as a new one.

    The caller opens it anew: it has to pass admission, and is not taken for a
    copy of an opening packet. Once it has been removed from a full table, the
    agent must not deny it for an earlier flow with the same key.
    """
    state.claims.returned.discard(key)
    flow = state.flow_by_key.get(key)
    if flow is not None and flow.claimed:
        del state.flow_by_key[key]


def record_return(state: states.FlowAgentState, key, flow: states.Flow):
    r"""Deny a claimed flow from now on whose packet the target returned."""
    if flow.claimed:
        state.counters.claims_returned += 1
        state.claims.returned.add(key)


def due_at(state):
    r"""Return when the number of claims is logged, in ms."""
    return state.claims.log_at


def tick(state: states.FlowAgentState, now):
    r"""Log the number of claims, once in each run of the agent."""
    claims = state.claims
    if now < claims.log_at:
        return []
    claims.log_at = math.inf
    claims.is_logged = True
    return [effect.LogEvent('flows-claimed', (
        ('flows', state.counters.flows_claimed),
        ('returned', state.counters.claims_returned),
        ('version', state.catalogue.version)))]
