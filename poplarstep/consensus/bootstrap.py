r"""Bootstrap of a group, and discovery of hosts by ``Hello``.

Explanation
===========

Each host creates a random disk identity with its data folder. A host without
a leader sends ``Hello`` to all configured hosts (the seeds) and to the
members that the replies name, so that it also finds a leader that is not
among its seeds.

The first seed forms the group. It does so once, when each seed has sent
``Hello`` or ``HelloReply`` within the last two seconds, was started with
``bootstrap``, and belongs to no group. Seeds are matched by address, because
a host may run under another name than the one configured here. The first
seed syncs the initial membership; the other seeds receive it in the reply to
their next ``Hello`` and accept it only if it contains their own disk
identity.

A host whose disk was replaced has another identity, so it is not in the
initial membership. As long as one initial member has its disk, its replies
name the group, and no second group is formed.

A configured host without a disk is an observer: it is not a member, but it
tracks the addresses of the hosts with a disk. If some seeds are observers,
the first seed with a disk forms the group with the other seeds that have
one. If all seeds are observers, the first seed chooses one of the hosts that
have sent it ``Hello``, at most once in its run; that host forms a group of
one, and the others join it. Members keep sending ``Hello`` to observers, so
that a restarted observer finds them again. They send it to the seeds that
are not members too: these may be observers that were down while the members
restarted, and observers whose seeds are all observers can't find the members
by themselves.
"""

from poplarstep.consensus import handlers
from poplarstep.consensus import message
from poplarstep.consensus import peer
from poplarstep.consensus import state as states
from poplarstep.core import effect

# Maximum age of the messages that the bootstrap of a group relies on.
BOOTSTRAP_MAXIMUM_AGE_MS = 2000
# Interval at which a host that has a leader sends ``Hello`` to observers and
# to seeds that are not members.
OBSERVER_HELLO_INTERVAL_MS = 2000
# An observer that has been silent for this long gets no more ``Hello``.
OBSERVER_EXPIRY_MS = 30_000
# An observer names the hosts with a disk that sent a message this recently.
KNOWN_HOST_EXPIRY_MS = 5000
# Hosts that are not configured here are recorded too, because the seeds of
# existing hosts need not list a new host. The bound keeps a faulty sender
# from filling the memory.
MAXIMUM_DISCOVERED_HOSTS = 64


def tick(state: states.ReplicaState, now):
    r"""Form the group if all conditions hold; send ``Hello`` when due."""
    effects = form_group(state, now)
    hello = peer.Hello(
        state.identity, state.address, state.group, state.term,
        state.bootstrap, state.observer)
    for address in _due_addresses(state, now):
        effects.extend(states.send(address, hello))
    return effects


def _due_addresses(state: states.ReplicaState, now):
    if state.leader is not None:
        if now < state.observer_hello_due:
            return ()
        state.observer_hello_due = now + OBSERVER_HELLO_INTERVAL_MS
        return nonmember_addresses(state, now)
    if now < state.hello_due:
        return ()
    state.hello_due = now + states.HELLO_INTERVAL_MS
    return hello_addresses(state)


def hello_addresses(state: states.ReplicaState):
    r"""Return the addresses of the seeds and of all known members."""
    addresses = dict.fromkeys(seed.address for seed in state.seeds)
    addresses.update(dict.fromkeys(state.learned_addresses))
    addresses.update(dict.fromkeys(
        member.address for member in state.log.members))
    addresses.pop(state.address, None)
    return tuple(addresses)


def nonmember_addresses(state: states.ReplicaState, now):
    r"""Return the addresses of the observers and of seeds that may be some.

    Observers that have been silent for long are left out, but seeds are not.
    """
    addresses = dict.fromkeys(seed.address for seed in state.seeds)
    addresses.update(dict.fromkeys(
        host.address for host in state.discovered_by_name.values()
        if host.observer
        and now - host.last_seen <= OBSERVER_EXPIRY_MS))
    addresses.pop(state.address, None)
    for member in state.log.members:
        addresses.pop(member.address, None)
    return tuple(addresses)


def known_addresses(state: states.ReplicaState, now):
    r"""Return the addresses of the members and of recently seen hosts.

    Observers are left out.
    """
    recent = tuple(
        host.address for host in state.discovered_by_name.values()
        if not host.observer
        and now - host.last_seen <= KNOWN_HOST_EXPIRY_MS)
    members = tuple(member.address for member in state.log.members)
    return tuple(dict.fromkeys(members + recent))


