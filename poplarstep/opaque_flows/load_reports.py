r"""Reports the load of an agent's target to the balancers of its flows.

Explanation
===========

For long-lived flows, answers to offers are too infrequent to tell balancers
the load of a target. With the setting ``load-reports`` an agent sends its load
to a balancer whose packet has just come, when ``Demand`` says that it is due.
No timer is needed: a balancer that sends nothing is told nothing.
"""

from poplarstep.opaque_flows import agent_state as states
from poplarstep.opaque_flows import message

# Messages after which a balancer is told the load.
CAUSES = frozenset((message.Offer, message.FlowPacket, message.FlowLookup))


def observe(state: states.FlowAgentState, now):
    r"""Account for the requests that ran since the last event of an agent."""
    state.demand.advance(
        min(states.slots(state), state.occupancy.running()), now)


def after_message(state: states.FlowAgentState, event, now):
    r"""Return the report that a balancer is due after a message of it.

    The answer to an offer carries the load, so it counts as a report.
    """
    demand = state.demand
    if not demand.enabled or state.target is None or (
            type(event.message) not in CAUSES):
        return []
    load = states.load(state)
    if type(event.message) is message.Offer:
        demand.was_told(event.source, load, now)
        return []
    if not demand.is_due(event.source, load, now):
        return []
    demand.was_told(event.source, load, now)
    state.counters.load_reports += 1
    return [message.ToNode(event.source, message.LoadReport(load))]
