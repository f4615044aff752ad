"""Tests of the work at a target as its agent sees it."""

import pytest

from poplarstep.steering import occupancy


def serve(slots, service_ms, gap_ms, count):
    """Play a FIFO target that gets a request every ``gap_ms``."""
    seen = occupancy.Occupancy()
    free_at = [0] * slots
    events = []
    for number in range(count):
        arrival = number * gap_ms
        free_at.sort()
        end = max(arrival, free_at[0]) + service_ms
        free_at[0] = end
        events.append((arrival, 1, number))
        events.append((end, 0, number))
    for now, kind, number in sorted(events):
        if kind:
            seen.reserve(number, now)
            seen.begin(number, slots, now)
        else:
            assert seen.end(number, now, answered=True)
    return seen


@pytest.mark.parametrize('slots', [1, 2, 3])
@pytest.mark.parametrize('gap_ms', [1, 7, 10, 100])
def test_service_time_is_learned_at_any_load(slots, gap_ms):
    """Guards against a busy slow target that is taken for an average one."""
    seen = serve(slots, 30, gap_ms, 60)
    assert seen.service_us == pytest.approx(30_000, rel=0.01)
    assert seen.count() == 0 and not seen.queued


def test_abandoned_requests_teach_nothing():
    """Guards against a service time learned from callers that left."""
    seen = occupancy.Occupancy()
    for flow in ('a', 'b', 'c'):
        seen.begin(flow, 1, 0)
        seen.reserved_by_flow[flow] = 0
    assert seen.end('b', 5, answered=False)
    assert seen.end('a', 10, answered=False)
    assert seen.service_us == 0
    assert seen.end('c', 40, answered=True)
    assert seen.service_us == 30_000


def test_histogram_holds_the_time_of_answered_requests():
    """Guards against callers that left in the latency of a target."""
    seen = occupancy.Occupancy()
    seen.reserve('a', 0)
    seen.begin('a', 1, 5)
    seen.end('a', 45, answered=True)
    seen.reserve('b', 50)
    seen.begin('b', 1, 50)
    seen.end('b', 90, answered=False)
    rows = {row[0]: row[2] for row in seen.request_ms.rows('request_ms')}
    assert (rows['request_ms_sum'], rows['request_ms_count']) == (40, 1)
