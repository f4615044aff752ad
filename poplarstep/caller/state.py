r"""State of one caller process: its flows and unfinished requests."""

from poplarstep.core import record
from poplarstep.core import verdict
from poplarstep.limits import budget

FIRST_RESEND_DELAY_MS = 250
MAXIMUM_BACKOFF_MS = 2000
# Delay before a new attempt of a refused request. It doubles with each
# refusal, so that retries don't prolong an overload.
FIRST_RETRY_DELAY_MS = 50


class Flow(record.Record):
    r"""A flow at its caller.

    Parameters
    ==========

    token : bytes or None
        None until the flow is open, and again after its target ended it.
    ended_token : bytes or None
        Token of an ended flow. A late ``Opened`` with it is ignored.
    opening : bool
        Whether an ``Open`` is being sent until it is answered.
    started : bool
        Whether the flow has been open before.
    request_count, next_number : int
        Number of requests of the program; number of the next attempt.
        Attempts are numbered across all tokens of the flow, so that a late
        answer never matches another request.
    last_refusal_reason : str
        Reason of the last refusal of an ``Open``.
    deadline : int
        Time in ms at which opening the flow fails.
    resend_at : int
        Time in ms at which the ``Open`` is sent again.
    waiting : list of Exchange
        Requests whose next attempt has not been sent yet.
    exchange_by_number : dict
        Requests whose current attempt has been sent, by its number.
    """

    __slots__ = (
        'flow_key', 'service', 'token', 'ended_token', 'opening', 'started',
        'request_count', 'next_number', 'last_refusal_reason',
        'deadline', 'resend_at', 'resend_delay_ms', 'retry_delay_ms',
        'waiting', 'exchange_by_number')

    def __init__(self, flow_key, service, deadline, now):
        self.flow_key = flow_key
        self.service = service
        self.token = None
        self.ended_token = None
        self.opening = True
        self.started = False
        self.request_count = 0
        self.next_number = 1
        self.last_refusal_reason = 'deadline'
        self.deadline = deadline
        self.resend_at = now + FIRST_RESEND_DELAY_MS
        self.resend_delay_ms = FIRST_RESEND_DELAY_MS
        self.retry_delay_ms = FIRST_RETRY_DELAY_MS
        self.waiting = []
        self.exchange_by_number = {}


class Exchange(record.Record):
    r"""One request that has no outcome yet.

    Parameters
    ==========

    request_number : int
        Number of the program's request on the flow.
    attempt_number, token : int, bytes
        Identity of the current attempt; None until it is sent.
    charge_retry_budget : bool
        Whether the next attempt is charged to the retry budget.
    refused_before : bool
        Whether an attempt has been refused before.
    cancelled : bool
        Whether the program has cancelled the request.
    earlier_verdict : Verdict
        Whether an earlier attempt may have run.
    current_verdict, reason : Verdict, str
        Outcome that is reported if the deadline passes now.
    part_by_index : dict
        Parts of the answer that have arrived.
    """

    __slots__ = (
        'request_number', 'attempt_number', 'payload', 'idempotent',
        'deadline', 'token', 'charge_retry_budget', 'refused_before',
        'cancelled', 'earlier_verdict', 'current_verdict', 'reason',
        'resend_at', 'resend_delay_ms', 'retry_delay_ms', 'resends',
        'part_by_index')

    def __init__(self, request_number, payload, idempotent, deadline, now):
        self.request_number = request_number
        self.attempt_number = None
        self.payload = payload
        self.idempotent = idempotent
        self.deadline = deadline
        self.token = None
        self.charge_retry_budget = False
        self.refused_before = False
        self.cancelled = False
        self.earlier_verdict = verdict.Verdict.NOT_RUN
        self.current_verdict = verdict.Verdict.NOT_RUN
        self.reason = 'deadline'
        self.resend_at = now
        self.resend_delay_ms = FIRST_RESEND_DELAY_MS
        self.retry_delay_ms = FIRST_RETRY_DELAY_MS
        self.resends = 0
        self.part_by_index = {}


class CallerState:
    r"""All flows of one caller process, and counts of its packets.

    ``unmatched`` counts packets that match no flow or request.
    """

    __slots__ = (
        'flow_by_key', 'retry_budget', 'unmatched', 'resends', 'retries')

    def __init__(self, retry_budget):
        self.flow_by_key = {}
        self.retry_budget = retry_budget
        self.unmatched = 0
        self.resends = 0
        self.retries = 0


def make_caller_state() -> CallerState:
    r"""Return the state of a caller without flows."""
    return CallerState(budget.make_retry_budget(now=0))


def schedule_resend(item, now):
    r"""Schedule the next resend of an open or request at a doubled delay."""
    item.resend_delay_ms = min(MAXIMUM_BACKOFF_MS, item.resend_delay_ms * 2)
    item.resend_at = now + item.resend_delay_ms


def retry_time(item, least_ms, now):
    r"""Return when to send again after a refusal; double the next delay.

    The delay is at least ``least_ms``, as the refusal demanded.
    """
    resume_at = now + max(least_ms, item.retry_delay_ms)
    item.retry_delay_ms = min(MAXIMUM_BACKOFF_MS, item.retry_delay_ms * 2)
    return resume_at
