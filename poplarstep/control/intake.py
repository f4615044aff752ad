r"""Stage of a control host that proposes commands to the replicated log.

Explanation
===========

Statements of operators are translated into commands. The leader also
proposes, in batches, the announcements that the catalogue does not contain
yet and the expiry of silent targets. It repeats proposals that have not been
committed.
"""

from poplarstep.configuration import command
from poplarstep.consensus import message as consensus
from poplarstep.control import message
from poplarstep.core import registry
from poplarstep.core import stage
from poplarstep.core import timer
from poplarstep.dissemination import publisher
from poplarstep.dissemination import reporting
from poplarstep.language import statement

TICK = 'intake'
TICK_PERIOD_MS = 50
# An election or a change of the upstream delays a status by less than this.
FAILOVER_MS = 4000
# A target whose agent has been silent for this long expires. Between two
# statuses of a live agent may lie the refresh interval, the hold times of the
# polls of the agent, two relays and a follower, and one failover.
TARGET_EXPIRY_MS = (
    reporting.STATUS_REFRESH_MS + 3 * publisher.RELAY_HOLD_MS
    + publisher.LEASE_ONLY_HOLD_MS + FAILOVER_MS)
REPROPOSE_AFTER_MS = 1000
BATCH_OBJECTS = 1000
# Interval between batches of announcements. It keeps the number of versions
# small in a mass restart, because each version is sent to every node.
BATCH_INTERVAL_MS = 200
# Limits one write of the log to about 1 MB; the rest is proposed 200 ms later.
BATCHES_PER_WRITE = 8
EXPIRY_CHECK_MS = 1000
DEFAULT_PRIORITY = 0
DEFAULT_DRAIN_DEADLINE_MS = 600_000

INTAKE = stage.Stage('intake')
TRANSLATORS = registry.Registry('statement that changes the configuration')


class IntakeState:
    r"""State of the intake stage.

    Parameters
    ==========

    machine : Machine
        State machine with the committed commands applied.
    reports : Reports
        Announcements and statuses of nodes, from their polls.
    is_leader : callable
        Takes ``now`` and returns whether this host is the leader and holds
        its lease.
    encode : callable
        Encodes a ``Command`` to bytes.
    proposed_at : dict
        Time of the latest proposal of each announcement or expiry.
    postponed : int
        How often an announcement exceeded the limit of one write.
    """

    __slots__ = (
        'machine', 'reports', 'is_leader', 'encode', 'proposed_at',
        'leading_since', 'batch_due', 'expiry_due', 'postponed')

    def __init__(self, machine, reports, is_leader, encode):
        self.machine = machine
        self.reports = reports
        self.is_leader = is_leader
        self.encode = encode
        self.proposed_at = {}
        self.leading_since = None
        self.batch_due = 0
        self.expiry_due = 0
        self.postponed = 0


def make_intake(machine, reports, is_leader, encode) -> IntakeState:
    r"""Return the state of an intake without proposals."""
    return IntakeState(machine, reports, is_leader, encode)


@INTAKE.handles(message.OperatorCommand)
def operator_command(state, event, now):
    r"""Propose an operator's command."""
    translator = TRANSLATORS.entry_by_name.get(type(event.statement))
    if translator is None:
        # The later stages handle the other statements.
        return [event]
    based_on = event.statement.based_on
    if based_on is None:
        based_on = state.machine.catalogue.version
    return [consensus.Propose(event.key, state.encode(command.Command(
        event.client, event.sequence, based_on,
        translator(event.statement))))]


@INTAKE.handles(message.IdempotentCommand)
def idempotent_command(state: 'IntakeState', event, now):
    r"""Propose an idempotent command, which needs no client session."""
    return [consensus.Propose(event.key, state.encode(command.Command(
        '', 0, command.ANY_VERSION, event.body)))]


