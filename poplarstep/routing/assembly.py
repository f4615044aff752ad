r"""Builds the pipeline of a balancer of token flows, for every front end."""

from poplarstep.configuration import catalogue as catalogues
from poplarstep.core import stage
from poplarstep.dissemination import publisher
from poplarstep.dissemination import subscriber
from poplarstep.limits import budget
from poplarstep.limits import shedder
from poplarstep.routing import gate
from poplarstep.routing import opening
from poplarstep.routing import selectors
from poplarstep.routing import state as states

# Modules whose ticks the front end subscribes to.
TICKING = (subscriber, publisher, opening)


def make_pipeline(settings, incarnation, generator, now):
    r"""Return the pipeline of a balancer and the states of its stages.

    Parameters
    ==========

    settings : mapping
        Typed settings by name.
    incarnation : int
        Identifies this run of the node; later runs have larger numbers.
    generator : random.Random
        Source of random numbers of the selectors.
    now : int
        Time of the node's clock in ms.

    Returns
    =======

    tuple
        ``(Pipeline, SubscriberState, BalancerState)``.
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
    balancer = states.make_balancer_state(
        catalogue,
        lambda now: subscriber.lease_holds(subscribed, now) or (
            serves_without_lease and catalogue.version > 0),
        lambda: selectors.make_selector(settings['selector'], generator),
        budget.make_retry_budget(now=now),
        shedder.make_shedder(settings['opens-per-second'], now))
    pipeline = stage.Pipeline([
        (subscriber.SUBSCRIBER, subscribed),
        (publisher.PUBLISHER, published),
        (gate.GATE, balancer),
        (opening.SELECT, balancer),
    ])
    return pipeline, subscribed, balancer
