r"""First start of a group, and discovery of hosts that want to join.

Explanation
===========

Each host creates its disk identity with its data folder. A host without a
leader says ``Hello`` to all configured hosts and to the members that their
answers name, so that it reaches a leader which is not configured here. The
first configured host founds the group, once, when it has heard every
configured host within two seconds and all of them, by disk identity, were
started to bootstrap and belong to no group. Hosts are matched by address,
because a seed's name may be unknown to the others. The founding membership
is synced first; the others receive it as founders in the answer to their
next ``Hello`` and adopt it only if it names their own disk identity. A host
with a wiped disk has another identity, so it is no founder, and as long as
one founder still has its disk, that founder answers with its group and no
second one is formed.

Some configured hosts may have no disk. Such an observer takes no part in the
group: the first configured host that has a disk founds it with the others
that have one. When none has, the first configured host appoints one of the
hosts that have said ``Hello`` to it, once in its run, and that host founds
the group alone; the others join it. Members go on saying ``Hello`` to
observers, so that an observer that restarts finds them again.
"""

from poplarstep.consensus import handlers
from poplarstep.consensus import message
from poplarstep.consensus import peer
from poplarstep.consensus import state as states
from poplarstep.core import effect

FRESH_MS = 2000
# How often a host that has a leader tells the observers where it is, and for
# how long an observer that is not heard is told.
OBSERVER_HELLO_MS = 2000
OBSERVER_KEPT_MS = 30_000
# An observer names the hosts with a disk that it heard within this time.
KNOWN_MS = 5000
# Unknown names are kept too, because a new host need not be configured
# on the old ones; the bound keeps a faulty sender from filling the memory.
MAXIMUM_APPLICANTS = 64


def tick(state, now):
    r"""Say hello when it is due, and found the group when all agree."""
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
    r"""Return the inboxes of the seeds and of all members known here."""
    inboxes = dict.fromkeys(seed.address for seed in state.seeds)
    inboxes.update(dict.fromkeys(state.learned_inboxes))
    inboxes.update(dict.fromkeys(
        member.address for member in state.log.members))
    inboxes.pop(state.inbox, None)
    return tuple(inboxes)


def observer_inboxes(state, now):
    r"""Return the inboxes of the observers that were heard of late."""
    return tuple(
        applicant.address for applicant in state.applicant_by_name.values()
        if applicant.observer
        and now - applicant.heard_at <= OBSERVER_KEPT_MS)


def known_inboxes(state, now):
    r"""Return the inboxes of the hosts with a disk, as far as known."""
    heard = tuple(
        applicant.address for applicant in state.applicant_by_name.values()
        if not applicant.observer and now - applicant.heard_at <= KNOWN_MS)
    members = tuple(member.address for member in state.log.members)
    return tuple(dict.fromkeys(members + heard))


def found(state, now):
    r"""Form the group if it falls to this host and all agree."""
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
    r"""Return the members of a group that this host may found now."""
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
            # It falls to the earlier host, or this one is not ready.
            return ()
        members.append(message.Member(heard.identity, seed.address, True))
    return tuple(members)


def _heard_at(state, inbox, now):
    r"""Return the host at an address if it was heard of late, or None."""
    for applicant in state.applicant_by_name.values():
        if applicant.address == inbox and (
                now - applicant.heard_at <= FRESH_MS):
            return applicant
    return None


def _may_found(applicant):
    return applicant.bootstrap and not applicant.group


def _appoint(state, now):
    r"""Choose the founder if no configured host has a disk."""
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
    r"""Save the group and its first membership."""
    saved = message.Snapshot(group, 0, 0, members, b'')
    state.log.install(saved)
    states.restart_election_timer(state, now)
    return [
        message.SaveSnapshot(saved),
        effect.LogChange('group-adopted', (
            ('group', group), ('members', len(members)))),
    ]


def note(state, hello, now):
    r"""Remember who said hello, and whether a group exists."""
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
    r"""Answer with the group, and its founders while they are held."""
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
    r"""Adopt the group if its founders include this disk identity."""
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
