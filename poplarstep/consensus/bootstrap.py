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
"""

from poplarstep.consensus import handlers
from poplarstep.consensus import message
from poplarstep.consensus import peer
from poplarstep.consensus import state as states
from poplarstep.core import effect

FRESH_MS = 2000


def tick(state, now):
    r"""Say hello when it is due, and found the group when all agree."""
    effects = found(state, now)
    if now < state.hello_due or state.leader is not None:
        return effects
    state.hello_due = now + states.HELLO_MS
    hello = peer.Hello(
        state.identity, state.inbox, state.group, state.term,
        state.bootstrap)
    for inbox in hello_inboxes(state):
        effects.extend(states.send(inbox, hello))
    return effects


def hello_inboxes(state):
    r"""Return the inboxes of the seeds and of all members known here."""
    inboxes = dict.fromkeys(seed.address for seed in state.seeds)
    inboxes.update(dict.fromkeys(state.learned_inboxes))
    inboxes.update(dict.fromkeys(
        member.address for member in state.log.members))
    inboxes.pop(state.inbox, None)
    return tuple(inboxes)


def found(state, now):
    r"""Form the group if this is the first host and all agree."""
    if state.group or state.group_exists or not state.bootstrap or (
            not state.seeds or state.seeds[0].address != state.inbox):
        return []
    members = []
    for seed in state.seeds:
        identity = founder(state, seed.address, now)
        if identity is None:
            return []
        members.append(message.Member(identity, seed.address, True))
    group = '%032x' % state.random.getrandbits(128)
    return adopt(state, group, tuple(members), now)


def founder(state, inbox, now):
    r"""Return the identity of a host that is ready to found, or None."""
    if inbox == state.inbox:
        return state.identity
    for applicant in state.applicant_by_name.values():
        if applicant.address == inbox and applicant.bootstrap and (
                not applicant.group
                and now - applicant.heard_at <= FRESH_MS):
            return applicant.identity
    return None


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
            hello.sender, hello.inbox, hello.group, hello.bootstrap, now)


# Unknown names are kept too, because a new host need not be configured
# on the old ones; the bound keeps a faulty sender from filling the memory.
MAXIMUM_APPLICANTS = 64


@handlers.PEERS.handles(peer.Hello)
def answer_hello(state, received, now):
    r"""Answer with the group, and its founders while they are held."""
    note(state, received.message, now)
    held = state.log.snapshot
    founders = held.members if held and held.index == 0 else ()
    return states.send(received.message.inbox, peer.HelloReply(
        state.identity, state.inbox, state.group, state.term,
        state.bootstrap, founders,
        tuple(member.address for member in state.log.members)))


@handlers.PEERS.handles(peer.HelloReply)
def learn(state, received, now):
    r"""Adopt the group if its founders include this disk identity."""
    reply = received.message
    note(state, reply, now)
    if reply.members:
        state.learned_inboxes = reply.members[:MAXIMUM_APPLICANTS]
    if state.group or not reply.group or not state.bootstrap:
        return []
    if all(member.identity != state.identity for member in reply.founders):
        return []
    return adopt(state, reply.group, reply.founders, now)
