r"""Ends flows that are idle or whose drain deadline has passed.

Explanation
===========

Flows are kept in the order in which they become due, which is the order of
their last packets. A due flow that must wait for a result is checked again
after another idle time. A tick therefore visits only the flows that are due,
and at most ``BATCH_FLOWS`` of them.
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
    _update_drain_deadline(state, now)
    deadline_passed = states.drain_deadline_passed(state, now)
    messages = []
    for _ in range(min(BATCH_FLOWS, len(state.flow_by_serial))):
        serial, flow = next(iter(state.flow_by_serial.items()))
        if not deadline_passed and now - flow.last_seen <= state.flow_idle_ms:
            break
        if _waits_for_result(flow, deadline_passed):
            flow.last_seen = now
            state.flow_by_serial.move_to_end(serial)
        else:
            state.counters.flows_expired += 1
            messages.extend(ownership.terminate_flow(state, serial))
    return messages


def _waits_for_result(flow, deadline_passed):
    r"""Return whether a flow that is due stays open for its requests.

    A flow with a running request always stays. A flow with queued requests
    stays unless the drain deadline has passed; then they are refused as not
    run.
    """
    last_phase = states.Phase.DISPATCHED
    first_phase = (
        states.Phase.DISPATCHED if deadline_passed else states.Phase.QUEUED)
    return any(
        first_phase <= record.phase <= last_phase
        for record in flow.record_by_number.values())


def _update_drain_deadline(state, now):
    target = state.catalogue.target_by_name.get(state.node)
    draining = state.leaving or (
        state.target is not None and state.target.leaving) or (
        target is not None and (target.drained or target.leaving))
    if not draining:
        state.drain_deadline_at = None
    elif state.drain_deadline_at is None and target is not None:
        service = state.catalogue.service_by_number.get(target.service)
        if service is not None:
            state.drain_deadline_at = now + service.drain_deadline_ms
