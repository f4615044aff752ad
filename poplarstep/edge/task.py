r"""Task that owns a pipeline's state and carries out its effects.

Explanation
===========

Other tasks communicate with it only through its inbox, a queue of batches
that is bounded by the number of messages. A full inbox drops the new batch
and counts its messages: senders on the data path retransmit, and polls and
heartbeats repeat control messages. Messages that are never repeated are
added with ``post_unbounded``. The task sleeps until a message arrives or the
next timer is due.

An exception in a stage ends the task, because the state may be partly
changed; the daemon then ends the process. A restarted agent answers "may
have run" for requests from before the restart, so that it reports no
executed request as not run.
"""

import collections

from absl import logging
import gevent
from gevent import queue

from poplarstep.core import effect
from poplarstep.core import record
from poplarstep.edge import clock
from poplarstep.edge import logs

# A decoded datagram takes up to 2 kB, so a full inbox takes up to 32 MB.
INBOX_MESSAGES = 16_384
# Limit for each event; the counters cover the lines left out.
LOG_LINES_PER_SECOND = 20


class TaskCounters:
    r"""Counts of one task."""

    __slots__ = ('messages', 'dropped_inbox', 'unhandled_effects')

    def __init__(self):
        self.messages = 0
        self.dropped_inbox = 0
        self.unhandled_effects = 0


class Task:
    r"""A greenlet that drives one pipeline.

    Parameters
    ==========

    name : str
        Name in log lines.
    pipeline : Pipeline
        Stages with their states.
    timers : TimerQueue
        Timers whose ticks enter the pipeline.
    performer_by_type : dict
        Function that carries out each type of effect. A function may return
        messages, which enter the pipeline again.
    """

    __slots__ = (
        'name', 'pipeline', 'timers', 'performer_by_type', 'inbox',
        'counters', 'stopping', 'queued_messages')

    def __init__(self, name, pipeline, timers, performer_by_type):
        self.name = name
        self.pipeline = pipeline
        self.timers = timers
        timers.attach(pipeline.due_by_tick())
        self.performer_by_type = {
            effect.LogEvent: make_event_logger(),
            effect.Requeue: lambda item: [item.message],
            **performer_by_type,
        }
        self.inbox = queue.Queue()
        self.queued_messages = 0
        self.counters = TaskCounters()
        self.stopping = False

    def post(self, messages):
        r"""Add a batch of messages to the inbox; drop it when full."""
        if self.queued_messages + len(messages) > INBOX_MESSAGES:
            self.counters.dropped_inbox += len(messages)
            return
        self.post_unbounded(messages)

    def post_unbounded(self, messages):
        r"""Add a batch of messages to the inbox, also when it is full.

        It is for messages that are never repeated. Their sender bounds
        their number, as the in-flight limit of a target bounds the reports
        of calls to it.
        """
        self.queued_messages += len(messages)
        self.inbox.put(messages)

    def run(self):
        r"""Process the inbox and the timers until ``stop``."""
        while not self.stopping:
            for message in self._wait():
                try:
                    self.process(message)
                except Exception as error:
                    logging.error('task-failed %s', ' '.join((
                        logs.pair(
                            'message', record.wire_name(type(message))),
                        logs.pair('error', repr(error)))))
                    raise

    def stop(self):
        r"""End ``run`` after the batches that are already waiting."""
        self.stopping = True
        self.post_unbounded([])

    def process(self, message):
        r"""Process one message and all messages that result from it."""
        waiting = collections.deque([message])
        while waiting:
            self.counters.messages += 1
            produced = self.pipeline.process(
                waiting.popleft(), clock.now_ms())
            for item in produced:
                outcome = self._perform(item)
                if type(outcome) is effect.Abort:
                    waiting.appendleft(outcome.message)
                    break
                waiting.extend(outcome)

    def _perform(self, item):
        performer = self.performer_by_type.get(type(item))
        if performer is None:
            self.counters.unhandled_effects += 1
            return ()
        return performer(item) or ()

    def _wait(self):
        now = clock.now_ms()
        deadline = self.timers.next_deadline(now)
        timeout = None
        if deadline is not None:
            timeout = max(0, deadline - now) / (
                clock.MILLISECONDS_PER_SECOND)
        try:
            batch = self.inbox.get(timeout=timeout)
            self.queued_messages -= len(batch)
        except queue.Empty:
            batch = []
        return batch + self.timers.due(clock.now_ms())


def make_event_logger():
    r"""Return the performer of ``LogEvent``, with a limit for each event."""
    limiter = logs.Limiter(LOG_LINES_PER_SECOND)

    def log_event(item):
        left_out = limiter.admit(item.event, clock.now_ms())
        if left_out is None:
            return
        fields = item.fields
        if left_out:
            fields += (('lines_left_out', left_out),)
        logging.info('%s %s', item.event, ' '.join(
            logs.pair(*field) for field in fields))

    return log_event


def start(task):
    r"""Start a task in a greenlet and return the greenlet."""
    return gevent.spawn(task.run)
