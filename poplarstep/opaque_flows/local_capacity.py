r"""Decides for which services a data centre has enough targets of its own.

Explanation
===========

A balancer that prefers the targets of its own data centre chooses among fewer
of them. With few slots, a short burst takes all local slots, and flows go to
the other data centres and back. The preference therefore needs a minimum of
slots. The limit for its end is lower, so that targets that are replaced one
after the other do not switch it off and on.
"""

from poplarstep.opaque_flows import candidates

# The slots that two rounds of offers to candidates reach if each target has
# one slot.
ENABLE_SLOTS = 2 * candidates.OFFERED_CANDIDATES
DISABLE_SLOTS = 12


class LocalCapacity:
    r"""Services of which the own data centre has enough slots.

    Parameters
    ==========

    catalogue : Catalogue
        Configuration of this node.
    centre_name : str
        Name of the balancer's own data centre.
    slots_by_service : dict
        Slots of the selectable local targets of each service, as of
        ``version`` of the catalogue.
    services : set of int
        Numbers of the services with enough slots.
    """

    __slots__ = (
        'catalogue', 'centre_name', 'version', 'slots_by_service', 'services')

    def __init__(self, catalogue, centre_name):
        self.catalogue = catalogue
        self.centre_name = centre_name
        self.version = None
        self.slots_by_service = {}
        self.services = set()

    def is_enough(self, service):
        r"""Return whether the data centre has enough slots of a service."""
        self._refresh()
        return service in self.services

    def slots(self, service):
        r"""Return the number of slots of the selectable local targets."""
        self._refresh()
        return self.slots_by_service.get(service, 0)

    def _refresh(self):
        r"""Bring the numbers up to the version of the catalogue."""
        if self.version == self.catalogue.version:
            return
        self.version = self.catalogue.version
        centre = self.catalogue.data_centre_by_name.get(self.centre_name)
        self.slots_by_service = {
            service: sum(
                target.slots for target in targets
                if centre is not None
                and target.data_centre == centre.number)
            for service, targets
            in self.catalogue.selectable_by_service.items()}
        self.services = {
            service for service, slots in self.slots_by_service.items()
            if slots >= (
                DISABLE_SLOTS if service in self.services else ENABLE_SLOTS)}


def make_local_capacity(catalogue, centre_name) -> LocalCapacity:
    r"""Return the state for a catalogue and the own data centre.

    Examples
    ========

    >>> from poplarstep.configuration import catalogue as catalogues
    >>> capacity = make_local_capacity(catalogues.Catalogue(), 'maadi')
    >>> capacity.is_enough(1), capacity.slots(1)
    (False, 0)

    """
    return LocalCapacity(catalogue, centre_name)
