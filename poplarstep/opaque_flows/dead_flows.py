r"""Resets the flows of a target that has ended, at its agent.

Explanation
===========

The callers of these flows would wait until their timeout. The agent knows that
a target has ended when a later instance reports on the same host, when the
agent is stopped after the target has reported its exit, or when a silent
target refuses connections (see ``poplarstep.opaque_flows.target_probe``). It
resets the flows that callers had opened at this target: their packets
acknowledge what the target sent. A reset that is lost is not repeated; the
balancers then find out by a survey that no target holds the flow.

See Also
========

poplarstep.opaque_flows.surveys : resets flows whose agent has ended, too.
"""

import typing

from poplarstep.core import effect
from poplarstep.opaque_flows import message
from poplarstep.opaque_flows import segment as segments

if typing.TYPE_CHECKING:
    from poplarstep.opaque_flows import agent_state as states

# A target exits right after it has reported so, but waits for the answer for
# some seconds if that is lost.
EXIT_TIMEOUT_MS = 5000
# Positions in ``FlowAgentState.last_announcement``.
LEAVING_FIELD = 2
ENDED_FIELD = 4


def reset_all(state: 'states.FlowAgentState', reason):
    r"""Return the resets of the flows that are open at the ended target."""
    if not state.resets_dead_flows:
        return []
    resets = [
        message.ResetFlow(key, flow.acknowledged)
        for key, flow in state.flow_by_key.items() if _is_open_here(flow)]
    if not resets:
        return []
    state.counters.dead_flows_reset += len(resets)
    return resets + [effect.LogEvent('dead-flows-reset', (
        ('flows', len(resets)), ('reason', reason)))]


def _is_open_here(flow: 'states.Flow'):
    return (
        flow.answered and flow.ended_at is None
        and flow.acknowledged != segments.NO_SEQUENCE_NUMBER
        and segments.is_in_window(flow.acknowledged, flow.first_sequence))


def has_ended(state: 'states.FlowAgentState', now):
    r"""Return whether the known target has certainly exited."""
    return state.departed and (
        state.leaving or now - state.departed_at > EXIT_TIMEOUT_MS)
