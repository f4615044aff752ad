r"""Second stage of an agent: flows and the record of each request.

Explanation
===========

The agent that issued a flow token is the only one that may dispatch the
requests of that flow, and it keeps a record of each request. A resent copy
of a request is matched to the record, so it is not dispatched twice,
whichever balancer forwarded it. Flows are numbered by serials. A token of
this run with a serial that is not in the table belongs to a flow that has
ended: its requests are answered "may have run", so ended flows need no
records. RIFL keeps its completion records with the owner of an object in
the same way.

References
==========

.. [1] C. Lee et al., "Implementing Linearizability at Large Scale and Low
   Latency", SOSP 2015.

"""

from poplarstep.core import effect
from poplarstep.core import stage
from poplarstep.core import verdict
from poplarstep.flow import packet
from poplarstep.flow import token
from poplarstep.requests import answers
from poplarstep.requests import message
from poplarstep.requests import state as states
from poplarstep.requests import verification

# Terminated flows whose highest request number is remembered.
TERMINATED_FLOWS_KEPT = 16_384

REQUESTS = stage.Stage('requests')
PACKETS = stage.Stage('packets of a flow')


@REQUESTS.handles(message.VerifiedOpen)
def verified_open(state, event, now):
    r"""Open a flow; answer a duplicate ``Open`` with the same token.

    The admission stage replaces the load in the reply by the current load.
    """
    forwarded = event.forwarded
    opener = (forwarded.path.caller, forwarded.packet.flow_key)
    serial = state.serial_by_opener.get(opener)
    if serial is not None:
        state.counters.duplicate_opens += 1
    elif len(state.flow_by_serial) >= states.connection_limit(state):
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
    r"""Find the flow and call the handler for the type of the packet."""
    flow = state.flow_by_serial.get(event.packet.token.serial)
    if flow is None and isinstance(event.packet, packet.Request):
        return _refuse_ended(state, event)
    if flow is None or flow.flow_key != event.packet.flow_key:
        return verification.refuse_packet(state, event, 'flow-ended')
    flow.last_seen = now
    state.flow_by_serial.move_to_end(event.packet.token.serial)
    return PACKETS.process((state, flow, event.path), event.packet, now)


@PACKETS.handles(packet.Request)
def request(context, received, now):
    r"""Admit a new request; answer a copy from its record."""
    state, flow, path = context
    _acknowledge(state, flow, received.token.serial, received.acknowledged)
    record = flow.record_by_number.get(received.number)
    if record is not None:
        record.path = path
        state.counters.resent += 1
        return _recorded_result(state, received.number, record)
    reason = _window_refusal_reason(flow, received.number)
    if reason:
        return verification.refuse_packet(
            state, message.VerifiedPacket(path, received), reason)
    key = message.RequestKey(received.token.serial, received.number)
    deadline = now + max(0, received.deadline_ms)
    record = states.RequestRecord(
        path, flow.flow_key, received.idempotent, deadline, received.payload)
    flow.record_by_number[received.number] = record
    if states.drain_deadline_passed(state, now):
        _record_not_run(record, 'draining')
        return result_packets(state, received.number, record)
    return [message.Admit(key, deadline)]


def _window_refusal_reason(flow, number):
    r"""Return why a new request can't be admitted, or an empty string."""
    if number < flow.window_start:
        return 'acknowledged'
    if number >= flow.window_start + packet.REQUEST_WINDOW:
        return 'beyond-window'
    return ''


@PACKETS.handles(packet.Cancel)
def cancel(context, received, now):
    r"""Cancel a request without a result; otherwise send the result."""
    state, flow, path = context
    record = flow.record_by_number.get(received.number)
    if record is None:
        return _cancel_early(flow, received.number, path)
    record.path = path
    if record.phase in (states.Phase.ANSWERED, states.Phase.REFUSED):
        return _recorded_result(state, received.number, record)
    return [message.Withdraw(
        message.RequestKey(received.token.serial, received.number))]


def _cancel_early(flow, number, path):
    r"""Record a cancellation that arrived before its request."""
    if not _window_refusal_reason(flow, number):
        record = states.RequestRecord(path, flow.flow_key, False, 0, b'')
        _record_not_run(record, 'cancelled')
        flow.record_by_number[number] = record
    return []


