r"""Which upstream a subscriber polls.

Explanation
===========

A route is registered by name. ``destination`` takes ``now`` and returns an
inbox or None; ``failed`` notes that no answer came; ``unconfirmed`` notes
an answer without a lease and the leader that it named.
"""

import hashlib

from poplarstep.core import registry

# A node asks the leader that was named to it for this long and then goes
# back to its own upstream, so that the nodes do not all stay at the leader.
LEADER_HINT_MS = 5000

ROUTES = registry.Registry('route')


def spread(name, number, width):
    r"""Return a number below ``width`` that depends on both arguments.

    It takes the place of random jitter, so that runs can be repeated.

    Examples
    ========

    >>> spread('agent-1', 1, 100), spread('agent-2', 1, 100)
    (78, 97)

    """
    # CRC-32 spread names that differ in their last digits unevenly.
    digest = hashlib.blake2b(
        b'%s %d' % (name.encode(), number), digest_size=8).digest()
    return int.from_bytes(digest, 'big') % width


@ROUTES.register('seeds')
class SeedRoute:
    r"""Upstreams that are tried in turn, from one that the name chooses."""

    __slots__ = (
        'configured', 'seeds', 'current', 'leader', 'leader_until',
        'switches')

    def __init__(self, node, seeds):
        self.configured = tuple(seeds)
        self.seeds = self.configured
        self.current = spread(node, 0, len(self.seeds))
        self.leader = None
        self.leader_until = 0
        self.switches = 0

    def destination(self, now):
        r"""Return the inbox to poll."""
        if self.leader is not None and now < self.leader_until:
            return self.leader
        self.leader = None
        return self.seeds[self.current]

    def configure(self, upstreams):
        r"""Use other configured seeds; return whether they differ."""
        if not upstreams or tuple(upstreams) == self.configured:
            return False
        present = self.seeds[self.current]
        self.configured = tuple(upstreams)
        self.learn((present,))
        return True

    def learn(self, upstreams):
        r"""Try the present control hosts first, then the configured seeds.

        Hosts may have been replaced since the settings were written.
        """
        if not upstreams:
            return
        present = self.seeds[self.current]
        self.seeds = tuple(dict.fromkeys(
            tuple(upstreams) + self.configured + (present,)))
        self.current = self.seeds.index(present)

    def failed(self):
        r"""Turn to the next upstream."""
        self.leader = None
        self.current = (self.current + 1) % len(self.seeds)
        self.switches += 1

    def unconfirmed(self, source, leader, now):
        r"""Ask the leader if another one was named, or the next upstream."""
        if leader is None or leader == source:
            self.failed()
            return
        self.leader = leader
        self.leader_until = now + LEADER_HINT_MS


@ROUTES.register('observer')
class ObserverRoute(SeedRoute):
    r"""Upstreams of a control host without a disk.

    The configured seeds may all be such hosts, which know the others by
    what these say to them.

    Parameters
    ==========

    known : callable
        Takes ``now`` and returns the inboxes of hosts with a disk.
    """

    __slots__ = ('known',)

    def __init__(self, node, seeds, known):
        super().__init__(node, seeds)
        self.known = known

    def destination(self, now):
        r"""Return the inbox to poll."""
        self.learn(self.known(now))
        return super().destination(now)


@ROUTES.register('leader')
class LeaderRoute:
    r"""The control leader as this control host knows it.

    Parameters
    ==========

    leader : callable
        Returns the inbox of the leader, or None when there is none or when
        it is this host.
    """

    __slots__ = ('leader', 'switches')

    def __init__(self, leader):
        self.leader = leader
        self.switches = 0

    def destination(self, now):
        r"""Return the inbox of the leader, or None."""
        return self.leader()

    def configure(self, upstreams):
        r"""Return that nothing changed; the replicated log decides."""
        return False

    def learn(self, upstreams):
        r"""Do nothing; the replicated log holds the members."""

    def failed(self):
        r"""Count a missing answer; the replicated log finds a leader."""
        self.switches += 1

    def unconfirmed(self, source, leader, now):
        r"""Ask the leader again."""
