r"""First stage of a control host: what becomes a proposal to the log.

Explanation
===========

Operators' statements are translated into commands. Announcements that the
catalogue does not show, and targets that were not heard of, are proposed in
batches by the leader; a proposal that was lost is made again.
"""

from poplarstep.configuration import command
from poplarstep.consensus import message as consensus
from poplarstep.control import message
from poplarstep.core import registry
from poplarstep.core import stage
from poplarstep.core import timer
from poplarstep.dissemination import gathering
from poplarstep.dissemination import publisher
from poplarstep.language import statement

TICK = 'intake'
TICK_PERIOD_MS = 50
# A target that was not heard of for this long leaves the catalogue. Its
# position is refreshed every 2 s and waits for up to 600 ms in the poll of
# the agent and of two relays and for 100 ms in that of a follower; an
# election or a change of the upstream takes less than 4 s.
FAILOVER_MS = 4000
TARGET_EXPIRY_MS = (
    gathering.REFRESH_MS + 3 * publisher.RELAY_HOLD_MS
    + publisher.LEASE_ONLY_HOLD_MS + FAILOVER_MS)
REPROPOSE_MS = 1000
BATCH_OBJECTS = 1000
# Announcements are collected for this long, so that a mass restart makes
# few versions; each version is an answer to every node.
BATCH_MS = 200
# Bounds one write of the log to about 1 MB; the rest follows in 200 ms.
BATCHES_PER_WRITE = 8
EXPIRY_CHECK_MS = 1000
DEFAULT_PRIORITY = 0
DEFAULT_DRAIN_DEADLINE_MS = 600_000

INTAKE = stage.Stage('intake')
TRANSLATORS = registry.Registry('statement that changes the configuration')


class IntakeState:
    r"""State of the intake.

    Parameters
    ==========

    machine : Machine
        The applied state.
    gathered : Gathering
        Announcements and positions from polls.
    may_lead : callable
        Takes ``now`` and returns whether this host leads with a lease.
    encode : callable
        Turns a ``Command`` into bytes.
    """

    __slots__ = (
        'machine', 'gathered', 'may_lead', 'encode', 'proposed_at',
        'leading_since', 'batch_due', 'expiry_due', 'postponed')

    def __init__(self, machine, gathered, may_lead, encode):
        self.machine = machine
        self.gathered = gathered
        self.may_lead = may_lead
        self.encode = encode
        self.proposed_at = {}
        self.leading_since = None
        self.batch_due = 0
        self.expiry_due = 0
        self.postponed = 0


def make_intake(machine, gathered, may_lead, encode):
    r"""Return the state of an intake that has proposed nothing."""
    return IntakeState(machine, gathered, may_lead, encode)


@INTAKE.handles(message.OperatorCommand)
def operator_command(state, event, now):
    r"""Propose an operator's command."""
    translator = TRANSLATORS.entry_by_name.get(type(event.statement))
    if translator is None:
        return [event]
    based_on = event.statement.based_on
    if based_on is None:
        based_on = state.machine.catalogue.version
    return [consensus.Propose(event.key, state.encode(command.Command(
        event.client, event.sequence, based_on,
        translator(event.statement))))]


@INTAKE.handles(message.Order)
def order(state, event, now):
    r"""Propose a command that needs no identity."""
    return [consensus.Propose(event.key, state.encode(command.Command(
        '', 0, command.ANY_VERSION, event.body)))]


@INTAKE.handles(timer.Tick)
def tick(state, event, now):
    r"""Propose what the catalogue lacks and what it should drop."""
    if event.name != TICK:
        return [event]
    if not state.may_lead(now):
        state.leading_since = None
        return []
    if state.leading_since is None:
        state.leading_since = now
    proposals = []
    if now >= state.batch_due:
        proposals = [
            _own_proposal(state, command.Announce(tuple(batch)))
            for batch in _batches(_news(state, now))]
        state.batch_due = now + (BATCH_MS if proposals else 0)
    if now >= state.expiry_due:
        state.expiry_due = now + EXPIRY_CHECK_MS
        proposals.extend(
            _own_proposal(state, command.ExpireTargets(tuple(batch)))
            for batch in _batches(_expiries(state, now)))
        _forget_old_proposals(state, now)
    return [consensus.ProposeBatch(tuple(proposals))] if proposals else []


def _news(state, now):
    r"""Return the announcements to propose now, a bounded number."""
    limit = BATCH_OBJECTS * BATCHES_PER_WRITE
    chosen = []
    for item in gathering.unconfirmed(
            state.gathered, state.machine.catalogue):
        # An entry for a service that does not exist would change nothing.
        if item.service not in state.machine.catalogue.service_by_name:
            continue
        if len(chosen) >= limit:
            state.postponed += 1
        elif _due(state, (item.name, gathering.order(item)), now):
            chosen.append(item)
    return chosen


def _own_proposal(state, body):
    return consensus.Propose(0, state.encode(
        command.Command('', 0, state.machine.catalogue.version, body)))


def _batches(items):
    return [
        items[start:start + BATCH_OBJECTS]
        for start in range(0, len(items), BATCH_OBJECTS)]


def _due(state, identity, now):
    r"""Return whether a fact is to be proposed now, and note it."""
    last = state.proposed_at.get(identity)
    if last is not None and now - last < REPROPOSE_MS:
        return False
    state.proposed_at[identity] = now
    return True


def _forget_old_proposals(state, now):
    for identity, proposed_at in list(state.proposed_at.items()):
        if now - proposed_at > REPROPOSE_MS:
            del state.proposed_at[identity]


def _expiries(state, now):
    r"""Return the targets that were silent since this host leads."""
    expiries = []
    for target in state.machine.catalogue.target_by_name.values():
        heard = state.leading_since
        position = state.gathered.heard_by_node.get(target.name)
        # A later run of the agent does not speak for the target.
        if position is not None and (
                position.run == gathering.run_of(target.incarnation)):
            heard = max(heard, position.at)
        if now - heard > TARGET_EXPIRY_MS and _due(
                state, (target.name, 'expiry'), now):
            expiries.append(
                command.Expiry(target.name, target.incarnation))
    return expiries


@TRANSLATORS.register(statement.CreateService)
def _create_service(asked):
    return command.CreateService(
        asked.name, asked.address,
        _default(asked.priority, DEFAULT_PRIORITY),
        _default(asked.drain_deadline_ms, DEFAULT_DRAIN_DEADLINE_MS))


@TRANSLATORS.register(statement.ChangeService)
def _change_service(asked):
    return command.ChangeService(
        asked.name, asked.address, asked.priority, asked.drain_deadline_ms)


@TRANSLATORS.register(statement.RemoveService)
def _remove_service(asked):
    return command.RemoveService(asked.name)


@TRANSLATORS.register(statement.TakeDataCentre)
def _take_data_centre(asked):
    return command.SetDataCentre(asked.name, asked.state == 'out')


@TRANSLATORS.register(statement.DrainTarget)
def _drain_target(asked):
    return command.DrainTarget(asked.name, True)


@TRANSLATORS.register(statement.UndrainTarget)
def _undrain_target(asked):
    return command.DrainTarget(asked.name, False)


def _default(value, default):
    return default if value is None else value
