r"""Builds the pipelines of opaque flows, for every packet front end."""

from poplarstep.configuration import catalogue as catalogues
from poplarstep.core import stage
from poplarstep.dissemination import publisher
from poplarstep.dissemination import subscriber
from poplarstep.steering import agent as agents
from poplarstep.steering import agent_state
from poplarstep.steering import balancer as balancers
from poplarstep.steering import balancer_state
from poplarstep.steering import placement
from poplarstep.steering import presence

# Modules whose ticks the front end subscribes to.
BALANCER_TICKING = (subscriber, publisher, balancers)
AGENT_TICKING = (subscriber, agents)


def make_balancer(settings, incarnation, generator, now):
    r"""Return ``(Pipeline, SubscriberState, FlowBalancerState)``.

    Parameters
    ==========

    settings : mapping
        Typed settings by name.
    generator : random.Random
        Source of random numbers for choosing targets and services.
    """
    catalogue = catalogues.Catalogue()
    subscribed = subscriber.make_subscriber(
        settings['node'], 'balancer', incarnation, catalogue,
        settings['upstreams'])
    published = publisher.make_publisher(
        catalogue, subscribed.reports,
        lambda now: subscriber.lease_left(subscribed, now),
        lambda: None, publisher.RELAY_HOLD_MS)
    serves_without_lease = settings['without-control'] == 'serve'
    flow_balancer = balancer_state.make_flow_balancer(
        catalogue,
        lambda now: catalogue.policy is not None and (
            serves_without_lease or subscriber.lease_holds(subscribed, now)),
        placement.make_placement(settings['placement'], generator),
        generator)
    return stage.Pipeline([
        (subscriber.SUBSCRIBER, subscribed),
        (publisher.PUBLISHER, published),
        (balancers.BALANCER, flow_balancer),
    ]), subscribed, flow_balancer


def make_agent(settings, incarnation, now):
    r"""Return ``(Pipeline, SubscriberState, FlowAgentState)``."""
    catalogue = catalogues.Catalogue()
    subscribed = subscriber.make_subscriber(
        settings['node'], 'agent', incarnation, catalogue,
        settings['upstreams'])
    flow_agent = agent_state.make_flow_agent(
        settings, catalogue, incarnation, now)
    return stage.Pipeline([
        (presence.PRESENCE, flow_agent),
        (subscriber.SUBSCRIBER, subscribed),
        (agents.AGENT, flow_agent),
    ]), subscribed, flow_agent
