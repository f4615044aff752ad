r"""Prefers targets in the balancer's own data centre for new flows.

Explanation
===========

Traffic between data centres is expensive, so the first offers of a flow go to
targets of the balancer's data centre. Other data centres are used when local
targets have no spare capacity: for one flow, when ``LOCAL_OFFERS`` local
targets did not take it or none is left that answers; for all flows of a
service, while it spills. A service starts to spill when the utilisation of its
local targets exceeds ``SPILL_ABOVE`` and stops when it falls below
``SPILL_BELOW``. While it spills, local and other candidates are compared by
their load alone.

Locality chooses among the targets of a service only; the shares of a route
decide the service before. The locality ``auto`` applies the preference only to
services of which the data centre has enough slots.

See Also
========

poplarstep.opaque_flows.local_candidates : the candidates of a flow.
poplarstep.opaque_flows.local_capacity : the services with enough slots.
poplarstep.opaque_flows.load_groups : utilisation of a data centre's targets.
"""

import typing

from poplarstep.core import effect
from poplarstep.core import registry
from poplarstep.opaque_flows import candidates
from poplarstep.opaque_flows import crossings
from poplarstep.opaque_flows import local_candidates
from poplarstep.opaque_flows import local_capacity

if typing.TYPE_CHECKING:
    from poplarstep.opaque_flows import balancer_state as states

DEFAULT_LOCALITY = 'none'
LOCALITIES = registry.Registry('locality')

# Shares of the slots that are busy. With two slots per target the mean wait is
# u**2 / (1 - u**2) service times: 2.6 at 0.85, 1.0 at 0.70. The objectives are
# 8 service times, of which a flow may spend half in queues.
SPILL_ABOVE = 0.85
SPILL_BELOW = 0.70
# Offers to local targets in a round before others are tried. An offer that may
# not be queued is left for another data centre. With 2 local offers, twice as
# many flows left the data centre at 0.6 of its capacity.
LOCAL_OFFERS = 3


class Locality:
    r"""Base class, which treats all data centres alike.

    ``spilling`` holds the numbers of the services that spill.
    """

    __slots__ = ('spilling',)

    def __init__(self, centre_name):
        self.spilling = set()

    def make_index(self, catalogue):
        r"""Return the index of candidates."""
        return candidates.CandidateIndex(catalogue)

    def make_traffic(self, catalogue, agents, counters):
        r"""Return the state of the stage ``CROSSINGS``, None without it."""
        return None

    def extra_offers(self, service):
        r"""Return the offers in a round that may not be queued.

        They are in addition to ``offers.OFFERS_WITHOUT_QUEUE``.
        """
        return 0

    def preferred(
            self, state: 'states.FlowBalancerState',
            tracked: 'states.TrackedFlow', offered, now):
        r"""Return those of the candidates to which a flow may go now."""
        return offered

    def check_spill(self, state: 'states.FlowBalancerState', service, now):
        r"""Return a log entry if a service starts or stops spilling."""
        return []

    def retain(self, services):
        r"""Forget the services that are not in ``services``."""

    def detach(self):
        r"""Make the state of a shallow copy independent of its original."""
        self.spilling = set(self.spilling)


@LOCALITIES.register('none')
class NoLocality(Locality):
    r"""Data centres are treated alike."""

    __slots__ = ()