@INTAKE.handles(timer.Tick)
def tick(state: 'IntakeState', event, now):
    r"""Propose new announcements and the expiry of silent targets."""
    if event.name != TICK:
        return [event]
    if not state.is_leader(now):
        state.leading_since = None
        return []
    if state.leading_since is None:
        state.leading_since = now
    proposals = []
    if now >= state.batch_due:
        proposals = [
            _leader_proposal(state, command.Announce(tuple(batch)))
            for batch in _batches(_announcements_to_propose(state, now))]
        state.batch_due = now + (BATCH_INTERVAL_MS if proposals else 0)
    if now >= state.expiry_due:
        state.expiry_due = now + EXPIRY_CHECK_MS
        proposals.extend(
            _leader_proposal(state, command.ExpireTargets(tuple(batch)))
            for batch in _batches(_expirations(state, now)))
        _drop_old_proposals(state, now)
    return [consensus.ProposeBatch(tuple(proposals))] if proposals else []


def _announcements_to_propose(state: 'IntakeState', now):
    r"""Return the announcements to propose now, up to a limit."""
    limit = BATCH_OBJECTS * BATCHES_PER_WRITE
    selected = []
    for item in reporting.missing_announcements(
            state.reports, state.machine.catalogue):
        # An entry for a service that doesn't exist would have no effect. A
        # target that has ended expires instead.
        if item.ended or (
                item.service not in state.machine.catalogue.service_by_name):
            continue
        if len(selected) >= limit:
            state.postponed += 1
        elif _mark_if_due(state, (item.name, reporting.recency(item)), now):
            selected.append(item)
    return selected


def _leader_proposal(state: 'IntakeState', body):
    return consensus.Propose(0, state.encode(
        command.Command('', 0, state.machine.catalogue.version, body)))


def _batches(items):
    return [
        items[start:start + BATCH_OBJECTS]
        for start in range(0, len(items), BATCH_OBJECTS)]


def _mark_if_due(state: 'IntakeState', key, now):
    r"""Return whether to propose an item now; if so, note the time."""
    last = state.proposed_at.get(key)
    if last is not None and now - last < REPROPOSE_AFTER_MS:
        return False
    state.proposed_at[key] = now
    return True


def _drop_old_proposals(state: 'IntakeState', now):
    for key, proposed_at in list(state.proposed_at.items()):
        if now - proposed_at > REPROPOSE_AFTER_MS:
            del state.proposed_at[key]


def _expirations(state: 'IntakeState', now):
    r"""Return the targets that have ended or whose agents were silent.

    The time of silence counts from the election of this host at the earliest.
    """
    expiries = []
    for target in state.machine.catalogue.target_by_name.values():
        heard_at = state.leading_since
        status = state.reports.status_by_node.get(target.name)
        # Polls of a later incarnation of the agent don't keep the target.
        if status is not None and (
                status.short_incarnation
                == reporting.shorten_incarnation(target.incarnation)):
            heard_at = max(heard_at, status.heard_at)
        silent = now - heard_at > TARGET_EXPIRY_MS
        if (silent or _has_ended(state, target)) and _mark_if_due(
                state, (target.name, 'expiry'), now):
            expiries.append(
                command.ExpiredTarget(target.name, target.incarnation))
    return expiries


def _has_ended(state: 'IntakeState', target):
    r"""Return whether a target's agent has announced that it has exited."""
    announced = state.reports.announcement_by_name.get(target.name)
    return announced is not None and announced.ended and (
        announced.incarnation >= target.incarnation)


@TRANSLATORS.register(statement.CreateService)
def _create_service(parsed):
    return command.CreateService(
        parsed.name, parsed.address,
        _default(parsed.priority, DEFAULT_PRIORITY),
        _default(parsed.drain_deadline_ms, DEFAULT_DRAIN_DEADLINE_MS))


@TRANSLATORS.register(statement.ChangeService)
def _change_service(parsed):
    return command.ChangeService(
        parsed.name, parsed.address, parsed.priority,
        parsed.drain_deadline_ms)


@TRANSLATORS.register(statement.RemoveService)
def _remove_service(parsed):
    return command.RemoveService(parsed.name)


@TRANSLATORS.register(statement.TakeDataCentre)
def _take_data_centre(parsed):
    return command.SetDataCentre(parsed.name, parsed.state == 'out')


@TRANSLATORS.register(statement.DrainTarget)
def _drain_target(parsed):
    return command.DrainTarget(parsed.name, True)


@TRANSLATORS.register(statement.UndrainTarget)
def _undrain_target(parsed):
    return command.DrainTarget(parsed.name, False)


def _default(value, default):
    return default if value is None else value
