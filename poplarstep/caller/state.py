r"""State that one caller process owns: its flows and open requests."""

from poplarstep.core import record
from poplarstep.core import verdict
from poplarstep.limits import budget

FIRST_RESEND_MS = 250
MAXIMUM_RESEND_MS = 2000
# Pause before a new attempt of a request that was refused; it doubles, so
# that retries do not keep an overload going.
FIRST_RETRY_MS = 50


class Flow(record.Record):
    r"""A flow as its caller sees it.

    Parameters
    ==========

    token : bytes or None
        None until the flow is open, and again after its target ended it.
    ended : bytes or None
        Token that an agent said has ended; it is not taken again.
    opening : bool
        Whether an ``Open`` is sent until it is answered.
    asks, next_number : int
        Requests of the program; number of the next attempt. Numbers go on
        through all tokens of the flow, so a late answer matches no other
        request.
    refusal : str
        Reason of the last refusal of an open.
    waiting : list of Exchange
        Requests whose next attempt is not sent yet.
    """

    __slots__ = (
        'flow_key', 'service', 'token', 'ended', 'opening', 'started',
        'asks', 'next_number', 'refusal', 'deadline', 'resend_at',
        'resend_after', 'retry_after', 'waiting', 'exchange_by_number')

    def __init__(self, flow_key, service, deadline, now):
        self.flow_key = flow_key
        self.service = service
        self.token = None
        self.ended = None
        self.opening = True
        self.started = False
        self.asks = 0
        self.next_number = 1
        self.refusal = 'deadline'
        self.deadline = deadline
        self.resend_at = now + FIRST_RESEND_MS
        self.resend_after = FIRST_RESEND_MS
        self.retry_after = FIRST_RETRY_MS
        self.waiting = []
        self.exchange_by_number = {}


class Exchange(record.Record):
    r"""One request that has no outcome yet.

    Parameters
    ==========

    ask : int
        Counts the program's requests on the flow.
    number, token : int, bytes
        Identity of the present attempt; None until it is sent.
    retry : bool
        Whether the present attempt is charged to the retry budget.
    moved : bool
        Whether an attempt has been refused before.
    earlier : Verdict
        Whether an earlier attempt may have run.
    decided, reason : Verdict, str
        What the caller is told when the deadline passes now.
    """

    __slots__ = (
        'ask', 'number', 'payload', 'idempotent', 'deadline', 'token',
        'retry', 'moved', 'abandoned', 'earlier', 'decided', 'reason',
        'resend_at', 'resend_after', 'retry_after', 'resends',
        'part_by_index')

    def __init__(self, ask, payload, idempotent, deadline, now):
        self.ask = ask
        self.number = None
        self.payload = payload
        self.idempotent = idempotent
        self.deadline = deadline
        self.token = None
        self.retry = False
        self.moved = False
        self.abandoned = False
        self.earlier = verdict.Verdict.NOT_RUN
        self.decided = verdict.Verdict.NOT_RUN
        self.reason = 'deadline'
        self.resend_at = now
        self.resend_after = FIRST_RESEND_MS
        self.retry_after = FIRST_RETRY_MS
        self.resends = 0
        self.part_by_index = {}


class CallerState:
    r"""All flows of one caller process."""

    __slots__ = (
        'flow_by_key', 'retry_budget', 'unmatched', 'resends', 'retries')

    def __init__(self, retry_budget):
        self.flow_by_key = {}
        self.retry_budget = retry_budget
        self.unmatched = 0
        self.resends = 0
        self.retries = 0


def make_caller_state():
    r"""Return the state of a caller without flows."""
    return CallerState(budget.make_retry_budget(now=0))


def back_off(item, now):
    r"""Double the pause before the next resend of an open or a request."""
    item.resend_after = min(MAXIMUM_RESEND_MS, item.resend_after * 2)
    item.resend_at = now + item.resend_after


def pause(item, least_ms, now):
    r"""Return when to go on after a refusal; the next pause is twice this."""
    resume_at = now + max(least_ms, item.retry_after)
    item.retry_after = min(MAXIMUM_RESEND_MS, item.retry_after * 2)
    return resume_at
