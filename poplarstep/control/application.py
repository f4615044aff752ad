r"""Stage of a control host that applies committed log entries.

Explanation
===========

This stage follows the replica stage in the pipeline. It applies every
committed command to the state machine exactly once and in order. An operator
who waits for the command on this host gets the outcome.

It also decides when a snapshot replaces the log (Ongaro and Ousterhout, "In
Search of an Understandable Consensus Algorithm", 2014, section 7). The bound
is in bytes: what a host without a disk receives, what a restart reads and what
the disk holds then follow from the size of the state, not from the number and
size of all changes so far.
"""

from poplarstep.configuration import command
from poplarstep.configuration import machine as machines
from poplarstep.configuration import replacement  # noqa: F401
from poplarstep.consensus import message as consensus
from poplarstep.control import message
from poplarstep.core import effect
from poplarstep.core import record
from poplarstep.core import stage
from poplarstep.dissemination import message as dissemination

# The log is compacted by a snapshot after this many applied entries, or when
# their payloads reach SNAPSHOT_LOG_BYTES, or twice the size of the latest
# snapshot if that is more. The factor bounds the cost of snapshots to half of
# that of the log.
SNAPSHOT_ENTRIES = 2000
SNAPSHOT_LOG_BYTES = 1024 * 1024
SNAPSHOT_LOG_FACTOR = 2

APPLY = stage.Stage('apply')


class ApplicationState:
    r"""State machine and the codecs of its log entries and snapshots.

    Parameters
    ==========

    machine : Machine
        State machine.
    decode : callable
        Decodes the bytes of an entry; returns ``Success(Command)``.
    encode_snapshot, decode_snapshot : callable
        Encode a ``MachineSnapshot`` to bytes; decode it to a ``Success``.

    Attributes
    ==========

    snapshot_index, snapshot_bytes : int
        Index and size of the latest snapshot.
    log_bytes : int
        Payload bytes of the entries applied since that snapshot.
    """

    __slots__ = (
        'machine', 'decode', 'encode_snapshot', 'decode_snapshot',
        'applied_index', 'snapshot_index', 'snapshot_bytes', 'log_bytes',
        'undecodable')

    def __init__(self, machine, decode, encode_snapshot, decode_snapshot):
        self.machine = machine
        self.decode = decode
        self.encode_snapshot = encode_snapshot
        self.decode_snapshot = decode_snapshot
        self.applied_index = 0
        self.snapshot_index = 0
        self.snapshot_bytes = 0
        self.log_bytes = 0
        self.undecodable = 0


def make_application(machine, decode, encode_snapshot, decode_snapshot):
    r"""Return the state of a host that has not applied any entry."""
    return ApplicationState(
        machine, decode, encode_snapshot, decode_snapshot)


@APPLY.handles(consensus.Committed)
def committed(state: 'ApplicationState', event, now):
    r"""Apply one entry; answer the operator and notify the publisher."""
    if event.index <= state.applied_index:
        # The replica may commit entries again after a storage failure.
        return []
    state.applied_index = event.index
    messages = _apply(state, event)
    state.log_bytes += len(event.payload)
    if is_snapshot_due(state):
        messages.append(effect.Requeue(take_snapshot(state)))
    return messages


def is_snapshot_due(state: 'ApplicationState'):
    r"""Return whether a snapshot is to replace the applied entries."""
    bound = max(
        SNAPSHOT_LOG_BYTES, SNAPSHOT_LOG_FACTOR * state.snapshot_bytes)
    return (
        state.applied_index - state.snapshot_index >= SNAPSHOT_ENTRIES
        or state.log_bytes >= bound)


def take_snapshot(state: 'ApplicationState'):
    r"""Return the ``SnapshotTaken`` of the present state."""
    encoded = state.encode_snapshot(machines.take_snapshot(state.machine))
    _record_snapshot(state, state.applied_index, encoded)
    return consensus.SnapshotTaken(state.applied_index, encoded)


def _record_snapshot(state: 'ApplicationState', index, encoded):
    state.snapshot_index = index
    state.snapshot_bytes = len(encoded)
    state.log_bytes = 0


def _apply(state: 'ApplicationState', event):
    before = state.machine.catalogue.version
    entry = state.decode(event.payload).unwrap()
    outcome = machines.apply_command(state.machine, entry)
    messages = []
    if event.key:
        messages.append(message.CommandReply(event.key, outcome, ''))
    version = state.machine.catalogue.version
    if version != before:
        messages.append(dissemination.CatalogueChanged(version))
    # Commands that the leader proposes by itself are not logged.
    if entry.client or entry.based_on == command.ANY_VERSION:
        messages.append(effect.LogEvent('command-applied', (
            ('client', entry.client),
            ('sequence', entry.sequence),
            ('status', outcome.status),
            ('version', outcome.version),
            ('command', record.wire_name(type(entry.body))))))
    return messages


@APPLY.handles(consensus.SnapshotRestored)
def snapshot_restored(state, event, now):
    r"""Restore the state machine from a snapshot of the leader or disk."""
    snapshot = state.decode_snapshot(event.state).unwrap()
    machines.restore_snapshot(state.machine, snapshot)
    state.applied_index = event.index
    _record_snapshot(state, event.index, event.state)
    return [dissemination.CatalogueChanged(state.machine.catalogue.version)]


@APPLY.handles(consensus.MembershipChanged)
def membership_changed(state, event, now):
    r"""Log a committed change of the control hosts; answer the operator."""
    messages = [effect.LogEvent('membership-changed', (
        ('index', event.index),
        ('voters', ','.join(
            item.identity.name for item in event.members if item.voter)),
        ('learners', ','.join(
            item.identity.name for item in event.members
            if not item.voter))))]
    if event.key:
        messages.append(message.CommandReply(event.key, command.Outcome(
            command.APPLIED, state.machine.catalogue.version, ''), ''))
    return messages


@APPLY.handles(consensus.ProposalRefused)
def proposal_refused(state: 'ApplicationState', event, now):
    r"""Answer that this copy of the command was not appended to the log."""
    return _reply(state, event, command.NOT_TAKEN, event.reason)


@APPLY.handles(consensus.ProposalUnknown)
def proposal_unknown(state, event, now):
    r"""Answer that the command may have been or may still be applied."""
    return _reply(state, event, command.UNKNOWN, 'leadership was lost')


def _reply(state: 'ApplicationState', event, status, reason):
    if not event.key:
        return []
    return [message.CommandReply(event.key, command.Outcome(
        status, state.machine.catalogue.version, reason), event.leader)]
