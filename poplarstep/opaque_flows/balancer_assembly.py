r"""Builds the balancer of opaque flows, for every packet front end."""

from poplarstep.configuration import catalogue as catalogues
from poplarstep.core import stage
from poplarstep.dissemination import publisher
from poplarstep.dissemination import subscriber
from poplarstep.opaque_flows import balancer as balancers
from poplarstep.opaque_flows import balancer_state
from poplarstep.opaque_flows import crossings
from poplarstep.opaque_flows import ejection
from poplarstep.opaque_flows import known_flows
from poplarstep.opaque_flows import locality
from poplarstep.opaque_flows import pending_flows
from poplarstep.opaque_flows import placement

# Modules whose ``TICK`` events the program must send to the pipeline.
TICKING = (subscriber, publisher, balancers)


def make_balancer(settings, incarnation, generator, now) -> tuple[
        stage.Pipeline, subscriber.SubscriberState,
        balancer_state.FlowBalancerState]:
    r"""Return ``(Pipeline, SubscriberState, FlowBalancerState)``.

    Parameters
    ==========

    settings : mapping
        Typed settings by name.
    incarnation : int
        Identifies this run of the node; later runs have larger numbers.
    generator : random.Random
        Source of random numbers for choosing targets and services.
    now : int
        Not used; it is the argument of every builder of a pipeline.
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
    flow_balancer = balancer_state.make_flow_balancer(
        catalogue,
        lambda now: catalogue.policy is not None and (
            serves_without_lease
            or subscriber.lease_holds(subscriber_state, now)),
        placement.make_placement(settings['placement'], generator),
        generator,
        pending_flows.make_surveys(
            settings['dead-flows'] == 'reset',
            lambda now: subscriber_state.lease_until - publisher.LEASE_MS,
            settings['lookup-rate']),
        settings['tied-offers'],
        locality.make_locality(
            settings['locality'], settings['data-centre']))
    flow_balancer.placement.ejection = ejection.make_ejection(
        settings['avoid-failing'], catalogue)
    flow_balancer.known_flows = known_flows.make_known_flows(
        settings.get('known-flows') == 'send')
    steps = [
        (subscriber.SUBSCRIBER, subscriber_state),
        (publisher.PUBLISHER, publisher_state),
        (balancers.BALANCER, flow_balancer),
    ]
    if flow_balancer.traffic is not None:
        steps.append((crossings.CROSSINGS, flow_balancer.traffic))
    return stage.Pipeline(steps), subscriber_state, flow_balancer
