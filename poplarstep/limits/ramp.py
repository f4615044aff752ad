r"""Limit of requests in flight at one target, raised only by evidence.

Explanation
===========

The level is a real number of slots in use. It starts at the cold limit
and changes only when a request completes. The limit of requests in flight
is the level rounded down, at least 1.

A target with fewer than ``FINE_CEILING`` slots cannot be loaded a little by
whole requests. Its level starts at a sixteenth of the ceiling, its limit is
the level rounded up, and starts are paced: the next request may start
``t / level`` ms after the last one, where ``t`` is the baseline latency,
and below level 1 ``t * (1 / level - 1)`` ms after the end of a request that
took ``t`` ms. The level is then the mean number of busy slots. Waiting
passes time but never raises the level.
"""

import collections
import math
import statistics

# A cold target bears whole requests as a small share of its load only if it
# has at least this many slots.
FINE_CEILING = 4
# A quarter and an eighth let a model target that bears 30% of one slot fail
# 2.8 and 0.8 times in a cold start; a sixteenth 0.2 times.
COLD_SHARE = 0.0625
GROWTH_DIVISOR = 32
MAXIMUM_STEP = 0.25
# 4000 did not avoid more failures at 1 or 2 slots and took twice as long.
DOUBLING_MS = 2000
MAXIMUM_CAUTION = 32
UNUSED_GROWTH = 0.25
NEAR_FACTOR = 1.5
RISEN_FACTOR = 2.0
LATENCY_SLACK_MS = 5.0
WINDOW = 16
WINDOWS = 16
FALL_FACTOR = 0.5
MINIMUM_GAP_MS = 10
MAXIMUM_BACKOFF_MS = 1000
# One request that hangs must not stop the target for minutes.
MAXIMUM_PACE_MS = 10_000


class LatencyBaseline:
    r"""Robust minimum of the latency over the last completions.

    Explanation
    ===========

    The baseline is the second smallest of the medians of the last
    ``WINDOWS`` windows of ``WINDOW`` completions, so neither one quick
    answer nor one lucky window sets it.

    Examples
    ========

    >>> baseline = LatencyBaseline()
    >>> for latency_ms in (10, 12, 11):
    ...     baseline.add(latency_ms)
    >>> baseline.value()
    11

    """

    __slots__ = ('current', 'medians', 'cached')

    def __init__(self):
        self.current = []
        self.medians = collections.deque(maxlen=WINDOWS)
        self.cached = None

    def add(self, latency_ms):
        r"""Add the latency of a completed request."""
        self.current.append(latency_ms)
        if len(self.current) == WINDOW:
            self.medians.append(statistics.median(self.current))
            self.current.clear()
            ordered = sorted(self.medians)
            self.cached = ordered[min(1, len(ordered) - 1)]

    def value(self):
        r"""Return the baseline in ms, or None without completions."""
        if self.cached is not None:
            return self.cached
        if self.current:
            return statistics.median(self.current)
        return None


