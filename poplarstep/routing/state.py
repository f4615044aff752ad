r"""State that one balancer owns. None of it is kept per flow."""

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

    ``tried`` holds the numbers of the targets that were asked.
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
    selector_for : callable
        Takes a service number and returns that service's selector.
    """

    __slots__ = (
        'catalogue', 'confirmed', 'selector_for', 'retry_budget', 'shedder',
        'pending_by_attempt', 'next_attempt', 'counters',
        'opens_by_service', 'refused_by_service')

    def __init__(
            self, catalogue, confirmed, selector_for, retry_budget, shedder):
        self.catalogue = catalogue
        self.confirmed = confirmed
        self.selector_for = selector_for
        self.retry_budget = retry_budget
        self.shedder = shedder
        self.pending_by_attempt = {}
        self.next_attempt = 1
        self.counters = BalancerCounters()
        self.opens_by_service = {}
        self.refused_by_service = {}


def make_balancer_state(
        catalogue, confirmed, make_selector, retry_budget, shedder):
    r"""Return the state of a balancer with no open pending.

    ``make_selector`` is called once for each service.
    """
    selector_by_service = {}

    def selector_for(service):
        if service not in selector_by_service:
            selector_by_service[service] = make_selector()
        return selector_by_service[service]

    return BalancerState(
        catalogue, confirmed, selector_for, retry_budget, shedder)
