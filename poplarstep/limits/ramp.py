r"""Adaptive limit of the requests in flight at one target.

Explanation
===========

A target that has just started cannot handle its full load yet. The ramp
therefore keeps a level: the mean number of slots that the target may have
busy, a real number. The level starts at the cold limit and rises only when
requests succeed, up to the ceiling, the number of slots of the target. The
limit of requests in flight is the level rounded down, at least 1.

For a target with fewer than ``PACED_BELOW_SLOTS`` slots a limit in whole
requests is too coarse. Its level starts at a sixteenth of the ceiling, its
limit is the level rounded up, and the starts of requests are paced so that
the mean number of busy slots equals the level. A request may start
``t / level`` ms after the previous start, where ``t`` is the baseline
latency. Below level 1 it may also start only ``t * (1 / level - 1)`` ms
after the end of a request that took ``t`` ms. Idle time never raises the
level.
"""

import collections
import math
import statistics

# With fewer slots than this, one request is too large a share of the load of
# a cold target, so its starts are paced.
PACED_BELOW_SLOTS = 4
# Level of a cold target with paced starts, as a share of its slots. Higher
# levels overload a target that handles 30% of its full load when cold: with
# one slot, 1/4 causes 2.8 failures per cold start and 1/16 causes 0.2.
PACED_COLD_SHARE = 0.0625
# A successful request raises the level by the level divided by this, or by
# ``MAXIMUM_GROWTH_SLOTS`` if that is less.
GROWTH_DIVISOR = 32
MAXIMUM_GROWTH_SLOTS = 0.25
# The level rises by at most level / GROWTH_TIME_CONSTANT_MS per ms. Slower
# growth prevents no further failures of targets with 1 or 2 slots.
GROWTH_TIME_CONSTANT_MS = 2000
MAXIMUM_SLOWDOWN = 32
# Reduces the growth while less than half of the level is in use.
UNUSED_LEVEL_FACTOR = 0.25
# The level grows after a latency of at most NORMAL_LATENCY_FACTOR times the
# baseline, and is halved after a median above HIGH_LATENCY_FACTOR times the
# baseline. LATENCY_SLACK_MS is added to both limits.
NORMAL_LATENCY_FACTOR = 1.5
HIGH_LATENCY_FACTOR = 2.0
LATENCY_SLACK_MS = 5.0
# Requests in a window of which the median latency is taken.
WINDOW_SIZE = 16
# Latest windows that determine the baseline.
BASELINE_WINDOWS = 16
DECREASE_FACTOR = 0.5
# Half of the first backoff.
BACKOFF_BASE_MS = 10
MAXIMUM_BACKOFF_MS = 1000
# Bounds the pause that follows a request with a very long latency.
MAXIMUM_START_DELAY_MS = 10_000


class LatencyBaseline:
    r"""Robust minimum of the latency over the most recent requests.

    Explanation
    ===========

    The baseline is the second smallest of the medians of the last
    ``BASELINE_WINDOWS`` windows of ``WINDOW_SIZE`` requests, so
    neither a single fast answer nor a single fast window determines it.
    Until the first window is full, it is the median of the latencies so far.

    Examples
    ========

    >>> baseline = LatencyBaseline()
    >>> for latency_ms in (10, 12, 11):
    ...     baseline.add(latency_ms)
    >>> baseline.value()
    11

    """

    __slots__ = ('window', 'medians', 'full_window_baseline')

    def __init__(self):
        self.window = []
        self.medians = collections.deque(maxlen=BASELINE_WINDOWS)
        self.full_window_baseline = None

    def add(self, latency_ms):
        r"""Add the latency of a completed request."""
        self.window.append(latency_ms)
        if len(self.window) == WINDOW_SIZE:
            self.medians.append(statistics.median(self.window))
            self.window.clear()
            ordered = sorted(self.medians)
            self.full_window_baseline = ordered[min(1, len(ordered) - 1)]

    def value(self):
        r"""Return the baseline in ms, or None without completions."""
        if self.full_window_baseline is not None:
            return self.full_window_baseline
        if self.window:
            return statistics.median(self.window)
        return None


