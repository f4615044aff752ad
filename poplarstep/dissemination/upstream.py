r"""Selection of the upstreams that a subscriber polls.

Explanation
===========

The classes are registered by name. ``destinations`` takes ``now`` and returns
the addresses of the inboxes to poll, usually one. ``on_answer`` is called
when one of them answers, ``on_timeout`` when none did, and
``on_unconfirmed_answer`` for an answer without a lease, with the leader that
the answer named. ``learn`` gets the control hosts that an answer named,
``configure`` the upstreams of changed settings.
"""

import hashlib

from poplarstep.core import registry

# A node polls the leader that an upstream named for this long and then returns
# to its own upstream, so that not all nodes keep polling the leader.
LEADER_HINT_MS = 5000
# After each timeout twice as many upstreams are polled at once, up to this
# number. Many control hosts may freeze at the same time, and a change must be
# in force everywhere within 3 s: in that time three polls can be sent.
MAXIMUM_POLLED_UPSTREAMS = 4

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
    r"""Upstreams that are tried in turn, and several at once after a timeout.

    The node's name determines the first one, which spreads the load. After a
    timeout the control hosts that an answer named come first: the configured
    seeds may all have failed together, while of those hosts only a few may.

    Parameters
    ==========

    node : str
        Name of this node.
    configured : tuple of Address
        Seeds in the settings.
    control_hosts : tuple of Address
        Control hosts that the latest answer named.
    seeds : tuple of Address
        All upstreams, in the order in which they are tried.
    current : int
        Index in ``seeds`` of the first upstream to poll.
    polled_count : int
        Number of upstreams to poll at once.
    switches : int
        Number of times that ``current`` has moved on.
    """

    __slots__ = (
        'node', 'configured', 'control_hosts', 'seeds', 'current',
        'polled_count', 'hinted_leader', 'leader_until', 'switches')

    def __init__(self, node, seeds):
        self.node = node
        self.configured = tuple(seeds)
        self.control_hosts = ()
        self.seeds = self.configured
        self.current = jitter(node, 0, len(self.seeds))
        self.polled_count = 1
        self.hinted_leader = None
        self.leader_until = 0
        self.switches = 0

    def destinations(self, now):
        r"""Return the inboxes to poll."""
        if self.hinted_leader is not None and now < self.leader_until:
            return (self.hinted_leader,)
        self.hinted_leader = None
        following = self.seeds[self.current:] + self.seeds[:self.current]
        return following[:self.polled_count]

    def configure(self, upstreams):
        r"""Replace the configured seeds; return whether they differ."""
        if not upstreams or tuple(upstreams) == self.configured:
            return False
        self.configured = tuple(upstreams)
        self._update_seeds()
        return True

    def learn(self, upstreams):
        r"""Try the control hosts of an answer first, then the seeds.

        Control hosts may have been replaced since the settings were written.
        """
        if upstreams:
            self.control_hosts = tuple(upstreams)
            self._update_seeds()

    def _update_seeds(self):
        current_upstream = self.seeds[self.current]
        self.seeds = tuple(dict.fromkeys(
            self.control_hosts + self.configured + (current_upstream,)))
        self.current = self.seeds.index(current_upstream)

    def on_answer(self, source):
        r"""Keep to the upstream that answered first of several."""
        if self.polled_count > 1 and source in self.seeds:
            self.current = self.seeds.index(source)
        self.polled_count = 1

    def on_timeout(self, widens):
        r"""Switch to the next upstreams; if it widens, to twice as many."""
        polled_count = self.polled_count
        if widens:
            self.polled_count = min(
                2 * polled_count, MAXIMUM_POLLED_UPSTREAMS)
        self._move_on(polled_count)

    def _move_on(self, count):
        r"""Pass over ``count`` upstreams, or start with the control hosts."""
        self.hinted_leader = None
        self.switches += 1
        if not self._start_with_control_hosts():
            self.current = (self.current + count) % len(self.seeds)

    def _start_with_control_hosts(self):
        r"""Move to a control host unless the upstream is one."""
        if not self.control_hosts or (
                self.seeds[self.current] in self.control_hosts):
            return False
        self.current = jitter(
            self.node, self.switches, len(self.control_hosts))
        return True

    def on_unconfirmed_answer(self, source, leader, now):
        r"""Poll the leader that the answer named, else the next upstream."""
        if leader is None or leader == source:
            self._move_on(1)
            return
        self.hinted_leader = leader
        self.leader_until = now + LEADER_HINT_MS


@UPSTREAMS.register('observer')
class ObserverUpstreams(SeedUpstreams):
    r"""Upstreams of an observer, a control host without a disk.

    Its configured seeds may all be observers. Therefore it polls the control
    hosts with a disk, which it learns of from their messages, and others only
    while it knows none: observers that poll each other would confirm their
    configuration to each other until their leases end.

    Parameters
    ==========

    disk_hosts : callable
        Takes ``now`` and returns the inboxes of control hosts with a disk.
    """

    __slots__ = ('disk_hosts',)

    def __init__(self, node, seeds, disk_hosts):
        super().__init__(node, seeds)
        self.disk_hosts = disk_hosts

    def destinations(self, now):
        r"""Return the inboxes to poll."""
        disk_hosts = self.disk_hosts(now)
        if disk_hosts:
            self.learn(disk_hosts)
            self._start_with_control_hosts()
        return super().destinations(now)


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

    def destinations(self, now):
        r"""Return the inbox of the leader, if there is one."""
        leader = self.leader()
        return () if leader is None else (leader,)

    def configure(self, upstreams):
        r"""Return False; the members are taken from the replicated log."""
        return False

    def learn(self, upstreams):
        r"""Do nothing; the members are taken from the replicated log."""

    def on_answer(self, source):
        r"""Do nothing; only the leader is polled."""

    def on_timeout(self, widens):
        r"""Count a missing answer; consensus elects another leader."""
        self.switches += 1

    def on_unconfirmed_answer(self, source, leader, now):
        r"""Do nothing; the next poll goes to the leader again."""
