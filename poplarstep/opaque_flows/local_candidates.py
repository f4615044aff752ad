r"""Candidates of a flow that are in the balancer's data centre first.

Explanation
===========

A further ring for each large service holds the targets of the balancer's own
data centre, at the same points as the ring of the service. The first targets
on it are therefore those that a walk over the whole ring would find first in
this data centre, without passing the targets of others. The other candidates
come from the ring of the service. Both walks examine a bounded number of
targets.

Balancers of each data centre thus have candidates of their own. A lookup asks
the first targets of every data centre, so it reaches all that a balancer in
any of up to three data centres may have chosen in the first round.
"""

import itertools

from poplarstep.opaque_flows import candidates

# Of the candidates of a round; the others are in other data centres. A lookup
# covers as many in each of three data centres.
LOCAL_CANDIDATES = 5
# Targets that a walk examines in a round. Targets that are leaving or in
# another data centre are passed over.
MAXIMUM_EXAMINED = 128


class LocalCandidateIndex(candidates.CandidateIndex):
    r"""Rings of the services and of their targets in one data centre.

    Parameters
    ==========

    catalogue : Catalogue
        Configuration of this node.
    centre_name : str
        Name of the balancer's own data centre.
    prefers_local : callable
        Takes the number of a service; returns whether its candidates are to
        be local ones first. The others have candidates of all data centres.
    """

    __slots__ = (
        'centre_name', 'prefers_local', 'local_version',
        'local_ring_by_service')

    def __init__(
            self, catalogue, centre_name, prefers_local=lambda service: True):
        super().__init__(catalogue)
        self.centre_name = centre_name
        self.prefers_local = prefers_local
        self.local_version = None
        self.local_ring_by_service = {}

    def own_centre(self):
        r"""Return the number of the own data centre, None if unknown."""
        centre = self.catalogue.data_centre_by_name.get(self.centre_name)
        return None if centre is None else centre.number

    def offered(self, service, flow, round_number):
        r"""Return the candidates of a round, local ones first.

        All selectable targets of a small service are returned, in any order.
        """
        centre = self.own_centre()
        selectable = self.catalogue.selectable_by_service.get(service, ())
        wanted = candidates.OFFERED_CANDIDATES * (1 + round_number)
        if centre is None or not self.prefers_local(service) or (
                len(selectable) <= max(wanted, candidates.LOOKUP_CANDIDATES)):
            return super().offered(service, flow, round_number)
        examined = MAXIMUM_EXAMINED * (1 + round_number)
        local = []
        if not self.catalogue.data_centre_out(centre):
            local = list(itertools.islice(
                filter(self.catalogue.is_selectable, self._walk_local(
                    service, flow, examined)),
                LOCAL_CANDIDATES * (1 + round_number)))
        others = (
            target for target in itertools.islice(
                self._walk(service, flow), examined)
            if target.data_centre != centre
            and self.catalogue.is_selectable(target))
        return local + list(itertools.islice(others, wanted - len(local)))

    def lookup(self, service, flow, wanted=candidates.LOOKUP_CANDIDATES):
        r"""Return targets that may hold a flow, likely ones first.

        Of every data centre at most ``LOCAL_CANDIDATES`` are returned while
        others have targets left. A route with several services does not
        lower the number for each of them.
        """
        targets = self.catalogue.targets_by_service.get(service, {})
        if wanted > candidates.LOOKUP_CANDIDATES or (
                not self.prefers_local(service)
                or len(targets) <= candidates.LOOKUP_CANDIDATES):
            return super().lookup(service, flow, wanted)
        found, passed, count_by_centre = [], [], {}
        for target in itertools.islice(
                self._walk(service, flow), MAXIMUM_EXAMINED):
            count = count_by_centre.get(target.data_centre, 0)
            count_by_centre[target.data_centre] = count + 1
            if count >= LOCAL_CANDIDATES:
                passed.append(target)
                continue
            found.append(target)
            if len(found) == candidates.LOOKUP_CANDIDATES:
                return found
        return (found + passed)[:candidates.LOOKUP_CANDIDATES]

    def _walk_local(self, service, flow, examined):
        self._refresh_local()
        targets = self.catalogue.targets_by_service[service]
        ring = self.local_ring_by_service[service]
        for number in itertools.islice(ring.walk(flow), examined):
            yield targets[number]

    def _refresh_local(self):
        r"""Bring the rings of the own data centre up to the catalogue."""
        if self.local_version == self.catalogue.version:
            return
        self.local_version = self.catalogue.version
        centre = self.own_centre()
        targets_by_service = self.catalogue.targets_by_service
        for service in list(self.local_ring_by_service):
            if service not in targets_by_service:
                del self.local_ring_by_service[service]
        for service, targets in targets_by_service.items():
            if len(targets) > candidates.LOOKUP_CANDIDATES:
                ring = self.local_ring_by_service.setdefault(
                    service, candidates.Ring())
                ring.update({
                    number for number, target in targets.items()
                    if target.data_centre == centre})
