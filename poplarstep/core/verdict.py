r"""Verdict on a request: whether it may have run.

Explanation
===========

Every refusal and every answer carries a verdict. Once a request has been
sent to an agent, only that agent may answer ``NOT_RUN``, because it keeps
the record of what it passed to its target.
"""

import enum


class Verdict(enum.IntEnum):
    r"""Whether a request ran at its target."""

    NOT_RUN = 0
    MAY_HAVE_RUN = 1
    RAN = 2


def retry_allowed(verdict, idempotent):
    r"""Return whether a request may be sent again as a new request.

    Examples
    ========

    >>> retry_allowed(Verdict.NOT_RUN, idempotent=False)
    True
    >>> retry_allowed(Verdict.MAY_HAVE_RUN, idempotent=False)
    False
    >>> retry_allowed(Verdict.MAY_HAVE_RUN, idempotent=True)
    True

    """
    if verdict is Verdict.RAN:
        return False
    return idempotent or verdict is Verdict.NOT_RUN
