r"""Timed scripts of process faults and operators' statements.

Explanation
===========

Each line of a script is a step: the second at which it starts, and either an
action with the name of a process or a statement of the operators' language.
``#`` starts a comment. As the name of a process, ``leader`` stands for the
control host that is the leader when the step starts.

| action | effect |
| --- | --- |
| ``kill NAME`` | SIGKILL |
| ``stop NAME`` | SIGSTOP |
| ``continue NAME`` | SIGCONT |
| ``terminate NAME`` | SIGTERM, a graceful shutdown |
| ``restart NAME`` | SIGKILL if it runs, then start with the same command |
"""

import re
import signal

import gevent
from gevent import pool
from returns import result

from poplarstep.core import record
from poplarstep.core import registry
from poplarstep.edge import clock
from poplarstep.language import parser

ACTIONS = registry.Registry('action')
LEADER = 'leader'
LINE_PATTERN = re.compile(r'([0-9]+(?:\.[0-9]+)?)\s+(\S.*)')


class Step(record.Record):
    r"""Action or statement to run ``after_ms`` after the script's start."""

    __slots__ = ('after_ms', 'text')

    def __init__(self, after_ms, text):
        self.after_ms = after_ms
        self.text = text


class Event(record.Record):
    r"""Outcome of a step; ``started`` and ``ended`` are clock times in ms."""

    __slots__ = ('text', 'started', 'ended', 'outcome')

    def __init__(self, text, started, ended, outcome):
        self.text = text
        self.started = started
        self.ended = ended
        self.outcome = outcome


def parse(text):
    r"""Return ``Success(list of Step)`` or ``Failure`` that names the line.

    Examples
    ========

    >>> parse('1.5 kill leader\n3 take data-centre gs-a out').unwrap()[0]
    Step(after_ms=1500, text='kill leader')
    >>> parse('1 explode leader').failure()[:34]
    "line 1: line 1, column 1: found 'e"

    """
    steps = []
    for number, line in enumerate(text.splitlines(), 1):
        content = line.partition('#')[0].strip()
        if not content:
            continue
        match = LINE_PATTERN.fullmatch(content)
        if match is None:
            return result.Failure(
                'line %d: %r is not of the form SECONDS ACTION' % (
                    number, content))
        words = match[2].split()
        if words[0] not in ACTIONS.entry_by_name:
            parsed = parser.parse(match[2])
            if isinstance(parsed, result.Failure):
                return result.Failure(
                    'line %d: %s' % (number, parsed.failure()))
        elif len(words) != 2:
            return result.Failure(
                'line %d: %s takes one process name' % (number, words[0]))
        steps.append(Step(round(float(match[1]) * 1000), match[2]))
    return result.Success(steps)


def play(steps, processes, events):
    r"""Schedule the steps; return the pool of their greenlets.

    Steps make blocking calls. These run in threads, so that the load
    generators of this process are not delayed. An ``Event`` is appended to
    the list ``events`` for each step.
    """
    group = pool.Group()
    for step in steps:
        group.add(gevent.spawn_later(
            step.after_ms / clock.MILLISECONDS_PER_SECOND,
            _run_step, step, processes, events))
    return group


def _run_step(step, processes, events):
    started = clock.now_ms()
    outcome = gevent.get_hub().threadpool.apply(
        run_action, (processes, step.text))
    events.append(Event(step.text, started, clock.now_ms(), outcome))


def run_action(processes, text):
    r"""Run an action or statement and return its outcome as text."""
    action, _, name = text.partition(' ')
    if action not in ACTIONS.entry_by_name:
        answer = processes.run(text)
        return '%s' % (answer.rows[0][0] if answer.rows else 'no rows')
    if name == LEADER:
        name = processes.leader()
    return '%s %s' % (name, ACTIONS.entry_by_name[action](processes, name))


@ACTIONS.register('kill')
def _kill(processes, name):
    processes.kill(name)
    return 'killed'


@ACTIONS.register('stop')
def _stop(processes, name):
    processes.signal(name, signal.SIGSTOP)
    return 'stopped'


@ACTIONS.register('continue')
def _continue(processes, name):
    processes.signal(name, signal.SIGCONT)
    return 'continued'


@ACTIONS.register('terminate')
def _terminate(processes, name):
    return 'exit code %d' % processes.terminate(name)


@ACTIONS.register('restart')
def _restart(processes, name):
    if name in processes.child_by_name:
        processes.kill(name)
    processes.start_again(name)
    return 'restarted'
