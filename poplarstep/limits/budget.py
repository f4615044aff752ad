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

    def try_take(self, now, reserve_milli=0, tokens=1):
        r"""Take tokens if as many are left above the reserve.

        Parameters
        ==========

        now : int
            Current time in ms.
        reserve_milli : int
            Thousandths of a token that must be left in the bucket.
        tokens : int
            Number of tokens to take.

        Returns
        =======

        bool
            Whether the tokens were taken.
        """
        self.refill(now)
        wanted_milli = tokens * MILLITOKENS_PER_TOKEN
        if self.level_milli < wanted_milli + reserve_milli:
            return False
        self.level_milli -= wanted_milli
        return True


def make_token_bucket(rate_per_s, burst, now) -> TokenBucket:
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


class Span:
    r"""Counts of one span of a retry budget's window."""

    __slots__ = ('number', 'attempts', 'share_retries', 'floor_retries')

    def __init__(self, number):
        self.number = number
        self.attempts = 0
        self.share_retries = 0
        self.floor_retries = 0


class RetryBudget:
    r"""Limits retries to a share of the first attempts in a sliding window.

    Explanation
    ===========

    Attempts and retries are counted in spans of time. First attempts count
    only from spans that lie wholly inside the window, retries from every
    span that overlaps it, so the share allows a retry only if it holds in
    the exact window that ends at the retry. A token bucket, ``floor``,
    allows a constant rate of retries in addition to the share, so that a
    caller with few first attempts can retry too. Retries that the share
    allowed stay in the window after their first attempts have left it, so
    the floor allows a retry only if all retries of the window, both kinds
    together, stay within the share and the floor.

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
        'attempts', 'share_retries', 'floor_retries')

    def __init__(self, share_percent, window_ms, floor):
        self.share_percent = share_percent
        self.window_ms = window_ms
        self.span_ms = window_ms // SPANS_PER_WINDOW
        self.floor = floor
        self.spans = collections.deque()
        self.attempts = 0
        self.share_retries = 0
        self.floor_retries = 0

    def attempted(self, now):
        r"""Count a first attempt."""
        self._current_span(now).attempts += 1
        self.attempts += 1

    def try_retry(self, now):
        r"""Count a retry if one is allowed; return whether it is."""
        span = self._current_span(now)
        allowed_percent = self.attempts * self.share_percent
        if (self.share_retries + 1) * 100 <= allowed_percent:
            span.share_retries += 1
            self.share_retries += 1
            return True
        if not self._floor_allows(now):
            return False
        span.floor_retries += 1
        self.floor_retries += 1
        return True

    def _floor_allows(self, now):
        r"""Take a token of the floor if the window has room for a retry."""
        if self.floor is None:
            return False
        # The floor gives its rate for the window and its burst.
        floor_milli = (
            self.window_ms * self.floor.rate_per_s + self.floor.burst_milli)
        allowed_percent = (
            self.attempts * self.share_percent
            + floor_milli * 100 // MILLITOKENS_PER_TOKEN)
        retries = self.share_retries + self.floor_retries
        return (retries + 1) * 100 <= allowed_percent and (
            self.floor.try_take(now))

    def _current_span(self, now):
        number = now // self.span_ms
        if self.spans and number <= self.spans[-1].number:
            return self.spans[-1]
        # The window begins inside this span.
        first_number = number - SPANS_PER_WINDOW
        while self.spans and self.spans[0].number < first_number:
            removed = self.spans.popleft()
            self.attempts -= removed.attempts
            self.share_retries -= removed.share_retries
            self.floor_retries -= removed.floor_retries
        for span in self.spans:
            if span.number > first_number:
                break
            self.attempts -= span.attempts
            span.attempts = 0
        self.spans.append(Span(number))
        return self.spans[-1]


def make_retry_budget(
        now, share_percent=RETRY_SHARE_PERCENT, window_ms=RETRY_WINDOW_MS,
        floor_per_s=RETRY_FLOOR_PER_S) -> RetryBudget:
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
