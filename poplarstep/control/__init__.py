"""Stages of a control host around the replicated log.

Before the log, ``hosts`` and ``intake`` turn requests into proposals. After
it, ``application`` applies committed entries; ``query`` reads the result.
"""

__all__ = ['application', 'intake', 'message', 'query']
