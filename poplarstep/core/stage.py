r"""Stages and pipelines: typed messages in, typed messages out.

Explanation
===========

A stage is a registry of pure functions, one for each message type. A
function takes ``(state, message, now)`` and returns an iterable of
messages; it may change only the state that it is given. A message type
without a handler passes through unchanged. A pipeline is a list of stages,
each with the state that it owns; what one stage returns enters the next.
"""


import functools


class Stage:
    r"""Registry of handlers by message type.

    Examples
    ========

    >>> DOUBLE = Stage('double')
    >>> @DOUBLE.handles(int)
    ... def double(state, message, now):
    ...     return [message * 2]
    >>> DOUBLE.process(None, 4, now=0)
    [8]
    >>> DOUBLE.process(None, 'text', now=0)
    ('text',)

    """

    __slots__ = ('name', 'handler_by_type', 'due_by_tick')

    def __init__(self, name):
        self.name = name
        self.handler_by_type = {}
        self.due_by_tick = {}

    def handles(self, *message_types):
        r"""Return a decorator that registers a handler for message types."""
        def decorate(handler):
            for message_type in message_types:
                if message_type in self.handler_by_type:
                    raise ValueError('stage %s already handles %s' % (
                        self.name, message_type.__name__))
                self.handler_by_type[message_type] = handler
            return handler
        return decorate

    def due_at(self, tick_name):
        r"""Return a decorator for the function that says when a tick is due.

        The function takes ``(state, now)`` and returns the time in ms at
        which the stage next has something to do, or None. A time in the past
        means as soon as the period of the tick allows.
        """
        def decorate(function):
            self.due_by_tick[tick_name] = function
            return function
        return decorate

    def process(self, state, message, now):
        r"""Return the messages that result from one message.

        Parameters
        ==========

        state : object
            State that the stage owns.
        message : object
            Any message.
        now : int
            Milliseconds of the node's clock.
        """
        handler = self.handler_by_type.get(type(message))
        if handler is None:
            return (message,)
        return handler(state, message, now)


class Pipeline:
    r"""List of stages with their states.

    Examples
    ========

    >>> INCREMENT = Stage('increment')
    >>> @INCREMENT.handles(int)
    ... def increment(state, message, now):
    ...     return [message + state['step']]
    >>> pipeline = Pipeline([
    ...     (INCREMENT, {'step': 1}), (INCREMENT, {'step': 10})])
    >>> pipeline.process(5, now=0)
    [16]

    """

    __slots__ = ('steps', 'next_steps_by_type')

    def __init__(self, steps):
        self.steps = tuple(steps)
        self.next_steps_by_type = {}

    def due_by_tick(self):
        r"""Return functions of ``now`` that say when a tick is due, by name.

        A tick for which no stage registered a function is periodic.
        """
        return {
            name: functools.partial(function, state)
            for stage, state in self.steps
            for name, function in stage.due_by_tick.items()}

    def process(self, message, now):
        r"""Run one message through all stages; return what comes out."""
        return self._process_from(0, message, now)

    def _process_from(self, position, message, now):
        r"""Run a message through the stages from a position on.

        Stages without a handler for the message's type are skipped, which
        on the packet path costs less than a look-up in each of them.
        """
        next_steps = self.next_steps_by_type.get(type(message))
        if next_steps is None:
            next_steps = self._find_handlers(type(message))
        step = next_steps[position]
        if step is None:
            return [message]
        following, handler, state = step
        produced = []
        for item in handler(state, message, now):
            produced.extend(self._process_from(following, item, now))
        return produced

    def _find_handlers(self, message_type):
        r"""Return, for each position, the next step that has a handler."""
        next_steps: list[tuple | None] = [None] * (len(self.steps) + 1)
        for position in reversed(range(len(self.steps))):
            stage, state = self.steps[position]
            handler = stage.handler_by_type.get(message_type)
            next_steps[position] = (
                next_steps[position + 1] if handler is None
                else (position + 1, handler, state))
        self.next_steps_by_type[message_type] = next_steps
        return next_steps