@LOCALITIES.register('prefer')
class PreferLocal(Locality):
    r"""Targets of the own data centre first, others when these are busy."""

    __slots__ = ('centre_name', 'index')

    def __init__(self, centre_name):
        super().__init__(centre_name)
        self.centre_name = centre_name
        self.index = None

    def make_index(self, catalogue):
        r"""Return the index of candidates, local ones first."""
        self.index = local_candidates.LocalCandidateIndex(
            catalogue, self.centre_name)
        return self.index

    def make_traffic(self, catalogue, agents, counters):
        r"""Return the state of the stage ``CROSSINGS``."""
        return crossings.make_traffic(
            catalogue, agents, counters, self.centre_name)

    def extra_offers(self, service):
        r"""Return one offer more, for another data centre."""
        return 1

    def preferred(
            self, state: 'states.FlowBalancerState',
            tracked: 'states.TrackedFlow', offered, now):
        r"""Return those of the candidates to which a flow may go now.

        All candidates while the service spills. Otherwise the local ones
        until ``LOCAL_OFFERS`` of them did not take the flow, then the others;
        all if none of these is left.
        """
        if tracked.service in self.spilling:
            return offered
        centre = self.index.own_centre()
        tried = tracked.tried_targets
        local = [item for item in offered if item.data_centre == centre]
        if sum(item.number in tried for item in local) < LOCAL_OFFERS and (
                _are_some_answering(state, local, tried, now)):
            return local
        others = [item for item in offered if item.data_centre != centre]
        if _are_some_answering(state, others, tried, now):
            return others
        return offered

    def check_spill(self, state: 'states.FlowBalancerState', service, now):
        r"""Return a log entry if a service starts or stops spilling.

        Without recent reports of local targets nothing is known of their
        utilisation, and the service does not spill: unanswered and rejected
        offers go to other data centres by themselves.
        """
        centre = self.index.own_centre()
        utilization = state.placement.groups.group(
            service, centre).utilization(now)
        was_spilling = service in self.spilling
        limit = SPILL_BELOW if was_spilling else SPILL_ABOVE
        spills = utilization is not None and utilization > limit
        if spills == was_spilling:
            return []
        if spills:
            self.spilling.add(service)
            state.counters.spill_starts += 1
        else:
            self.spilling.discard(service)
            state.counters.spill_stops += 1
        return [effect.LogEvent(
            'spill-started' if spills else 'spill-stopped', (
                ('service', _name(state, service)),
                ('data_centre', self.centre_name),
                ('utilization', 'unknown' if utilization is None
                 else round(utilization, 3)),
                ('version', state.catalogue.version)))]

    def retain(self, services):
        r"""Forget the services that are not in ``services``."""
        self.spilling.intersection_update(services)


@LOCALITIES.register('auto')
class AutoLocality(PreferLocal):
    r"""As ``prefer`` for services with enough local slots, else ``none``.

    Parameters
    ==========

    capacity : LocalCapacity
        Tells which services have enough slots in the data centre.
    preferring : set of int
        Numbers of the services with the preference, as logged last.
    """

    __slots__ = ('capacity', 'preferring')

    def __init__(self, centre_name):
        super().__init__(centre_name)
        self.capacity = None
        self.preferring = set()

    def make_index(self, catalogue):
        r"""Return the index of candidates."""
        self.capacity = local_capacity.make_local_capacity(
            catalogue, self.centre_name)
        self.index = local_candidates.LocalCandidateIndex(
            catalogue, self.centre_name, self.capacity.is_enough)
        return self.index

    def extra_offers(self, service):
        r"""Return one offer more for a service with the preference."""
        return int(self.capacity.is_enough(service))

    def preferred(self, state, tracked, offered, now):
        r"""Return those of the candidates to which a flow may go now."""
        if not self.capacity.is_enough(tracked.service):
            return offered
        return super().preferred(state, tracked, offered, now)

    def check_spill(self, state: 'states.FlowBalancerState', service, now):
        r"""Return log entries for changes of the preference and of a spill.

        A service that loses the preference also stops to spill.
        """
        enough = self.capacity.is_enough(service)
        entries = []
        if enough != (service in self.preferring):
            self.preferring ^= {service}
            entries.append(effect.LogEvent('locality-changed', (
                ('service', _name(state, service)),
                ('data_centre', self.centre_name),
                ('slots', self.capacity.slots(service)),
                ('locality', 'prefer' if enough else 'none'),
                ('version', state.catalogue.version))))
        if enough:
            return entries + super().check_spill(state, service, now)
        self.spilling.discard(service)
        return entries

    def retain(self, services):
        r"""Forget the services that are not in ``services``."""
        super().retain(services)
        self.preferring.intersection_update(services)

    def detach(self):
        r"""Make the state of a shallow copy independent of its original."""
        super().detach()
        self.preferring = set(self.preferring)


def _name(state: 'states.FlowBalancerState', service):
    known = state.catalogue.service_by_number.get(service)
    return service if known is None else known.name


def _are_some_answering(
        state: 'states.FlowBalancerState', targets, tried, now):
    r"""Return whether an untried target is not avoided as unanswering."""
    return any(
        item.number not in tried
        and state.placement.estimate(item.number).avoid_until <= now
        for item in targets)


def choose(
        state: 'states.FlowBalancerState', tracked: 'states.TrackedFlow',
        offered, now):
    r"""Return the target for the next offer of a flow, or None."""
    return state.placement.choose(
        state.locality.preferred(state, tracked, offered, now),
        tracked.tried_targets, now)


def make_locality(name, centre_name):
    r"""Return a locality by its registered name.

    ``centre_name`` names the balancer's own data centre.

    Raises
    ======

    KeyError
        If the name is unknown; settings are checked before.
    """
    return LOCALITIES.entry_by_name[name](centre_name)
