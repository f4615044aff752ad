r"""Ends flows that are idle or whose drain deadline has passed.

Explanation
===========

Flows are kept in the order of their last packets, so a tick visits only the
flows that are due, and at most ``BATCH_FLOWS`` of them.
"""

from poplarstep.core import timer
from poplarstep.requests import ownership
from poplarstep.requests import state as states

TICK = 'flow-expiry'
TICK_PERIOD_MS = 1000
# Limits a tick to about 10 ms; the remaining flows wait for the next tick.
BATCH_FLOWS = 4096


@ownership.REQUESTS.handles(timer.Tick)
def tick(state, event, now):
    r"""End idle flows, or all flows after the drain deadline."""
    if event.name != TICK:
        return [event]
    _watch_drain(state, now)
    over = states.drain_over(state, now)
    messages = []
    for _ in range(min(BATCH_FLOWS, len(state.flow_by_serial))):
        serial, flow = next(iter(state.flow_by_serial.items()))
        if not over and now - flow.last_seen <= state.flow_idle_ms:
            break
        if _keeps(flow, over):
            flow.last_seen = now
            state.flow_by_serial.move_to_end(serial)
        else:
            state.counters.flows_expired += 1
            messages.extend(ownership.cut_flow(state, serial))
    return messages


def _keeps(flow, over):
    r"""Return whether a flow that is due stays open for its requests.

    A flow with a running request always stays. A flow with queued requests
    stays unless the drain deadline has passed; then they are refused as not
    run.
    """
    last = states.Phase.DISPATCHED
    first = states.Phase.DISPATCHED if over else states.Phase.QUEUED
    return any(
        first <= known.phase <= last
        for known in flow.record_by_number.values())


def _watch_drain(state, now):
    target = state.catalogue.target_by_name.get(state.node)
    draining = state.leaving or (
        state.target is not None and state.target.leaving) or (
        target is not None and (target.drained or target.leaving))
    if not draining:
        state.drain_until = None
    elif state.drain_until is None and target is not None:
        service = state.catalogue.service_by_number.get(target.service)
        if service is not None:
            state.drain_until = now + service.drain_deadline_ms