class Ramp:
    r"""Requests in flight that one target may be given now.

    Explanation
    ===========

    A completed request with a latency near the baseline raises the level by
    1/32 of it, at most by a quarter of a slot; a quarter of that when the
    level was not in use. Completions that follow one another quickly do not
    raise it faster than to its double in two seconds. A failed request, or
    a window whose median latency is twice the baseline, halves the level,
    once for the requests that were in flight together.

    Each failure of a cold target that had made progress doubles the
    caution: both growth limits are divided by it. Each time the level
    reaches the ceiling, the caution is halved. A target that needs longer
    to warm up than the ramp assumes thus fails a few times, not forever.

    Examples
    ========

    >>> ramp = make_ramp(cold_limit=1, ceiling=8)
    >>> ramp.limit()
    1
    >>> for number in range(40):
    ...     ramp.started(now=number * 90)
    ...     ramp.finished(now=number * 90 + 90, latency_ms=90,
    ...                   succeeded=True)
    >>> ramp.limit()
    2

    """

    __slots__ = (
        'cold_limit', 'ceiling', 'level', 'caution', 'progress', 'in_flight',
        'stale', 'baseline', 'recent', 'failures', 'fell_at',
        'next_start_at', 'last_finish_at', 'grown_at', 'cold')

    def __init__(self, cold_limit, ceiling):
        self.cold_limit = cold_limit
        self.ceiling = ceiling
        self.level = self.cold_level()
        self.caution = 1
        self.progress = False
        self.in_flight = 0
        self.stale = 0
        self.baseline = LatencyBaseline()
        self.recent = []
        self.failures = 0
        self.fell_at = None
        self.next_start_at = 0
        self.last_finish_at = None
        self.grown_at = None
        self.cold = True

    def cold_level(self):
        r"""Return the level at which a cold target starts."""
        if self.ceiling < FINE_CEILING:
            return min(self.cold_limit, self.ceiling * COLD_SHARE)
        return float(min(self.cold_limit, self.ceiling))

    def limit(self):
        r"""Return the number of requests that may be in flight."""
        if self.ceiling < FINE_CEILING:
            return math.ceil(self.level)
        return max(1, int(self.level))

    def may_start(self, now):
        r"""Return whether a request may start now."""
        return self.in_flight < self.limit() and now >= self.next_start_at

    def next_start(self):
        r"""Return the time in ms before which no request may start."""
        return self.next_start_at

    def is_cold(self):
        r"""Return whether the ceiling has not been reached since a reset."""
        return self.cold

    def started(self, now):
        r"""Count a request that was dispatched to the target."""
        self.in_flight += 1
        latency_ms = self.baseline.value()
        if self.ceiling < FINE_CEILING and self.level < self.ceiling and (
                latency_ms is not None):
            self._wait(now, latency_ms / self.level)

    def abandoned(self, now):
        r"""Free the slot of a request that ended without evidence."""
        self._release()

    def finished(self, now, latency_ms, succeeded):
        r"""Count a request that the target completed or failed.

        Parameters
        ==========

        now : int
            Milliseconds.
        latency_ms : float
            Time since the request was dispatched.
        succeeded : bool
            Whether the target answered without an error.
        """
        used = self._in_use(now, latency_ms)
        stale = self._release()
        self.last_finish_at = now
        if stale:
            return
        if succeeded:
            self.failures = 0
            self._learn(now, latency_ms, used)
        else:
            self.failures += 1
            self._fall(now, latency_ms)
        if self.level < 1:
            self._wait(now, latency_ms * (1 / self.level - 1))
        if self.failures:
            self._back_off(now)

    def unreachable(self, now):
        r"""Free the slot of a request whose connection was refused.

        Explanation
        ===========

        The target is not running, so it will start cold. Starts are spaced
        by a gap that doubles with each refused connection, up to a second.
        """
        self._release()
        self.failures += 1
        self.reset_cold()
        self._back_off(now)

    def reset_cold(self):
        r"""Return to the cold limit: the target has started again.

        Explanation
        ===========

        Requests in flight are still counted until the owner reports their
        end, and these ends are no evidence about the new start.
        """
        self._count_cold_failure()
        self.level = self.cold_level()
        self.stale = self.in_flight
        self.baseline = LatencyBaseline()
        self.recent = []
        self.fell_at = None
        self.grown_at = None
        self.cold = True

    def _count_cold_failure(self):
        if self.cold and self.progress:
            self.caution = min(MAXIMUM_CAUTION, self.caution * 2)
        self.progress = False

    def _release(self):
        r"""Free a slot; return whether the request predates a reset."""
        self.in_flight = max(0, self.in_flight - 1)
        if self.stale:
            self.stale -= 1
            return True
        return False

    def _in_use(self, now, latency_ms):
        if self.level >= 1:
            return self.in_flight >= self.level / 2
        if self.last_finish_at is None:
            return True
        cycle_ms = max(1, now - self.last_finish_at)
        return latency_ms >= cycle_ms * self.level / 2

    def _learn(self, now, latency_ms, used):
        self.baseline.add(latency_ms)
        baseline = self.baseline.value()
        self.recent.append(latency_ms)
        if len(self.recent) >= WINDOW:
            risen = statistics.median(self.recent) > (
                RISEN_FACTOR * baseline + LATENCY_SLACK_MS)
            self.recent = []
            if risen:
                self._latency_has_risen(now)
                return
        if latency_ms <= NEAR_FACTOR * baseline + LATENCY_SLACK_MS:
            self._grow(now, used)

    def _latency_has_risen(self, now):
        r"""Halve the level; at the cold level, accept the new latency.

        At the cold level the load cannot be the cause, so the old baseline
        no longer describes the target.
        """
        if self.level <= self.cold_level():
            self.baseline = LatencyBaseline()
            return
        self.level = max(self.cold_level(), self.level * FALL_FACTOR)
        self.fell_at = now

    def _grow(self, now, used):
        self.progress = True
        step = min(self.level / GROWTH_DIVISOR, MAXIMUM_STEP)
        if self.grown_at is not None:
            elapsed_ms = max(0, now - self.grown_at)
            step = min(step, self.level * elapsed_ms / DOUBLING_MS)
        self.grown_at = now
        if not used:
            step *= UNUSED_GROWTH
        reached = self.level >= self.ceiling
        self.level = min(
            float(self.ceiling), self.level + step / self.caution)
        if self.level < self.ceiling:
            return
        self.cold = False
        if not reached:
            self.caution = max(1, self.caution // 2)

    def _fall(self, now, latency_ms):
        if self.fell_at is not None and now - latency_ms < self.fell_at:
            return
        self._count_cold_failure()
        self.level = max(self.cold_level(), self.level * FALL_FACTOR)
        self.fell_at = now

    def _back_off(self, now):
        self._wait(now, min(
            MAXIMUM_BACKOFF_MS,
            MINIMUM_GAP_MS * 2 ** min(self.failures, 10)))

    def _wait(self, now, gap_ms):
        self.next_start_at = max(
            self.next_start_at, now + int(min(gap_ms, MAXIMUM_PACE_MS)))


def make_ramp(cold_limit, ceiling):
    r"""Return a cold ramp.

    Parameters
    ==========

    cold_limit : int
        Requests in flight that the target bears after a start.
    ceiling : int
        Announced slots of the target.

    Raises
    ======

    ValueError
        If a limit is below 1.
    """
    if cold_limit < 1 or ceiling < 1:
        raise ValueError(
            'cold limit and ceiling must be at least 1, not %r and %r'
            % (cold_limit, ceiling))
    return Ramp(cold_limit, ceiling)
