r"""Stage of an agent that counts what service-level objectives need.

Explanation
===========

It stands before admission and sees each new request once, whatever copies
of it arrive, and each answer of the target. The latency is that which the
agent can see: from the first copy to the target's answer, with the wait in
the queue. Integers only; the edge copies them into metrics.
"""

import itertools

from poplarstep.core import stage
from poplarstep.requests import message

# A request that got no answer is forgotten after this; it is not good.
FORGET_MS = 120_000

SERVICE_LEVEL = stage.Stage('service level')


class ServiceLevel:
    r"""Counts of one agent's requests since it started.

    Parameters
    ==========

    late_after_ms : int
        An answer is late when it took longer.
    """

    __slots__ = (
        'total', 'good', 'late', 'late_after_ms', 'started_by_key')

    def __init__(self, late_after_ms):
        self.total = 0
        self.good = 0
        self.late = 0
        self.late_after_ms = late_after_ms
        self.started_by_key = {}


@SERVICE_LEVEL.handles(message.Admit)
def admit(state, event, now):
    r"""Count a new request."""
    state.total += 1
    state.started_by_key[event.key] = now
    for key, started in tuple(itertools.islice(
            state.started_by_key.items(), 2)):
        # Two of the oldest at each step keep pace with the arrivals.
        if now - started > FORGET_MS:
            del state.started_by_key[key]
    return [event]


@SERVICE_LEVEL.handles(message.TargetAnswered)
def target_answered(state, event, now):
    r"""Count an answer as good, and as late."""
    started = state.started_by_key.pop(event.key, None)
    if started is not None:
        state.good += 1
        state.late += now - started > state.late_after_ms
    return [event]


@SERVICE_LEVEL.handles(message.TargetFailed)
def target_failed(state, event, now):
    r"""Forget a request that may have run; another is tried again."""
    if event.ran:
        state.started_by_key.pop(event.key, None)
    return [event]
