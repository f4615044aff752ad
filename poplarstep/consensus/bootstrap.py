r"""Bootstrap of a group, and discovery of hosts that ask to join.

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
that a restarted observer finds them again.
"""

from poplarstep.consensus import handlers
from poplarstep.consensus import message
from poplarstep.consensus import peer
from poplarstep.consensus import state as states
from poplarstep.core import effect

# Maximum age of the messages that the bootstrap of a group relies on.
FRESH_MS = 2000
# Interval at which a host that has a leader sends ``Hello`` to observers.
OBSERVER_HELLO_MS = 2000
# An observer that has been silent for this long gets no more ``Hello``.
OBSERVER_KEPT_MS = 30_000
# An observer names the hosts with a disk that sent a message this recently.
KNOWN_MS = 5000
# Hosts that are not configured here are recorded too, because the seeds of
# existing hosts need not list a new host. The bound keeps a faulty sender
# from filling the memory.
MAXIMUM_APPLICANTS = 64


def tick(state, now):
    r"""Form the group if all conditions hold; send ``Hello`` when due."""
    effects = found(state, now)
    hello = peer.Hello(
        state.identity, state.inbox, state.group, state.term,
        state.bootstrap, state.observer)
    for inbox in _due_inboxes(state, now):
        effects.extend(states.send(inbox, hello))
    return effects


def _due_inboxes(state, now):
    if state.leader is not None:
        if now < state.observer_hello_due:
            return ()
        state.observer_hello_due = now + OBSERVER_HELLO_MS
        return observer_inboxes(state, now)
    if now < state.hello_due:
        return ()
    state.hello_due = now + states.HELLO_MS
    return hello_inboxes(state)


def hello_inboxes(state):
    r"""Return the addresses of the seeds and of all known members."""
    inboxes = dict.fromkeys(seed.address for seed in state.seeds)
    inboxes.update(dict.fromkeys(state.learned_inboxes))
    inboxes.update(dict.fromkeys(
        member.address for member in state.log.members))
    inboxes.pop(state.inbox, None)
    return tuple(inboxes)


def observer_inboxes(state, now):
    r"""Return the addresses of the observers that are not silent."""
    return tuple(
        applicant.address for applicant in state.applicant_by_name.values()
        if applicant.observer
        and now - applicant.heard_at <= OBSERVER_KEPT_MS)


def known_inboxes(state, now):
    r"""Return the addresses of the members and of other hosts with a disk."""
    heard = tuple(
        applicant.address for applicant in state.applicant_by_name.values()
        if not applicant.observer and now - applicant.heard_at <= KNOWN_MS)
    members = tuple(member.address for member in state.log.members)
    return tuple(dict.fromkeys(members + heard))


def found(state, now):
    r"""Form the group if this host is the one to do so and all seeds agree.

    An observer forms no group, but may choose the host that does.
    """
    if state.observer:
        _appoint(state, now)
        return []
    if state.group or state.group_exists or not state.bootstrap:
        return []
    members = _founding_members(state, now)
    if not members:
        return []
    group = '%032x' % state.random.getrandbits(128)
    return adopt(state, group, members, now)


def _founding_members(state, now):
    r"""Return the members of a group that this host may form now.

    Empty if it may form none.
    """
    own = message.Member(state.identity, state.inbox, True)
    if state.appointed == state.identity:
        return (own,)
    members = []
    for seed in state.seeds:
        if seed.address == state.inbox:
            members.append(own)
            continue
        heard = _heard_at(state, seed.address, now)
        if heard is None:
            return ()
        if heard.observer:
            continue
        if not members or not _may_found(heard):
            # An earlier seed has a disk and forms the group, or this seed
            # was not started to bootstrap or belongs to a group.
            return ()
        members.append(message.Member(heard.identity, seed.address, True))
    return tuple(members)


def _heard_at(state, inbox, now):
    r"""Return the host at an address if its last message is recent."""
    for applicant in state.applicant_by_name.values():
        if applicant.address == inbox and (
                now - applicant.heard_at <= FRESH_MS):
            return applicant
    return None


def _may_found(applicant):
    return applicant.bootstrap and not applicant.group


def _appoint(state, now):
    r"""Choose the host that forms the group if no seed has a disk."""
    if state.appointed is not None or state.group_exists or (
            not state.bootstrap or state.seeds[0].address != state.inbox):
        return
    for seed in state.seeds[1:]:
        heard = _heard_at(state, seed.address, now)
        if heard is None or not heard.observer:
            return
    ready = [
        applicant.identity for applicant in state.applicant_by_name.values()
        if not applicant.observer and _may_found(applicant)
        and now - applicant.heard_at <= FRESH_MS]
    if ready:
        state.appointed = min(ready, key=lambda identity: identity.name)


def adopt(state, group, members, now):
    r"""Store the group and its initial membership as snapshot 0."""
    saved = message.Snapshot(group, 0, 0, members, b'')
    state.log.install(saved)
    states.restart_election_timer(state, now)
    return [
        message.SaveSnapshot(saved),
        effect.LogChange('group-adopted', (
            ('group', group), ('members', len(members)))),
    ]


def note(state, hello, now):
    r"""Record the sender of a message, and whether a group exists."""
    if hello.group:
        state.group_exists = True
    if hello.group not in ('', state.group) and state.group:
        state.counters.foreign_messages += 1
        return
    if hello.sender.name in state.applicant_by_name or any(
            seed.address == hello.inbox for seed in state.seeds) or (
            len(state.applicant_by_name) < MAXIMUM_APPLICANTS):
        state.applicant_by_name[hello.sender.name] = states.Applicant(
            hello.sender, hello.inbox, hello.group, hello.bootstrap, now,
            hello.observer)


@handlers.PEERS.handles(peer.Hello)
def answer_hello(state, received, now):
    r"""Reply with the group, its members and the initial members.

    The initial members are known until the first snapshot replaces
    snapshot 0.
    """
    note(state, received.message, now)
    held = state.log.snapshot
    founders = held.members if held and held.index == 0 else ()
    members = known_inboxes(state, now) if state.observer else tuple(
        member.address for member in state.log.members)
    return states.send(received.message.inbox, peer.HelloReply(
        state.identity, state.inbox, state.group, state.term,
        state.bootstrap, founders, members, state.observer,
        state.appointed))


@handlers.PEERS.handles(peer.HelloReply)
def learn(state, received, now):
    r"""Record a reply; join the group if this host is an initial member."""
    reply = received.message
    note(state, reply, now)
    if reply.members:
        state.learned_inboxes = reply.members[:MAXIMUM_APPLICANTS]
    if state.group or state.observer or not state.bootstrap:
        return []
    if reply.appointed == state.identity and state.seeds and (
            reply.inbox == state.seeds[0].address):
        state.appointed = state.identity
    if not reply.group or all(
            member.identity != state.identity for member in reply.founders):
        return []
    return adopt(state, reply.group, reply.founders, now)
