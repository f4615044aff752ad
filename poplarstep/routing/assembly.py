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

# Modules whose ``TICK`` events the program must send to the pipeline.
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
    subscriber_state = subscriber.make_subscriber(
        settings['node'], 'balancer', incarnation, catalogue,
        settings['upstreams'])
    publisher_state = publisher.make_publisher(
        catalogue, subscriber_state.reports,
        lambda now: subscriber.lease_left(subscriber_state, now),
        lambda: None, publisher.RELAY_HOLD_MS)
    serves_without_lease = settings['without-control'] == 'serve'
    balancer = states.make_balancer_state(
        catalogue,
        lambda now: subscriber.lease_holds(subscriber_state, now) or (
            serves_without_lease and catalogue.version > 0),
        lambda: selectors.make_selector(settings['selector'], generator),
        budget.make_retry_budget(now=now),
        shedder.make_shedder(settings['opens-per-second'], now))
    pipeline = stage.Pipeline([
        (subscriber.SUBSCRIBER, subscriber_state),
        (publisher.PUBLISHER, publisher_state),
        (gate.GATE, balancer),
        (opening.SELECT, balancer),
    ])
    return pipeline, subscriber_state, balancer
