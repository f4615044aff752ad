r"""First stage of an agent: refuses packets not meant for its target.

Explanation
===========

A balancer may have an outdated configuration, and the address of an agent
may have been reused for a target of another service. The agent therefore
checks the service, data centre and incarnation of every packet itself.
"""

from poplarstep.core import effect
from poplarstep.core import stage
from poplarstep.core import verdict
from poplarstep.flow import packet
from poplarstep.requests import message
from poplarstep.requests import state as states

VERIFY = stage.Stage('verify')

RETRY_AFTER_MS = 50
DRAINING_RETRY_AFTER_MS = 1000


@VERIFY.handles(message.Arrival)
def arrival(state, event, now):
    r"""Refuse a packet or pass it on as verified."""
    forwarded = event.forwarded
    if isinstance(forwarded.packet, packet.Open):
        reason = _open_refusal_reason(state, forwarded, now)
        if reason:
            return [refuse_open(state, event.source, forwarded, reason)]
        return [message.VerifiedOpen(event.source, forwarded)]
    reason = _packet_refusal_reason(state, forwarded)
    if reason:
        return refuse_packet(state, forwarded, reason)
    body = forwarded.packet
    if isinstance(body, packet.Request):
        body = packet.after_wait(
            body, event.arrived_at - forwarded.waited_ms, now)
    return [message.VerifiedPacket(forwarded.path, body)]


def _open_refusal_reason(state, forwarded, now):
    r"""Return why an ``Open`` can't be accepted, or an empty string."""
    target = states.own_target(state)
    if target is None:
        return 'target-unknown'
    if forwarded.target != target.number or (
            forwarded.service != target.service):
        state.counters.misrouted += 1
        return 'misrouted'
    if state.catalogue.data_centre_out(target.data_centre):
        return 'data-centre-out'
    if state.leaving or state.silent or target.leaving or target.drained or (
            state.target.leaving):
        return 'draining'
    if not states.may_dispatch(state, now):
        return 'target-cold'
    return ''


def _packet_refusal_reason(state, forwarded):
    r"""Return why a packet of a flow can't be served, or an empty string."""
    token = forwarded.packet.token
    if token.incarnation != state.incarnation:
        return 'flow-ended'
    if token.service != forwarded.service:
        state.counters.misrouted += 1
        return 'misrouted'
    if state.catalogue.data_centre_out(token.data_centre):
        return 'data-centre-out'
    return ''


def refuse_open(state, source, forwarded, reason, load=None):
    r"""Return the refusal of an ``Open``, which never runs anything.

    The admission stage replaces the load in it by the current load.
    """
    state.counters.open_refused += 1
    retry_after_ms = (
        DRAINING_RETRY_AFTER_MS if reason == 'draining' else RETRY_AFTER_MS)
    return effect.SendPacket(source, packet.OpenOutcome(
        forwarded.attempt, forwarded.target,
        load or packet.Load(0, 0, 0, len(state.flow_by_serial), 0.0),
        packet.Refused(
            forwarded.packet.flow_key, 0, int(verdict.Verdict.NOT_RUN),
            reason, retry_after_ms)))


def refuse_packet(state, forwarded, reason):
    r"""Return the refusal of a packet without a record of its request.

    The request may have run. Packets other than requests get no reply.
    """
    if not isinstance(forwarded.packet, packet.Request):
        return []
    state.counters.refused_may_have_run += 1
    return [packet.Egress(forwarded.path, packet.Refused(
        forwarded.packet.flow_key, forwarded.packet.number,
        int(verdict.Verdict.MAY_HAVE_RUN), reason, 0))]
