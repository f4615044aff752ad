"""Tests of ticks by period and by deadline."""

import pytest

from poplarstep.core import stage
from poplarstep.core import timer


@pytest.mark.parametrize('due, deadline, ticks_at', [
    # (due time of the stage, deadline at 0, times of ticks in 500 ms)
    pytest.param(None, None, [], id='nothing due'),
    pytest.param(0, 20, list(range(20, 500, 20)), id='always due'),
    pytest.param(75, 75, list(range(75, 500, 20)), id='due once, not done'),
    pytest.param(900, 900, [], id='due later'),
])
def test_ticks_come_when_something_is_due(due, deadline, ticks_at):
    """Guards against an idle task that wakes up, and against lateness."""
    timers = timer.TimerQueue()
    timers.subscribe('hold', 20, now=0)
    timers.attach({'hold': lambda now: due})
    assert timers.next_deadline(now=0) == deadline
    assert [now for now in range(500) if timers.due(now)] == ticks_at


def test_pipeline_asks_the_stage_that_registered():
    """Guards against a stage that is asked with another stage's state."""
    first, second = stage.Stage('first'), stage.Stage('second')
    second.due_at('hold')(lambda state, now: state + now)
    pipeline = stage.Pipeline([(first, 1), (second, 100)])
    due_by_tick = pipeline.due_by_tick()
    assert list(due_by_tick) == ['hold']
    assert due_by_tick['hold'](5) == 105
