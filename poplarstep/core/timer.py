r"""Periodic timers: stages subscribe to a period and receive ticks.

Explanation
===========

``TimerQueue`` holds the subscriptions and decides what is due. It does not
sleep: a task of ``poplarstep.edge`` sleeps until ``next_deadline`` and
feeds the ticks to its pipeline, and tests advance the time by hand.
"""

from poplarstep.core import record


class Tick(record.Record):
    r"""A subscription's period has passed."""

    __slots__ = ('name',)

    def __init__(self, name: str):
        self.name = name


class Subscription(record.Record):
    r"""Name, period and next deadline of one subscriber, in ms."""

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
    >>> timers.next_deadline()
    100
    >>> timers.due(now=350)
    [Tick(name='heartbeat')]
    >>> timers.next_deadline()
    450

    """

    __slots__ = ('subscription_by_name',)

    def __init__(self):
        self.subscription_by_name = {}

    def subscribe(self, name, period_ms, now):
        r"""Subscribe a name to ticks every ``period_ms`` milliseconds."""
        if period_ms <= 0:
            raise ValueError(
                'period of %r must be positive, not %r ms'
                % (name, period_ms))
        self.subscription_by_name[name] = Subscription(
            name, period_ms, now + period_ms)

    def next_deadline(self):
        r"""Return the earliest deadline in ms, or None."""
        return min(
            (entry.deadline for entry in self.subscription_by_name.values()),
            default=None,
        )

    def due(self, now):
        r"""Return the ticks that are due and schedule the next ones."""
        ticks = []
        for entry in self.subscription_by_name.values():
            if entry.deadline <= now:
                ticks.append(Tick(entry.name))
                entry.deadline = now + entry.period_ms
        return ticks