class Ramp:
    r"""Adapts the limit of requests in flight at one target.

    Explanation
    ===========

    A successful request with a latency near the baseline raises the level
    by ``level / GROWTH_DIVISOR``, at most by ``MAXIMUM_GROWTH_SLOTS``, and
    at most by ``level / GROWTH_TIME_CONSTANT_MS`` for each millisecond since
    the last rise. The rise is multiplied by ``UNUSED_LEVEL_FACTOR`` if less
    than half of the level was in use. A failed request halves the level,
    and so does a window whose median latency is high
    (``HIGH_LATENCY_FACTOR``). Several failures of requests that were in
    flight at the same time halve the level once.

    The rises are divided by ``slowdown``, which doubles each time that a
    cold target fails or restarts after its level had risen, and halves each
    time that the level reaches the ceiling. A target that needs longer to warm
    up than the ramp assumes therefore fails only a few times.

    The user of the ramp must call ``started`` at the start of each request,
    and ``finished``, ``abandoned`` or ``unreachable`` at its end.

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
        'cold_limit', 'ceiling', 'level', 'slowdown', 'has_grown',
        'in_flight', 'in_flight_before_reset', 'baseline',
        'recent_latencies_ms', 'consecutive_failures', 'decreased_at',
        'next_start_at', 'last_finish_at', 'grown_at', 'cold')

    def __init__(self, cold_limit, ceiling):
        self.cold_limit = cold_limit
        self.ceiling = ceiling
        self.level = self.cold_level()
        self.slowdown = 1
        self.has_grown = False
        self.in_flight = 0
        self.in_flight_before_reset = 0
        self.baseline = LatencyBaseline()
        self.recent_latencies_ms = []
        self.consecutive_failures = 0
        self.decreased_at = None
        self.next_start_at = 0
        self.last_finish_at = None
        self.grown_at = None
        self.cold = True

    def cold_level(self):
        r"""Return the initial level, which is also the lowest."""
        if self.ceiling < PACED_BELOW_SLOTS:
            return min(self.cold_limit, self.ceiling * PACED_COLD_SHARE)
        return float(min(self.cold_limit, self.ceiling))

    def limit(self):
        r"""Return the maximum number of requests in flight."""
        if self.ceiling < PACED_BELOW_SLOTS:
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
        r"""Report that a request was dispatched to the target."""
        self.in_flight += 1
        latency_ms = self.baseline.value()
        if self.ceiling < PACED_BELOW_SLOTS and self.level < self.ceiling and (
                latency_ms is not None):
            self._delay_next_start(now, latency_ms / self.level)

    def abandoned(self, now):
        r"""Report the end of a request that neither succeeded nor failed.

        The slot is freed; the level stays.
        """
        self._release()

    def finished(self, now, latency_ms, succeeded):
        r"""Report the success or failure of a request.

        Parameters
        ==========

        now : int
            Current time in ms.
        latency_ms : float
            Time since the request was dispatched.
        succeeded : bool
            Whether the target answered without an error.
        """
        is_level_used = self._is_level_used(now, latency_ms)
        started_before_reset = self._release()
        self.last_finish_at = now
        if started_before_reset:
            return
        if succeeded:
            self.consecutive_failures = 0
            self._record_success(now, latency_ms, is_level_used)
        else:
            self.consecutive_failures += 1
            self._decrease(now, latency_ms)
        if self.level < 1:
            self._delay_next_start(now, latency_ms * (1 / self.level - 1))
        if self.consecutive_failures:
            self._back_off(now)

    def unreachable(self, now):
        r"""Report a request whose connection was refused.

        Explanation
        ===========

        The target is not running, so the ramp returns to the cold level.
        The backoff before the next start doubles with each refused
        connection, up to one second.
        """
        self._release()
        self.consecutive_failures += 1
        self.reset_cold()
        self._back_off(now)

    def reset_cold(self):
        r"""Return to the cold level because the target has restarted.

        Explanation
        ===========

        Requests that are in flight count towards the limit until their end
        is reported, but their results do not change the new level.
        """
        self._count_cold_failure()
        self.level = self.cold_level()
        self.in_flight_before_reset = self.in_flight
        self.baseline = LatencyBaseline()
        self.recent_latencies_ms = []
        self.decreased_at = None
        self.grown_at = None
        self.cold = True

    def _count_cold_failure(self):
        if self.cold and self.has_grown:
            self.slowdown = min(MAXIMUM_SLOWDOWN, self.slowdown * 2)
        self.has_grown = False

    def _release(self):
        r"""Free a slot; return whether its request predates a reset.

        The ramp does not identify requests: it assumes that the first
        requests to end after a reset are those in flight at the reset.
        """
        self.in_flight = max(0, self.in_flight - 1)
        if self.in_flight_before_reset:
            self.in_flight_before_reset -= 1
            return True
        return False

    def _is_level_used(self, now, latency_ms):
        r"""Return whether at least half of the level was in use.

        Below level 1 the use is the share of the time since the previous
        end in which a request was running.
        """
        if self.level >= 1:
            return self.in_flight >= self.level / 2
        if self.last_finish_at is None:
            return True
        cycle_ms = max(1, now - self.last_finish_at)
        return latency_ms >= cycle_ms * self.level / 2

    def _record_success(self, now, latency_ms, is_level_used):
        self.baseline.add(latency_ms)
        baseline = self.baseline.value()
        self.recent_latencies_ms.append(latency_ms)
        if len(self.recent_latencies_ms) >= WINDOW_SIZE:
            is_high = statistics.median(self.recent_latencies_ms) > (
                HIGH_LATENCY_FACTOR * baseline + LATENCY_SLACK_MS)
            self.recent_latencies_ms = []
            if is_high:
                self._reduce_for_high_latency(now)
                return
        if latency_ms <= NORMAL_LATENCY_FACTOR * baseline + LATENCY_SLACK_MS:
            self._grow(now, is_level_used)

    def _reduce_for_high_latency(self, now):
        r"""Halve the level, or measure a new baseline at the cold level.

        At the cold level the load cannot be the cause of a high latency, so
        the old baseline no longer describes the target.
        """
        if self.level <= self.cold_level():
            self.baseline = LatencyBaseline()
            return
        self.level = max(self.cold_level(), self.level * DECREASE_FACTOR)
        self.decreased_at = now

    def _grow(self, now, is_level_used):
        self.has_grown = True
        step = min(self.level / GROWTH_DIVISOR, MAXIMUM_GROWTH_SLOTS)
        if self.grown_at is not None:
            elapsed_ms = max(0, now - self.grown_at)
            step = min(step, self.level * elapsed_ms / GROWTH_TIME_CONSTANT_MS)
        self.grown_at = now
        if not is_level_used:
            step *= UNUSED_LEVEL_FACTOR
        was_at_ceiling = self.level >= self.ceiling
        self.level = min(
            float(self.ceiling), self.level + step / self.slowdown)
        if self.level < self.ceiling:
            return
        self.cold = False
        if not was_at_ceiling:
            self.slowdown = max(1, self.slowdown // 2)

    def _decrease(self, now, latency_ms):
        if self.decreased_at is not None and (
                now - latency_ms < self.decreased_at):
            return
        self._count_cold_failure()
        self.level = max(self.cold_level(), self.level * DECREASE_FACTOR)
        self.decreased_at = now

    def _back_off(self, now):
        self._delay_next_start(now, min(
            MAXIMUM_BACKOFF_MS,
            BACKOFF_BASE_MS * 2 ** min(self.consecutive_failures, 10)))

    def _delay_next_start(self, now, delay_ms):
        self.next_start_at = max(
            self.next_start_at,
            now + int(min(delay_ms, MAXIMUM_START_DELAY_MS)))


def make_ramp(cold_limit, ceiling) -> Ramp:
    r"""Return a ramp at the cold level.

    Parameters
    ==========

    cold_limit : int
        Requests in flight that the target can handle right after a start.
    ceiling : int
        Slots of the target: the requests that it runs at the same time.

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
