r"""State of a balancer of token flows; it keeps none per flow."""

from poplarstep.core import record


class BalancerCounters:
    r"""Counts of packets and decisions since the balancer started."""

    __slots__ = (
        'packets', 'forwarded', 'opens', 'opened', 'open_retried',
        'refused_unconfirmed', 'refused_service', 'refused_data_centre',
        'refused_no_target', 'refused_busy', 'refused_shed', 'open_lost',
        'stale_outcomes', 'paused', 'expired')

    def __init__(self):
        for name in self.__slots__:
            setattr(self, name, 0)


class PendingOpen(record.Record):
    r"""An ``Open`` that waits for an agent's answer.

    ``tried`` holds the numbers of all targets to which it was sent.
    """

    __slots__ = ('ingress', 'service', 'target', 'tried', 'sent_at')

    def __init__(self, ingress, service, target, tried, sent_at):
        self.ingress = ingress
        self.service = service
        self.target = target
        self.tried = tried
        self.sent_at = sent_at


class BalancerState:
    r"""State of one balancer.

    Parameters
    ==========

    catalogue : Catalogue
        The node's copy of the configuration.
    confirmed : callable
        Takes ``now`` and returns whether the configuration is confirmed.
    make_selector : callable
        Returns a new selector; called once for each service.
    """

    __slots__ = (
        'catalogue', 'confirmed', 'make_selector', 'selector_by_service',
        'retry_budget', 'shedder', 'pending_by_attempt', 'next_attempt',
        'counters', 'opens_by_service', 'refused_by_service')

    def __init__(
            self, catalogue, confirmed, make_selector, retry_budget,
            shedder):
        self.catalogue = catalogue
        self.confirmed = confirmed
        self.make_selector = make_selector
        self.selector_by_service = {}
        self.retry_budget = retry_budget
        self.shedder = shedder
        self.pending_by_attempt = {}
        self.next_attempt = 1
        self.counters = BalancerCounters()
        self.opens_by_service = {}
        self.refused_by_service = {}

    def selector_for(self, service):
        r"""Return the selector of a service, created at its first use."""
        selector = self.selector_by_service.get(service)
        if selector is None:
            selector = self.make_selector()
            self.selector_by_service[service] = selector
        return selector


def make_balancer_state(
        catalogue, confirmed, make_selector, retry_budget, shedder):
    r"""Return the state of a balancer without pending opens."""
    return BalancerState(
        catalogue, confirmed, make_selector, retry_budget, shedder)
