r"""Timers: stages subscribe to ticks and say when they need the next one.

Explanation
===========

``TimerQueue`` holds the subscriptions and decides what is due. A subscription
has a period. A stage may also register a function that says when it next has
something to do (``Stage.due_at``): the tick then comes at that time, but not
sooner than a period after the last one, so an idle task sleeps and a busy one
gets no more ticks than its period allows.

The queue does not sleep: a task of ``poplarstep.edge`` sleeps until
``next_deadline`` and feeds the ticks to its pipeline, and tests advance the
time by hand.
"""

from poplarstep.core import record


class Tick(record.Record):
    r"""A subscription's period has passed."""

    __slots__ = ('name',)

    def __init__(self, name: str):
        self.name = name


class Subscription(record.Record):
    r"""Name and period of a subscriber, and its earliest next tick, in ms."""

    __slots__ = ('name', 'period_ms', 'deadline')

    def __init__(self, name: str, period_ms: int, deadline: int):
        self.name = name
        self.period_ms = period_ms
        self.deadline = deadline


class TimerQueue:
    r"""Subscriptions of one task.

    Explanation
    ===========

    After a pause longer than a period a subscriber gets one tick, not one
    for each missed period, so that a resumed process does not replay them.

    Examples
    ========

    >>> timers = TimerQueue()
    >>> timers.subscribe('heartbeat', 100, now=0)
    >>> timers.next_deadline(now=0)
    100
    >>> timers.due(now=350)
    [Tick(name='heartbeat')]
    >>> timers.next_deadline(now=350)
    450
    >>> timers.attach({'heartbeat': lambda now: 900})
    >>> timers.due(now=450), timers.next_deadline(now=450)
    ([], 900)

    """

    __slots__ = ('subscription_by_name', 'due_by_name')

    def __init__(self):
        self.subscription_by_name = {}
        self.due_by_name = {}

    def attach(self, due_by_name):
        r"""Use functions of ``now`` that say when a tick is due, by name."""
        self.due_by_name = due_by_name

    def subscribe(self, name, period_ms, now):
        r"""Subscribe a name to ticks every ``period_ms`` milliseconds."""
        if period_ms <= 0:
            raise ValueError(
                'period of %r must be positive, not %r ms'
                % (name, period_ms))
        self.subscription_by_name[name] = Subscription(
            name, period_ms, now + period_ms)

    def next_deadline(self, now):
        r"""Return the earliest deadline in ms, or None."""
        return min(
            (deadline for deadline in (
                self._deadline(entry, now)
                for entry in self.subscription_by_name.values())
             if deadline is not None),
            default=None)

    def _deadline(self, entry, now):
        due_at = self.due_by_name.get(entry.name)
        if due_at is None:
            return entry.deadline
        due = due_at(now)
        return None if due is None else max(entry.deadline, due)

    def due(self, now):
        r"""Return the ticks that are due and schedule the next ones."""
        ticks = []
        for entry in self.subscription_by_name.values():
            if entry.deadline > now:
                continue
            deadline = self._deadline(entry, now)
            if deadline is not None and deadline <= now:
                ticks.append(Tick(entry.name))
                entry.deadline = now + entry.period_ms
        return ticks
