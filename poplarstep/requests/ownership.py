r"""Second stage of an agent: flows and the record of each request.

Explanation
===========

The agent that issued a flow token is the only one that may dispatch the
requests of that flow, and it keeps a record of each. A copy of a request
finds the record, so it is not dispatched twice, whichever balancer and
flow it came by. Serials are issued in order, so a serial that was issued
and is no longer held belongs to a flow that has ended: its requests are
answered "may have run" and no record of ended flows is needed. This follows
the way in which RIFL keeps completion records with the owner of an object.

References
==========

.. [1] C. Lee et al., "Implementing Linearizability at Large Scale and Low
   Latency", SOSP 2015.

"""

from poplarstep.core import effect
from poplarstep.core import stage
from poplarstep.core import timer
from poplarstep.core import verdict
from poplarstep.flow import packet
from poplarstep.flow import token
from poplarstep.requests import message
from poplarstep.requests import state as states
from poplarstep.requests import verification

TICK = 'flow-expiry'
TICK_PERIOD_MS = 5000

REQUESTS = stage.Stage('requests')
PACKETS = stage.Stage('packets of a flow')


@REQUESTS.handles(message.VerifiedOpen)
def verified_open(state, event, now):
    r"""Open a flow, or answer a duplicate ``Open`` with the same flow."""
    forwarded = event.forwarded
    opener = (forwarded.path.caller, forwarded.packet.flow_key)
    serial = state.serial_by_opener.get(opener)
    if serial is not None:
        state.counters.duplicate_opens += 1
    elif len(state.flow_by_serial) >= state.target.connections:
        return [verification.refuse_open(
            state, event.source, forwarded, 'connections-full')]
    else:
        serial = state.next_serial
        state.next_serial += 1
        state.flow_by_serial[serial] = states.Flow(
            forwarded.packet.flow_key, forwarded.path.caller, now)
        state.serial_by_opener[opener] = serial
        state.counters.opened += 1
    return [effect.SendPacket(event.source, packet.OpenOutcome(
        forwarded.attempt, forwarded.target,
        packet.Load(0, 0, 0, len(state.flow_by_serial), 0.0),
        packet.Opened(
            forwarded.packet.flow_key, _token(state, serial))))]


def _token(state, serial):
    target = states.own_target(state)
    return token.Token(
        target.service, target.data_centre, target.number,
        state.agent_address, state.incarnation, serial)


@REQUESTS.handles(message.VerifiedPacket)
def verified_packet(state, event, now):
    r"""Find the flow and hand the packet to the handler of its type."""
    flow = state.flow_by_serial.get(event.packet.token.serial)
    if flow is None or flow.flow_key != event.packet.flow_key:
        return verification.refuse_packet(state, event, 'flow-ended')
    flow.last_seen = now
    return PACKETS.process((state, flow, event.path), event.packet, now)


@PACKETS.handles(packet.Request)
def request(context, asked, now):
    r"""Admit a new request; answer a copy from its record."""
    state, flow, path = context
    _acknowledge(state, flow, asked.acknowledged)
    known = flow.record_by_number.get(asked.number)
    if known is not None:
        known.path = path
        state.counters.resent += 1
        return _recorded(state, asked.number, known)
    reason = _window_fault(flow, asked.number)
    if reason:
        return verification.refuse_packet(
            state, message.VerifiedPacket(path, asked), reason)
    key = message.RequestKey(asked.token.serial, asked.number)
    deadline = now + max(0, asked.deadline_ms)
    flow.record_by_number[asked.number] = states.RequestRecord(
        path, flow.flow_key, asked.idempotent, deadline, asked.payload)
    return [message.Admit(key, deadline)]


def _window_fault(flow, number):
    r"""Return why a request without a record can't be admitted, or ''."""
    if number < flow.floor:
        return 'acknowledged'
    if number >= flow.floor + packet.REQUEST_WINDOW:
        return 'beyond-window'
    return ''