def _record_not_run(record, reason):
    record.phase = states.Phase.REFUSED
    record.verdict = verdict.Verdict.NOT_RUN
    record.reason = reason
    record.payload = b''


@PACKETS.handles(packet.Close)
def close(context, received, now):
    r"""End a flow; its serial is never accepted again."""
    return remove_flow(context[0], received.token.serial)


def remove_flow(state, serial):
    r"""Remove a flow and its records; cancel its unfinished requests."""
    flow = state.flow_by_serial.pop(serial)
    del state.serial_by_opener[flow.caller, flow.flow_key]
    withdrawn = []
    for number, record in flow.record_by_number.items():
        key = message.RequestKey(serial, number)
        answers.discard(state, key)
        if record.phase <= states.Phase.DISPATCHED:
            withdrawn.append(message.Withdraw(key))
    return withdrawn


def terminate_flow(state, serial):
    r"""End a flow that its caller has not closed.

    Explanation
    ===========

    Queued requests are refused as not run. The highest request number seen
    is remembered for a while, because nothing of the flow is dispatched any
    more: a request with a higher number can be refused as not run.
    """
    flow = state.flow_by_serial[serial]
    refusals = [
        packet.Egress(record.path, packet.Refused(
            flow.flow_key, number, int(verdict.Verdict.NOT_RUN),
            'flow-ended', verification.RETRY_AFTER_MS))
        for number, record in flow.record_by_number.items()
        if record.phase == states.Phase.QUEUED]
    state.last_number_by_serial[serial] = max(
        flow.record_by_number, default=flow.window_start - 1)
    if len(state.last_number_by_serial) > TERMINATED_FLOWS_KEPT:
        del state.last_number_by_serial[
            next(iter(state.last_number_by_serial))]
    return refusals + remove_flow(state, serial)


def terminate_all_flows(state):
    r"""End every flow: the target is gone or serves another service."""
    messages = []
    for serial in list(state.flow_by_serial):
        messages.extend(terminate_flow(state, serial))
    return messages


def _refuse_ended(state, event):
    r"""Refuse a request of a flow that has ended."""
    highest = state.last_number_by_serial.get(event.packet.token.serial)
    if highest is None or event.packet.number <= highest:
        return verification.refuse_packet(state, event, 'flow-ended')
    state.counters.refused_not_run += 1
    return [packet.Egress(event.path, packet.Refused(
        event.packet.flow_key, event.packet.number,
        int(verdict.Verdict.NOT_RUN), 'flow-ended',
        verification.RETRY_AFTER_MS))]


def _acknowledge(state, flow, serial, acknowledged):
    r"""Drop the records of the requests that the caller acknowledged."""
    if acknowledged <= flow.window_start:
        return
    for number in [
            item for item in flow.record_by_number if item < acknowledged]:
        record = flow.record_by_number[number]
        if record.phase <= states.Phase.DISPATCHED:
            # A record stays until the target has answered, even if the
            # caller acknowledges the request earlier.
            acknowledged = min(acknowledged, number)
    for number in [
            item for item in flow.record_by_number if item < acknowledged]:
        del flow.record_by_number[number]
        answers.discard(state, message.RequestKey(serial, number))
    flow.window_start = max(flow.window_start, acknowledged)


def _recorded_result(state, number, record):
    r"""Return the packets of the recorded result, if there is one."""
    if record.phase <= states.Phase.DISPATCHED:
        return []
    return result_packets(state, number, record)


def result_packets(state, number, record):
    r"""Return the packets with the answer to a request or its refusal."""
    if record.phase == states.Phase.REFUSED or not record.parts:
        if record.verdict is verdict.Verdict.NOT_RUN:
            state.counters.refused_not_run += 1
        else:
            state.counters.refused_may_have_run += 1
        return [packet.Egress(record.path, packet.Refused(
            record.flow_key, number, int(record.verdict), record.reason,
            verification.RETRY_AFTER_MS))]
    total = len(record.parts)
    return [
        packet.Egress(record.path, packet.Answer(
            record.flow_key, number, index, total, part))
        for index, part in enumerate(record.parts)
    ]
