r"""Builds the agent of opaque flows, for every packet front end."""

from poplarstep.configuration import catalogue as catalogues
from poplarstep.core import stage
from poplarstep.dissemination import subscriber
from poplarstep.opaque_flows import agent as agents
from poplarstep.opaque_flows import agent_state
from poplarstep.opaque_flows import presence

# Modules whose ``TICK`` events the program must send to the pipeline.
TICKING = (subscriber, agents)


def make_agent(settings, incarnation, now) -> tuple[
        stage.Pipeline, subscriber.SubscriberState,
        agent_state.FlowAgentState]:
    r"""Return ``(Pipeline, SubscriberState, FlowAgentState)``."""
    catalogue = catalogues.Catalogue()
    subscriber_state = subscriber.make_subscriber(
        settings['node'], 'agent', incarnation, catalogue,
        settings['upstreams'])
    flow_agent = agent_state.make_flow_agent(
        settings, catalogue, incarnation, now)
    return stage.Pipeline([
        (presence.PRESENCE, flow_agent),
        (subscriber.SUBSCRIBER, subscriber_state),
        (agents.AGENT, flow_agent),
    ]), subscriber_state, flow_agent
