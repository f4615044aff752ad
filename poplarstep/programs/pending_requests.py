r"""Requests of HTTP handlers to the node's task, until it replies."""

import itertools

import gevent
from gevent import event as gevent_event

from poplarstep.core import histogram
from poplarstep.edge import clock


class PendingRequests:
    r"""Requests that wait for a reply, by key.

    ``answer_ms`` is a histogram of the time to the reply; requests that
    timed out are not counted.
    """

    __slots__ = ('result_by_key', 'keys', 'answer_ms')

    def __init__(self):
        self.result_by_key = {}
        self.answer_ms = histogram.Histogram()
        self.keys = itertools.count(1)

    def ask(self, task, make_message, timeout_ms):
        r"""Post a message with a new key; return the reply or None.

        Parameters
        ==========

        make_message : callable
            Takes the key and returns the message.
        timeout_ms : int
            Time after which None is returned.
        """
        key = next(self.keys)
        async_result = gevent_event.AsyncResult()
        asked_at = clock.now_ms()
        self.result_by_key[key] = async_result
        task.post([make_message(key)])
        try:
            reply = async_result.get(
                timeout=timeout_ms / clock.MILLISECONDS_PER_SECOND)
            self.answer_ms.observe(clock.now_ms() - asked_at)
            return reply
        except gevent.Timeout:
            return None
        finally:
            del self.result_by_key[key]

    def reply(self, item):
        r"""Perform an effect that replies to the request with its key."""
        async_result = self.result_by_key.get(item.key)
        if async_result is not None:
            async_result.set(item)
