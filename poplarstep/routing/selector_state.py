r"""What a selector learns about a target from the opens of its balancer."""

import math

FIRST_BACKOFF_MS = 100
MAXIMUM_LOST_BACKOFF_MS = 4000
MAXIMUM_REFUSED_BACKOFF_MS = 1600
PROBE_TIMEOUT_MS = 10_000
# Must not exceed the duration of flows. Otherwise a change of the estimated
# capacity redirects more opens than there are flows, and the load oscillates:
# with 30 s and flows of 10 s the most loaded target has 1.34 times the mean.
OPENS_TIME_CONSTANT_MS = 10_000


class TargetObservations:
    r"""Observations of one target by one balancer; times in ms.

    Parameters
    ==========

    decayed_opens : float
        This balancer's opens, decaying with ``OPENS_TIME_CONSTANT_MS`` on
        the clock that the selector passes to ``recent_opens``.
    decayed_at : int or float
        Time of that clock to which ``decayed_opens`` applies.
    in_flight : int
        This balancer's opens without an answer.
    sent_opens : int
        Total of this balancer's opens, without decay and without the refused
        and the lost ones.
    load : packet.Load or None
        Load in the last answer, received at ``load_received_at``.
    unchanged_reports : int
        Number of consecutive latest answers whose load equals that of the
        answer before.
    log_speed : float or None
        Logarithm of the requests per ms and slot, smoothed over
        ``speed_samples`` reports.
    consecutive_backoffs : int
        Number of backoffs since the last accepted open.
    blocked_until : int
        No open is sent before this time.
    probe_at : int or None
        When the probe, the only open allowed after a backoff, was sent.
    opens_before_probe : int
        Opens that were in flight when the probe was sent and have not been
        lost since.
    """

    __slots__ = (
        'decayed_opens', 'decayed_at', 'in_flight', 'sent_opens', 'load',
        'load_received_at', 'unchanged_reports', 'log_speed',
        'speed_samples', 'consecutive_backoffs', 'blocked_until', 'probe_at',
        'opens_before_probe')

    def __init__(self, now):
        self.decayed_opens = 0.0
        self.decayed_at = now
        self.in_flight = 0
        self.sent_opens = 0
        self.load = None
        self.load_received_at = now
        self.unchanged_reports = 0
        self.log_speed = None
        self.speed_samples = 0
        self.consecutive_backoffs = 0
        self.blocked_until = now
        self.probe_at = None
        self.opens_before_probe = 0

    def recent_opens(self, clock):
        r"""Return the decayed number of opens at a time in ms."""
        if clock > self.decayed_at:
            self.decayed_opens *= math.exp(
                (self.decayed_at - clock) / OPENS_TIME_CONSTANT_MS)
            self.decayed_at = clock
        return self.decayed_opens

    def is_usable(self, now):
        r"""Return whether an open may be sent now."""
        if not self.consecutive_backoffs:
            return True
        if now < self.blocked_until:
            return False
        return (
            self.probe_at is None
            or now - self.probe_at >= PROBE_TIMEOUT_MS)

    def sent(self, now):
        r"""Count an open; it is the probe if a backoff preceded it."""
        if self.consecutive_backoffs:
            self.probe_at = now
            self.opens_before_probe = self.in_flight
        self.in_flight += 1
        self.sent_opens += 1
        self.decayed_opens += 1

    def accepted(self, load, now):
        r"""Record an accepted open, which ends a backoff."""
        self.in_flight = max(0, self.in_flight - 1)
        self.consecutive_backoffs = 0
        self.probe_at = None
        self.opens_before_probe = 0
        self._record_load(load, now)

    def refused(self, load, now):
        r"""Record a refused open and back off."""
        self._undo_open()
        self._record_load(load, now)
        if now >= self.blocked_until:
            self._back_off(MAXIMUM_REFUSED_BACKOFF_MS, now)

    def lost(self, now):
        r"""Record an open without an answer and back off.

        Opens time out in the order in which they were sent. Those that were
        sent before the probe do not tell whether the probe was lost.
        """
        self._undo_open()
        if self.probe_at is not None:
            if self.opens_before_probe:
                self.opens_before_probe -= 1
                return
        elif self.consecutive_backoffs:
            return
        self._back_off(MAXIMUM_LOST_BACKOFF_MS, now)

    def _undo_open(self):
        self.in_flight = max(0, self.in_flight - 1)
        self.sent_opens = max(0, self.sent_opens - 1)
        self.decayed_opens = max(0.0, self.decayed_opens - 1)

    def _back_off(self, maximum_ms, now):
        self.blocked_until = now + min(
            maximum_ms,
            FIRST_BACKOFF_MS * 2 ** min(self.consecutive_backoffs, 10))
        self.consecutive_backoffs += 1
        self.probe_at = None

    def _record_load(self, load, now):
        if load is None:
            return
        self.unchanged_reports = (
            self.unchanged_reports + 1 if load == self.load else 0)
        self.load = load
        self.load_received_at = now
