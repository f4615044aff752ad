r"""Requests of HTTP handlers that wait for an answer of the node's task."""

import itertools

import gevent
from gevent import event as gevent_event

from poplarstep.core import histogram
from poplarstep.edge import clock


class Waiters:
    r"""Waiting requests by key; ``answer_ms`` tells how long they waited.

    A request that got no answer in time is not in the histogram.
    """

    __slots__ = ('result_by_key', 'keys', 'answer_ms')

    def __init__(self):
        self.result_by_key = {}
        self.answer_ms = histogram.Histogram()
        self.keys = itertools.count(1)

    def ask(self, task, make_message, timeout_ms):
        r"""Post a message with a new key; return its answer or None.

        Parameters
        ==========

        make_message : callable
            Takes the key and returns the message.
        timeout_ms : int
            None is returned when there is no answer by then.
        """
        key = next(self.keys)
        waiting = gevent_event.AsyncResult()
        asked_at = clock.now_ms()
        self.result_by_key[key] = waiting
        task.post([make_message(key)])
        try:
            answer = waiting.get(
                timeout=timeout_ms / clock.MILLISECONDS_PER_SECOND)
            self.answer_ms.observe(clock.now_ms() - asked_at)
            return answer
        except gevent.Timeout:
            return None
        finally:
            del self.result_by_key[key]

    def reply(self, item):
        r"""Carry out an effect that answers a waiting request."""
        waiting = self.result_by_key.get(item.key)
        if waiting is not None:
            waiting.set(item)
