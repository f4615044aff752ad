r"""Budgets: token bucket and retry budget."""

import collections

MILLI = 1000
RETRY_SHARE_PERCENT = 10
RETRY_WINDOW_MS = 10_000
RETRY_FLOOR_PER_S = 1
SPANS_PER_WINDOW = 40


class TokenBucket:
    r"""Tokens that refill at a constant rate up to a maximum.

    Explanation
    ===========

    The level is kept in thousandths of a token, so with an integer rate the
    arithmetic on milliseconds is exact.

    Examples
    ========

    >>> bucket = make_token_bucket(rate_per_s=2, burst=1, now=0)
    >>> bucket.try_take(now=0), bucket.try_take(now=499)
    (True, False)
    >>> bucket.try_take(now=500)
    True

    """

    __slots__ = ('rate_per_s', 'burst_milli', 'level_milli', 'updated_at')

    def __init__(self, rate_per_s, burst_milli, level_milli, updated_at):
        self.rate_per_s = rate_per_s
        self.burst_milli = burst_milli
        self.level_milli = level_milli
        self.updated_at = updated_at

    def refill(self, now):
        r"""Add the tokens of the time that has passed."""
        if now > self.updated_at:
            self.level_milli = min(
                self.burst_milli,
                self.level_milli
                + (now - self.updated_at) * self.rate_per_s)
            self.updated_at = now

    def try_take(self, now, reserve_milli=0):
        r"""Take one token if one is left above the reserve.

        Parameters
        ==========

        now : int
            Milliseconds.
        reserve_milli : int
            Thousandths of a token that must be left afterwards.

        Returns
        =======

        bool
            Whether a token was taken.
        """
        self.refill(now)
        if self.level_milli < MILLI + reserve_milli:
            return False
        self.level_milli -= MILLI
        return True


def make_token_bucket(rate_per_s, burst, now):
    r"""Return a full bucket of ``burst`` tokens.

    Raises
    ======

    ValueError
        If the rate is negative or the bucket cannot hold one token.
    """
    if rate_per_s < 0 or burst < 1:
        raise ValueError(
            'token bucket needs a rate of at least 0 and a burst of at '
            'least 1, not %r and %r' % (rate_per_s, burst))
    return TokenBucket(rate_per_s, burst * MILLI, burst * MILLI, now)


class RetryBudget:
    r"""Limits retries to a share of the first attempts.

    Explanation
    ===========

    Time is divided into spans. First attempts count only from spans that
    lie wholly inside the window, retries from every span that touches it,
    so the share holds for the exact window that ends at each retry. The
    floor lets a service with few first attempts retry at all.

    Examples
    ========

    >>> budget = make_retry_budget(now=0, floor_per_s=0)
    >>> for attempt in range(20):
    ...     budget.attempted(now=0)
    >>> [budget.try_retry(now=9) for retry in range(3)]
    [True, True, False]

    """

    __slots__ = (
        'share_percent', 'window_ms', 'span_ms', 'floor', 'spans',
        'attempts', 'retries')

    def __init__(self, share_percent, window_ms, floor):
        self.share_percent = share_percent
        self.window_ms = window_ms
        self.span_ms = window_ms // SPANS_PER_WINDOW
        self.floor = floor
        self.spans = collections.deque()
        self.attempts = 0
        self.retries = 0

    def attempted(self, now):
        r"""Count a first attempt."""
        self._current_span(now)[1] += 1
        self.attempts += 1

    def try_retry(self, now):
        r"""Return whether one retry is allowed, and count it if it is."""
        span = self._current_span(now)
        allowed = self.attempts * self.share_percent
        if (self.retries + 1) * 100 <= allowed:
            span[2] += 1
            self.retries += 1
            return True
        return self.floor is not None and self.floor.try_take(now)

    def _current_span(self, now):
        number = now // self.span_ms
        if self.spans and number <= self.spans[-1][0]:
            return self.spans[-1]
        oldest = number - SPANS_PER_WINDOW
        while self.spans and self.spans[0][0] < oldest:
            _, attempts, retries = self.spans.popleft()
            self.attempts -= attempts
            self.retries -= retries
        for span in self.spans:
            if span[0] > oldest:
                break
            self.attempts -= span[1]
            span[1] = 0
        span = [number, 0, 0]
        self.spans.append(span)
        return span


def make_retry_budget(
        now, share_percent=RETRY_SHARE_PERCENT, window_ms=RETRY_WINDOW_MS,
        floor_per_s=RETRY_FLOOR_PER_S):
    r"""Return an empty retry budget.

    Parameters
    ==========

    now : int
        Milliseconds.
    share_percent : int
        Retries per 100 first attempts of the window.
    window_ms : int
        Length of the sliding window.
    floor_per_s : int
        Retries per second that are allowed in addition.

    Raises
    ======

    ValueError
        If the window is not a multiple of ``SPANS_PER_WINDOW``.
    """
    if window_ms < 1 or window_ms % SPANS_PER_WINDOW:
        raise ValueError(
            'retry window must be a multiple of %d ms, not %r ms'
            % (SPANS_PER_WINDOW, window_ms))
    floor = None
    if floor_per_s:
        floor = make_token_bucket(floor_per_s, floor_per_s, now)
    return RetryBudget(share_percent, window_ms, floor)
