r"""What a selector knows about each target from its own opens."""

import math

FIRST_BACKOFF_MS = 100
MAXIMUM_LOST_BACKOFF_MS = 4000
MAXIMUM_REFUSED_BACKOFF_MS = 1600
PROBE_TIMEOUT_MS = 10_000
# With 30 s and flows of 10 s, a change of the estimated capacity moved more
# opens than there were flows, and the load oscillated (max/mean 1.34).
OPENS_TIME_CONSTANT_MS = 10_000


class TargetState:
    r"""Own observations of one target.

    Parameters
    ==========

    opens : float
        Own opens, decaying with ``OPENS_TIME_CONSTANT_MS`` along the clock
        that the owner passes to ``recent_opens``; last decayed at
        ``opens_at``.
    in_flight : int
        Own opens without an answer.
    connections : int
        Own opens that were answered or are in flight, without decay.
    load : packet.Load or None
        Load in the last answer, received at ``load_at``.
    unchanged : int
        Answers in a row that carried an equal load.
    speed : float or None
        Logarithm of requests per ms and slot, smoothed over ``reports``
        changing reports.
    failures : int
        Backoffs in a row without an accepted open.
    blocked_until : int
        Milliseconds; no open is sent before.
    probe_at : int or None
        When the single open after a backoff was sent.
    older : int
        Opens that were in flight when the probe was sent.
    """

    __slots__ = (
        'opens', 'opens_at', 'in_flight', 'connections', 'load', 'load_at',
        'unchanged', 'speed', 'reports', 'failures', 'blocked_until',
        'probe_at', 'older')

    def __init__(self, now):
        self.opens = 0.0
        self.opens_at = now
        self.in_flight = 0
        self.connections = 0
        self.load = None
        self.load_at = now
        self.unchanged = 0
        self.speed = None
        self.reports = 0
        self.failures = 0
        self.blocked_until = now
        self.probe_at = None
        self.older = 0

    def recent_opens(self, clock):
        r"""Return the number of own opens, decayed up to a clock in ms."""
        if clock > self.opens_at:
            self.opens *= math.exp(
                (self.opens_at - clock) / OPENS_TIME_CONSTANT_MS)
            self.opens_at = clock
        return self.opens

    def usable(self, now):
        r"""Return whether an open may be sent now."""
        if not self.failures:
            return True
        if now < self.blocked_until:
            return False
        return (
            self.probe_at is None
            or now - self.probe_at >= PROBE_TIMEOUT_MS)

    def sent(self, now):
        r"""Count an open; it is the probe if the target has failures."""
        if self.failures:
            self.probe_at = now
            self.older = self.in_flight
        self.in_flight += 1
        self.connections += 1
        self.opens += 1

    def accepted(self, load, now):
        r"""Record an accepted open: the target works."""
        self.in_flight = max(0, self.in_flight - 1)
        self.failures = 0
        self.probe_at = None
        self.older = 0
        self._learn(load, now)

    def refused(self, load, now):
        r"""Record a refused open and back off."""
        self._withdraw()
        self._learn(load, now)
        if now >= self.blocked_until:
            self._back_off(MAXIMUM_REFUSED_BACKOFF_MS, now)

    def lost(self, now):
        r"""Record an open without an answer and back off.

        Opens are lost in the order in which they were sent, so losses of
        opens that are older than the probe say nothing about the probe.
        """
        self._withdraw()
        if self.probe_at is not None:
            if self.older:
                self.older -= 1
                return
        elif self.failures:
            return
        self._back_off(MAXIMUM_LOST_BACKOFF_MS, now)

    def _withdraw(self):
        self.in_flight = max(0, self.in_flight - 1)
        self.connections = max(0, self.connections - 1)
        self.opens = max(0.0, self.opens - 1)

    def _back_off(self, maximum_ms, now):
        self.blocked_until = now + min(
            maximum_ms, FIRST_BACKOFF_MS * 2 ** min(self.failures, 10))
        self.failures += 1
        self.probe_at = None

    def _learn(self, load, now):
        if load is None:
            return
        self.unchanged = self.unchanged + 1 if load == self.load else 0
        self.load = load
        self.load_at = now
