r"""Token bucket and retry budget."""

import collections

MILLITOKENS_PER_TOKEN = 1000
RETRY_SHARE_PERCENT = 10
RETRY_WINDOW_MS = 10_000
# Retries that are allowed in addition to the share.
RETRY_FLOOR_PER_S = 1
SPANS_PER_WINDOW = 40


class TokenBucket:
    r"""Tokens that refill at a constant rate up to a maximum.

    Explanation
    ===========

    The level is an integer number of thousandths of a token, so the refill
    for each millisecond is exact if the rate is an integer.

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
        r"""Add the tokens for the time since the last refill."""
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
            Current time in ms.
        reserve_milli : int
            Thousandths of a token that must be left in the bucket.

        Returns
        =======

        bool
            Whether a token was taken.
        """
        self.refill(now)
        if self.level_milli < MILLITOKENS_PER_TOKEN + reserve_milli:
            return False
        self.level_milli -= MILLITOKENS_PER_TOKEN
        return True


def make_token_bucket(rate_per_s, burst, now):
    r"""Return a full bucket of ``burst`` tokens.

    Raises
    ======

    ValueError
        If the rate is negative or the burst is below one token.
    """
    if rate_per_s < 0 or burst < 1:
        raise ValueError(
            'token bucket needs a rate of at least 0 and a burst of at '
            'least 1, not %r and %r' % (rate_per_s, burst))
    return TokenBucket(
        rate_per_s, burst * MILLITOKENS_PER_TOKEN,
        burst * MILLITOKENS_PER_TOKEN, now)


class RetryBudget:
    r"""Limits retries to a share of the first attempts in a sliding window.

    Explanation
    ===========

    Attempts and retries are counted in spans of time. First attempts count
    only from spans that lie wholly inside the window, retries from every
    span that overlaps it, so the share allows a retry only if it holds in
    the exact window that ends at the retry. A token bucket, ``floor``,
    allows a constant rate of retries in addition to the share, so that a
    caller with few first attempts can retry too.

    Examples
    ========

    >>> budget = make_retry_budget(now=0, floor_per_s=0)
    >>> for attempt in range(20):
    ...     budget.attempted(now=0)
    >>> [budget.try_retry(now=9) for retry in range(3)]
    [True, True, False]

    """

    # Each span is a list of its number, its first attempts and its retries.
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
        r"""Count a retry if one is allowed; return whether it is."""
        span = self._current_span(now)
        allowed_percent = self.attempts * self.share_percent
        if (self.retries + 1) * 100 <= allowed_percent:
            span[2] += 1
            self.retries += 1
            return True
        return self.floor is not None and self.floor.try_take(now)

    def _current_span(self, now):
        number = now // self.span_ms
        if self.spans and number <= self.spans[-1][0]:
            return self.spans[-1]
        # The window begins inside this span.
        first_number = number - SPANS_PER_WINDOW
        while self.spans and self.spans[0][0] < first_number:
            _, attempts, retries = self.spans.popleft()
            self.attempts -= attempts
            self.retries -= retries
        for span in self.spans:
            if span[0] > first_number:
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
        Current time in ms.
    share_percent : int
        Retries per 100 first attempts of the window.
    window_ms : int
        Length of the sliding window, a multiple of ``SPANS_PER_WINDOW``.
    floor_per_s : int
        Retries per second that are allowed in addition to the share.

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
