r"""Candidate targets of a flow: a consistent-hash ring for each service.

Explanation
===========

A balancer offers a flow to few targets, the first selectable ones that follow
the flow's hash on the ring of its service, and chooses among these by load.
Every balancer with the same catalogue finds the same candidates, so one that
does not know a flow asks a bounded number of agents for it. A change of the
catalogue moves few candidates, because only the points of the targets that
came or went change.

The ring holds all targets of a service, also those that leave: they still
hold flows.

References
==========

.. [1] D. Karger et al., Consistent Hashing and Random Trees, STOC 1997.
"""

import bisect
import itertools

import xxhash

# Targets among which the load decides where a new flow goes. A further round
# of offers adds as many.
OFFERED_CANDIDATES = 8
# Agents that are asked for an unknown flow. More than OFFERED_CANDIDATES,
# because targets may have been added, or may have left the selection, since
# the flow was opened.
LOOKUP_CANDIDATES = 16
# Points of a target on the ring. More points spread the flows more evenly and
# make a change of the catalogue dearer.
POINTS_PER_TARGET = 16


class Ring:
    r"""Points of the targets of one service, sorted by hash.

    Examples
    ========

    >>> ring = Ring()
    >>> ring.update({1, 2, 3})
    >>> sorted(ring.walk(b'flow'))
    [1, 2, 3]
    >>> first = list(ring.walk(b'flow'))
    >>> ring.update({1, 2, 3, 4})
    >>> [number for number in ring.walk(b'flow') if number != 4] == first
    True

    """

    __slots__ = ('hashes', 'numbers', 'members')

    def __init__(self):
        self.hashes = []
        self.numbers = []
        self.members = set()

    def update(self, members):
        r"""Add and remove points until ``members`` are on the ring."""
        for number in self.members - members:
            self._remove(number)
        for number in members - self.members:
            self._add(number)
        self.members = set(members)

    def _add(self, number):
        for point in _points(number):
            position = bisect.bisect_left(self.hashes, point)
            self.hashes.insert(position, point)
            self.numbers.insert(position, number)

    def _remove(self, number):
        for point in _points(number):
            position = bisect.bisect_left(self.hashes, point)
            while self.numbers[position] != number:
                position += 1
            del self.hashes[position]
            del self.numbers[position]

    def walk(self, flow):
        r"""Yield the numbers of all targets in the order of a flow."""
        count = len(self.hashes)
        start = bisect.bisect_left(self.hashes, xxhash.xxh64_intdigest(flow))
        seen = set()
        for step in range(count):
            number = self.numbers[(start + step) % count]
            if number not in seen:
                seen.add(number)
                yield number
                if len(seen) == len(self.members):
                    return


def _points(number):
    return [
        xxhash.xxh64_intdigest(b'%d/%d' % (number, point))
        for point in range(POINTS_PER_TARGET)]


class CandidateIndex:
    r"""Rings of the services of a catalogue.

    The rings follow the catalogue when they are used after a change.

    Parameters
    ==========

    catalogue : Catalogue
        Configuration of this node.
    """

    __slots__ = ('catalogue', 'version', 'ring_by_service')

    def __init__(self, catalogue):
        self.catalogue = catalogue
        self.version = None
        self.ring_by_service = {}

    def offered(self, service, flow, round_number):
        r"""Return the targets to which a round of offers may go.

        Parameters
        ==========

        service : int
            Number of the service.
        flow : bytes
            Key of the flow.
        round_number : int
            Earlier rounds of offers of this flow; each adds candidates.
        """
        selectable = self.catalogue.selectable_by_service.get(service, ())
        wanted = OFFERED_CANDIDATES * (1 + round_number)
        if len(selectable) <= max(wanted, LOOKUP_CANDIDATES):
            return selectable
        found = []
        for target in self._walk(service, flow):
            if self.catalogue.is_selectable(target):
                found.append(target)
                if len(found) == wanted:
                    break
        return found

    def lookup(self, service, flow, wanted=LOOKUP_CANDIDATES):
        r"""Return ``wanted`` targets that may hold a flow, likely ones first.

        Of a small service all targets are returned.
        """
        targets = self.catalogue.targets_by_service.get(service, {})
        if len(targets) <= LOOKUP_CANDIDATES:
            return tuple(targets.values())
        return list(itertools.islice(self._walk(service, flow), wanted))

    def _walk(self, service, flow):
        self._refresh()
        targets = self.catalogue.targets_by_service[service]
        for number in self.ring_by_service[service].walk(flow):
            yield targets[number]

    def _refresh(self):
        r"""Bring the rings up to the version of the catalogue."""
        if self.version == self.catalogue.version:
            return
        self.version = self.catalogue.version
        targets_by_service = self.catalogue.targets_by_service
        for service in list(self.ring_by_service):
            if service not in targets_by_service:
                del self.ring_by_service[service]
        for service, targets in targets_by_service.items():
            if len(targets) > LOOKUP_CANDIDATES or (
                    service in self.ring_by_service):
                ring = self.ring_by_service.setdefault(service, Ring())
                ring.update(targets.keys())