@PACKETS.handles(packet.Cancel)
def cancel(context, asked, now):
    r"""Withdraw a request that has not been answered."""
    state, flow, path = context
    known = flow.record_by_number.get(asked.number)
    if known is None:
        return _cancel_early(flow, asked.number, path)
    known.path = path
    if known.phase in (states.Phase.ANSWERED, states.Phase.REFUSED):
        return _recorded(state, asked.number, known)
    return [message.Withdraw(
        message.RequestKey(asked.token.serial, asked.number))]


def _cancel_early(flow, number, path):
    r"""Record a cancellation that overtook its request."""
    if not _window_fault(flow, number):
        known = states.RequestRecord(path, flow.flow_key, False, 0, b'')
        known.phase = states.Phase.REFUSED
        known.verdict = verdict.Verdict.NOT_RUN
        known.reason = 'cancelled'
        flow.record_by_number[number] = known
    return []


@PACKETS.handles(packet.Close)
def close(context, asked, now):
    r"""End a flow; its serial is never accepted again."""
    return end_flow(context[0], asked.token.serial)


@REQUESTS.handles(timer.Tick)
def tick(state, event, now):
    r"""Drop flows without a packet for the idle time."""
    if event.name != TICK:
        return [event]
    messages = []
    for serial, flow in list(state.flow_by_serial.items()):
        busy = any(
            item.phase <= states.Phase.DISPATCHED
            for item in flow.record_by_number.values())
        if not busy and now - flow.last_seen > state.flow_idle_ms:
            state.counters.flows_expired += 1
            messages.extend(end_flow(state, serial))
    return messages


def end_flow(state, serial):
    r"""Forget a flow and withdraw its unfinished requests."""
    flow = state.flow_by_serial[serial]
    withdrawn = [
        message.Withdraw(message.RequestKey(serial, number))
        for number, known in flow.record_by_number.items()
        if known.phase <= states.Phase.DISPATCHED]
    for known in flow.record_by_number.values():
        state.answer_bytes -= sum(len(part) for part in known.parts)
    del state.flow_by_serial[serial]
    del state.serial_by_opener[flow.caller, flow.flow_key]
    return withdrawn


def end_all_flows(state):
    r"""End every flow; waiting requests are refused as not run."""
    messages = []
    for serial, flow in list(state.flow_by_serial.items()):
        messages.extend(
            packet.Egress(known.path, packet.Refused(
                flow.flow_key, number, int(verdict.Verdict.NOT_RUN),
                'flow-ended', verification.RETRY_SOON_MS))
            for number, known in flow.record_by_number.items()
            if known.phase == states.Phase.QUEUED)
        messages.extend(end_flow(state, serial))
    return messages


def _acknowledge(state, flow, acknowledged):
    r"""Drop the records of requests whose answers have arrived."""
    if acknowledged <= flow.floor:
        return
    for number in [
            item for item in flow.record_by_number if item < acknowledged]:
        known = flow.record_by_number[number]
        if known.phase <= states.Phase.DISPATCHED:
            # The caller acknowledged a request that is still running; its
            # record has to stay until the target has answered.
            acknowledged = min(acknowledged, number)
    for number in [
            item for item in flow.record_by_number if item < acknowledged]:
        known = flow.record_by_number.pop(number)
        state.answer_bytes -= sum(len(part) for part in known.parts)
    flow.floor = max(flow.floor, acknowledged)


def _recorded(state, number, known):
    r"""Return the recorded answer, or nothing while there is none."""
    if known.phase <= states.Phase.DISPATCHED:
        return []
    return answer_packets(state, number, known)


def answer_packets(state, number, known):
    r"""Return the packets that tell the caller what became of a request."""
    if known.phase == states.Phase.REFUSED or not known.parts:
        if known.verdict is verdict.Verdict.NOT_RUN:
            state.counters.refused_not_run += 1
        else:
            state.counters.refused_may_have_run += 1
        return [packet.Egress(known.path, packet.Refused(
            known.flow_key, number, int(known.verdict), known.reason,
            verification.RETRY_SOON_MS))]
    total = len(known.parts)
    return [
        packet.Egress(known.path, packet.Answer(
            known.flow_key, number, index, total, part))
        for index, part in enumerate(known.parts)
    ]