def form_group(state: states.ReplicaState, now):
    r"""Form the group if the conditions in the module docstring hold.

    An observer forms no group, but may choose the host that does.
    """
    if state.observer:
        _choose_bootstrap_host(state, now)
        return []
    if state.group or state.group_exists or not state.bootstrap:
        return []
    members = _initial_members(state, now)
    if not members:
        return []
    group = '%032x' % state.random.getrandbits(128)
    return join_group(state, group, members, now)


def _initial_members(state: states.ReplicaState, now):
    r"""Return the members of a group that this host may form now.

    Empty if it may form none.
    """
    own_member = message.Member(state.identity, state.address, True)
    if state.bootstrap_host == state.identity:
        return (own_member,)
    members = []
    for seed in state.seeds:
        if seed.address == state.address:
            members.append(own_member)
            continue
        host = _find_recent_host(state, seed.address, now)
        if host is None:
            return ()
        if host.observer:
            continue
        if not members or not _can_bootstrap(host):
            # An earlier seed has a disk and forms the group, or this seed
            # was not started to bootstrap or belongs to a group.
            return ()
        members.append(message.Member(host.identity, seed.address, True))
    return tuple(members)


def _find_recent_host(state: states.ReplicaState, address, now):
    r"""Return the host at an address if its last message is recent."""
    for host in state.discovered_by_name.values():
        if host.address == address and (
                now - host.last_seen <= BOOTSTRAP_MAXIMUM_AGE_MS):
            return host
    return None


def _can_bootstrap(host):
    return host.bootstrap and not host.group


def _choose_bootstrap_host(state: states.ReplicaState, now):
    r"""Choose the host that forms the group if no seed has a disk."""
    if state.bootstrap_host is not None or state.group_exists or (
            not state.bootstrap or state.seeds[0].address != state.address):
        return
    for seed in state.seeds[1:]:
        host = _find_recent_host(state, seed.address, now)
        if host is None or not host.observer:
            return
    eligible = [
        host.identity for host in state.discovered_by_name.values()
        if not host.observer and _can_bootstrap(host)
        and now - host.last_seen <= BOOTSTRAP_MAXIMUM_AGE_MS]
    if eligible:
        state.bootstrap_host = min(
            eligible, key=lambda identity: identity.name)


def join_group(state: states.ReplicaState, group, members, now):
    r"""Store the group and its initial membership as snapshot 0."""
    snapshot = message.Snapshot(group, 0, 0, members, b'')
    state.log.install(snapshot)
    states.restart_election_timer(state, now)
    return [
        message.SaveSnapshot(snapshot),
        effect.LogEvent('group-adopted', (
            ('group', group), ('members', len(members)))),
    ]


def record_host(state: states.ReplicaState, hello, now):
    r"""Record the sender of a message, and whether a group exists."""
    if hello.group:
        state.group_exists = True
    if hello.group not in ('', state.group) and state.group:
        state.counters.foreign_messages += 1
        return
    if hello.sender.name in state.discovered_by_name or any(
            seed.address == hello.address for seed in state.seeds) or (
            len(state.discovered_by_name) < MAXIMUM_DISCOVERED_HOSTS):
        state.discovered_by_name[hello.sender.name] = states.DiscoveredHost(
            hello.sender, hello.address, hello.group, hello.bootstrap, now,
            hello.observer)


@handlers.PEER_MESSAGES.handles(peer.Hello)
def answer_hello(state: states.ReplicaState, received, now):
    r"""Reply with the group, its members and the initial members.

    The initial members are known until the first snapshot replaces
    snapshot 0.
    """
    record_host(state, received.message, now)
    snapshot = state.log.snapshot
    initial_members = (
        snapshot.members if snapshot and snapshot.index == 0 else ())
    members = known_addresses(state, now) if state.observer else tuple(
        member.address for member in state.log.members)
    return states.send(received.message.address, peer.HelloReply(
        state.identity, state.address, state.group, state.term,
        state.bootstrap, initial_members, members, state.observer,
        state.bootstrap_host))


@handlers.PEER_MESSAGES.handles(peer.HelloReply)
def handle_hello_reply(state: states.ReplicaState, received, now):
    r"""Record a reply; join the group if this host is an initial member."""
    reply = received.message
    record_host(state, reply, now)
    if reply.members:
        state.learned_addresses = reply.members[:MAXIMUM_DISCOVERED_HOSTS]
    if state.group or state.observer or not state.bootstrap:
        return []
    if reply.bootstrap_host == state.identity and state.seeds and (
            reply.address == state.seeds[0].address):
        state.bootstrap_host = state.identity
    if not reply.group or all(
            member.identity != state.identity
            for member in reply.initial_members):
        return []
    return join_group(state, reply.group, reply.initial_members, now)
