r"""What an agent believes of the target beside it.

Explanation
===========

Targets make themselves known by heartbeats only, which may be late, out of
order or forged. A later start of a target replaces an earlier one; within
one start the sequence number decides. A target that has been silent for
longer than ``fresh_ms`` gets no new flow: its address may by then belong to
a target of another service.
"""

from poplarstep.core import record


FIRST_SEQUENCE = 1
# An agent takes at least this long to start, in which it serves nothing. A
# target that started no earlier has been served by this run alone.
STARTUP_MS = 400


class Heartbeat(record.Record):
    r"""A target says what it is.

    Parameters
    ==========

    key : int
        Names the waiting sender at this agent; 0 when nobody waits.
    identity : str
        Name that the target gives itself; it may be used again.
    started_at : int
        Unix time in ms of the target's start; 0 when it is not told.
    sequence : int
        Rises with each heartbeat of one start.
    leaving : bool
        The target will stop and should get no new flows.
    cold_ms : int
        For how much longer the target is in cold start.
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
    r"""A target says that it is about to end."""

    __slots__ = ('key', 'identity')

    def __init__(self, key, identity):
        self.key = key
        self.identity = identity


class HeartbeatReply(record.Record):
    r"""Effect: what was said is in force at this agent."""

    __slots__ = ('key',)

    def __init__(self, key):
        self.key = key


class TargetView:
    r"""The present target, as its heartbeats describe it.

    ``heard_at`` and ``cold_until`` are times of the agent's clock in ms.
    ``from_start`` tells that no former run of the agent can have served
    this start of the target.
    """

    __slots__ = (
        'identity', 'service', 'started_at', 'sequence', 'slots', 'leaving',
        'heard_at', 'cold_until', 'from_start')

    def __init__(self, heartbeat, now, from_start=False):
        self.identity = heartbeat.identity
        self.service = heartbeat.service
        self.started_at = heartbeat.started_at
        self.sequence = heartbeat.sequence
        self.slots = heartbeat.slots
        self.leaving = heartbeat.leaving
        self.heard_at = now
        self.cold_until = now + heartbeat.cold_ms
        self.from_start = from_start


def is_same_start(view, heartbeat):
    r"""Return whether a heartbeat is of the start that is known."""
    return (
        view.identity == heartbeat.identity
        and view.started_at == heartbeat.started_at)


def is_first_agent(heartbeat, agent_started_at):
    r"""Return whether no former run of an agent can have served a start.

    Parameters
    ==========

    agent_started_at : int
        Unix time in ms of the agent's start, by the clock of the same host.

    Examples
    ========

    >>> beat = Heartbeat(0, 'a', 'dispatch', 5000, 3, 1, False, 0)
    >>> is_first_agent(beat, 5300), is_first_agent(beat, 9000)
    (True, False)
    >>> is_first_agent(beat.replace(sequence=1), 9000)
    True

    """
    return heartbeat.sequence <= FIRST_SEQUENCE or (
        heartbeat.started_at > agent_started_at - STARTUP_MS)


def is_outdated(view, heartbeat):
    r"""Return whether a heartbeat is older than what is known.

    Examples
    ========

    >>> beat = Heartbeat(0, 'a', 'dispatch', 5000, 3, 1, False, 0)
    >>> view = TargetView(beat, now=0)
    >>> is_outdated(view, beat)
    True
    >>> is_outdated(view, beat.replace(sequence=4))
    False
    >>> is_outdated(view, beat.replace(started_at=4000, sequence=9))
    True
    >>> is_outdated(view, beat.replace(started_at=6000, sequence=1))
    False

    """
    if is_same_start(view, heartbeat):
        return heartbeat.sequence <= view.sequence
    return heartbeat.started_at < view.started_at
