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
    r"""Return ``(Pipeline, SubscriberState, SteeringState)``.

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
    steering = balancer_state.make_steering(
        catalogue,
        lambda now: catalogue.policy is not None and (
            serves_without_lease or subscriber.lease_holds(subscribed, now)),
        placement.make_placement(settings['placement'], generator),
        generator)
    return stage.Pipeline([
        (subscriber.SUBSCRIBER, subscribed),
        (publisher.PUBLISHER, published),
        (balancers.STEER, steering),
    ]), subscribed, steering


def make_agent(settings, incarnation, now):
    r"""Return ``(Pipeline, SubscriberState, HoldState)``."""
    catalogue = catalogues.Catalogue()
    subscribed = subscriber.make_subscriber(
        settings['node'], 'agent', incarnation, catalogue,
        settings['upstreams'])
    held = agent_state.make_hold(settings, catalogue, incarnation, now)
    return stage.Pipeline([
        (presence.PRESENCE, held),
        (subscriber.SUBSCRIBER, subscribed),
        (agents.HOLD, held),
    ]), subscribed, held
