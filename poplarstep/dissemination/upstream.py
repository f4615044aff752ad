r"""Selection of the upstream that a subscriber polls.

Explanation
===========

The classes are registered by name. ``destination`` takes ``now`` and returns
the address of an inbox or None. ``on_timeout`` is called when no answer came,
``on_unconfirmed_answer`` for an answer without a lease, with the leader that
the answer named. ``learn`` gets the control hosts that an answer named,
``configure`` the upstreams of changed settings.
"""

import hashlib

from poplarstep.core import registry

# A node polls the leader that an upstream named for this long and then returns
# to its own upstream, so that not all nodes keep polling the leader.
LEADER_HINT_MS = 5000

UPSTREAMS = registry.Registry('kind of upstream')


def jitter(name, number, width):
    r"""Return a hash of ``name`` and ``number`` that is below ``width``.

    It serves as jitter that is reproducible between runs.

    Examples
    ========

    >>> jitter('agent-1', 1, 100), jitter('agent-2', 1, 100)
    (78, 97)

    """
    # Not CRC-32: it distributes names that differ only in their last digits
    # unevenly.
    digest = hashlib.blake2b(
        b'%s %d' % (name.encode(), number), digest_size=8).digest()
    return int.from_bytes(digest, 'big') % width


@UPSTREAMS.register('seeds')
class SeedUpstreams:
    r"""Upstreams that are tried in turn.

    The node's name determines the first one, which spreads the load.
    """

    __slots__ = (
        'configured', 'seeds', 'current', 'hinted_leader', 'leader_until',
        'switches')

    def __init__(self, node, seeds):
        self.configured = tuple(seeds)
        self.seeds = self.configured
        self.current = jitter(node, 0, len(self.seeds))
        self.hinted_leader = None
        self.leader_until = 0
        self.switches = 0

    def destination(self, now):
        r"""Return the inbox to poll."""
        if self.hinted_leader is not None and now < self.leader_until:
            return self.hinted_leader
        self.hinted_leader = None
        return self.seeds[self.current]

    def configure(self, upstreams):
        r"""Replace the configured seeds; return whether they differ."""
        if not upstreams or tuple(upstreams) == self.configured:
            return False
        current_upstream = self.seeds[self.current]
        self.configured = tuple(upstreams)
        self.learn((current_upstream,))
        return True

    def learn(self, upstreams):
        r"""Try the control hosts of an answer first, then the seeds.

        Control hosts may have been replaced since the settings were written.
        """
        if not upstreams:
            return
        current_upstream = self.seeds[self.current]
        self.seeds = tuple(dict.fromkeys(
            tuple(upstreams) + self.configured + (current_upstream,)))
        self.current = self.seeds.index(current_upstream)

    def on_timeout(self):
        r"""Switch to the next upstream."""
        self.hinted_leader = None
        self.current = (self.current + 1) % len(self.seeds)
        self.switches += 1

    def on_unconfirmed_answer(self, source, leader, now):
        r"""Poll the leader that the answer named, else the next upstream."""
        if leader is None or leader == source:
            self.on_timeout()
            return
        self.hinted_leader = leader
        self.leader_until = now + LEADER_HINT_MS


@UPSTREAMS.register('observer')
class ObserverUpstreams(SeedUpstreams):
    r"""Upstreams of an observer, a control host without a disk.

    Its configured seeds may all be observers. Therefore it also polls the
    control hosts with a disk, which it learns of from their messages.

    Parameters
    ==========

    disk_hosts : callable
        Takes ``now`` and returns the inboxes of control hosts with a disk.
    """

    __slots__ = ('disk_hosts',)

    def __init__(self, node, seeds, disk_hosts):
        super().__init__(node, seeds)
        self.disk_hosts = disk_hosts

    def destination(self, now):
        r"""Return the inbox to poll."""
        self.learn(self.disk_hosts(now))
        return super().destination(now)


@UPSTREAMS.register('leader')
class LeaderUpstream:
    r"""The leader of the control hosts, as upstream of another control host.

    Parameters
    ==========

    leader : callable
        Returns the inbox of the leader, or None when there is no leader or
        when this host leads.
    """

    __slots__ = ('leader', 'switches')

    def __init__(self, leader):
        self.leader = leader
        self.switches = 0

    def destination(self, now):
        r"""Return the inbox of the leader, or None."""
        return self.leader()

    def configure(self, upstreams):
        r"""Return False; the members are taken from the replicated log."""
        return False

    def learn(self, upstreams):
        r"""Do nothing; the members are taken from the replicated log."""

    def on_timeout(self):
        r"""Count a missing answer; consensus elects another leader."""
        self.switches += 1

    def on_unconfirmed_answer(self, source, leader, now):
        r"""Do nothing; the next poll goes to the leader again."""
