r"""Stage of an agent that counts requests for service-level objectives.

Explanation
===========

The stage precedes admission and sees each new request once, however many
copies of it arrive, and each answer of the target. The latency is measured
from the first copy of the request to the target's answer and includes the
wait in the queue. The counts are exported as metrics.
"""

import itertools

from poplarstep.core import stage
from poplarstep.requests import message

# A request without an answer after this time is removed from the table and
# never counts as good.
ANSWER_TIMEOUT_MS = 120_000

SERVICE_LEVEL = stage.Stage('service level')


class ServiceLevel:
    r"""Counts of one agent's requests since it started.

    Parameters
    ==========

    late_after_ms : int
        Latency above which an answer counts as late.
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
        # Checking the two oldest for each new entry bounds the table.
        if now - started > ANSWER_TIMEOUT_MS:
            del state.started_by_key[key]
    return [event]


@SERVICE_LEVEL.handles(message.TargetAnswered)
def target_answered(state, event, now):
    r"""Count an answer as good, and as late if it took too long."""
    started = state.started_by_key.pop(event.key, None)
    if started is not None:
        state.good += 1
        state.late += now - started > state.late_after_ms
    return [event]


@SERVICE_LEVEL.handles(message.TargetFailed)
def target_failed(state, event, now):
    r"""Remove a request that may have run; it never counts as good.

    A request that did not run stays in the table, because it is queued again
    and may still be answered.
    """
    if event.may_have_run:
        state.started_by_key.pop(event.key, None)
    return [event]
