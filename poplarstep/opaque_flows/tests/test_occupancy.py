"""Tests of the estimate of the requests at a target."""

import pytest

from poplarstep.opaque_flows import occupancy


def simulate_target(slots, service_ms, interval_ms, count):
    """Simulate a FIFO target that gets a request every ``interval_ms``."""
    state = occupancy.Occupancy()
    free_at = [0] * slots
    events = []
    for number in range(count):
        arrival = number * interval_ms
        free_at.sort()
        end = max(arrival, free_at[0]) + service_ms
        free_at[0] = end
        events.append((arrival, 1, number))
        events.append((end, 0, number))
    for now, kind, number in sorted(events):
        if kind:
            state.reserve(number, now)
            state.start_request(number, slots, now)
        else:
            assert state.release(number, now, answered=True)
    return state


@pytest.mark.parametrize('slots', [1, 2, 3])
@pytest.mark.parametrize('interval_ms', [1, 7, 10, 100])
def test_service_time_is_learned_at_any_load(slots, interval_ms):
    """Guards against a slow target whose queue hides its service time."""
    state = simulate_target(slots, 30, interval_ms, 60)
    assert state.service_us == pytest.approx(30_000, rel=0.01)
    assert state.count() == 0 and not state.queued


def test_abandoned_requests_are_no_samples():
    """Guards against samples of requests that were aborted."""
    state = occupancy.Occupancy()
    for flow in ('a', 'b', 'c'):
        state.start_request(flow, 1, 0)
        state.updated_at_by_flow[flow] = 0
    assert state.release('b', 5, answered=False)
    assert state.release('a', 10, answered=False)
    assert state.service_us == 0
    assert state.release('c', 40, answered=True)
    assert state.service_us == 30_000


def test_histogram_holds_the_time_of_answered_requests():
    """Guards against aborted requests in the histogram of service times."""
    state = occupancy.Occupancy()
    state.reserve('a', 0)
    state.start_request('a', 1, 5)
    state.release('a', 45, answered=True)
    state.reserve('b', 50)
    state.start_request('b', 1, 50)
    state.release('b', 90, answered=False)
    rows = {row[0]: row[2] for row in state.request_ms.rows('request_ms')}
    assert (rows['request_ms_sum'], rows['request_ms_count']) == (40, 1)
