r"""What an agent knows of the target on its host, from heartbeats.

Explanation
===========

Heartbeats are the only source of information on a target. They may be late,
out of order or forged. Each start of the target process is an instance,
identified by the target's name and start time. A later instance replaces an
earlier one; within an instance the heartbeat with the highest sequence
number is valid. A target without a heartbeat for the time of the setting
``target-fresh`` gets no new flow: its address may by then belong to a target
of another service.
"""

from poplarstep.core import record


FIRST_SEQUENCE = 1
# An agent takes at least this long to start and forwards nothing before it is
# ready. So no earlier run of the agent has served a target that started less
# than this before the agent did.
AGENT_STARTUP_MS = 400
# A target reads the clock of its agent's host. A start time that is this far
# in the future was not read from it, even if the clock was set back meanwhile.
MAXIMUM_CLOCK_LEAD_MS = 24 * 3600 * 1000


class Heartbeat(record.Record):
    r"""Event: a target reports its state.

    Parameters
    ==========

    key : int
        Identifies the request to answer; 0 if no answer is expected.
    identity : str
        Name that the target reports; a later instance may reuse it.
    started_at : int
        Unix time in ms of the target's start; 0 if not reported.
    sequence : int
        Rises with each heartbeat of an instance.
    leaving : bool
        The target will stop and should get no new flows.
    cold_ms : int
        Remaining time of the cold start.
    """

    __slots__ = (
        'key', 'identity', 'service', 'started_at', 'sequence', 'slots',
        'leaving', 'cold_ms')

    def __init__(
            self, key, identity, service, started_at, sequence, slots,
            leaving, cold_ms):
        self.key = key
        self.identity = identity
        self.service = service
        self.started_at = started_at
        self.sequence = sequence
        self.slots = slots
        self.leaving = leaving
        self.cold_ms = cold_ms


class Departure(record.Record):
    r"""Event: a target reports that it is about to exit."""

    __slots__ = ('key', 'identity')

    def __init__(self, key, identity):
        self.key = key
        self.identity = identity


class HeartbeatReply(record.Record):
    r"""Effect: acknowledge a heartbeat or departure that was processed."""

    __slots__ = ('key',)

    def __init__(self, key):
        self.key = key


class KnownTarget:
    r"""The current instance of the target, as its heartbeats describe it.

    ``last_heartbeat_at`` and ``cold_until`` are times of the agent's clock
    in ms, ``started_at`` is a Unix time in ms. ``no_earlier_agent_run`` tells
    whether no earlier run of the agent can have served this instance.
    """

    __slots__ = (
        'identity', 'service', 'started_at', 'sequence', 'slots', 'leaving',
        'last_heartbeat_at', 'cold_until', 'no_earlier_agent_run')

    def __init__(self, heartbeat, now, no_earlier_agent_run=False):
        self.identity = heartbeat.identity
        self.service = heartbeat.service
        self.started_at = heartbeat.started_at
        self.sequence = heartbeat.sequence
        self.slots = heartbeat.slots
        self.leaving = heartbeat.leaving
        self.last_heartbeat_at = now
        self.cold_until = now + heartbeat.cold_ms
        self.no_earlier_agent_run = no_earlier_agent_run


def find_fault(heartbeat, unix_ms):
    r"""Return why a heartbeat can't come from a target, or an empty string.

    A heartbeat with a start time or a sequence number that is too high would
    make all later heartbeats of the target on this host look outdated.

    Parameters
    ==========

    unix_ms : int
        Unix time in ms at which the heartbeat arrived.

    Examples
    ========

    >>> beat = Heartbeat(0, 'a', 'dispatch', 5000, 3, 1, False, 0)
    >>> find_fault(beat, 9000)
    ''
    >>> find_fault(beat.replace(started_at=2**53), 9000)
    'start time 9007199254740992 is in the future'
    >>> find_fault(beat.replace(sequence=2**53), 9000)
    'sequence 9007199254740992 is higher than the ms since the start'

    """
    latest = unix_ms + MAXIMUM_CLOCK_LEAD_MS
    if heartbeat.started_at > latest:
        return 'start time %d is in the future' % heartbeat.started_at
    if heartbeat.sequence > latest - heartbeat.started_at:
        return 'sequence %d is higher than the ms since the start' % (
            heartbeat.sequence)
    return ''


def is_same_instance(known, heartbeat):
    r"""Return whether a heartbeat comes from the known instance."""
    return (
        known.identity == heartbeat.identity
        and known.started_at == heartbeat.started_at)


def is_first_agent_run(heartbeat, agent_started_at):
    r"""Return whether no earlier agent run can have served an instance.

    Parameters
    ==========

    agent_started_at : int
        Unix time in ms of the agent's start, by the clock of the host.

    Examples
    ========

    >>> beat = Heartbeat(0, 'a', 'dispatch', 5000, 3, 1, False, 0)
    >>> is_first_agent_run(beat, 5300), is_first_agent_run(beat, 9000)
    (True, False)
    >>> is_first_agent_run(beat.replace(sequence=1), 9000)
    True

    """
    return heartbeat.sequence <= FIRST_SEQUENCE or (
        heartbeat.started_at > agent_started_at - AGENT_STARTUP_MS)


def is_outdated(known, heartbeat):
    r"""Return whether a heartbeat is older than the last one processed.

    Examples
    ========

    >>> beat = Heartbeat(0, 'a', 'dispatch', 5000, 3, 1, False, 0)
    >>> known = KnownTarget(beat, now=0)
    >>> is_outdated(known, beat)
    True
    >>> is_outdated(known, beat.replace(sequence=4))
    False
    >>> is_outdated(known, beat.replace(started_at=4000, sequence=9))
    True
    >>> is_outdated(known, beat.replace(started_at=6000, sequence=1))
    False

    """
    if is_same_instance(known, heartbeat):
        return heartbeat.sequence <= known.sequence
    return heartbeat.started_at < known.started_at
