r"""First stage of a balancer: checks whether a packet may be forwarded.

Explanation
===========

A balancer forwards a packet only while its configuration is confirmed, only
to data centres that are in service, and only to the service to which the
packet is addressed. The token of a packet holds the address of its target's
agent, so no state of the target is needed.

Another balancer may have forwarded a copy of the same request, so a request
is refused with the verdict "may have run". An ``Open`` runs nothing and is
refused with "not run".
"""

from poplarstep.core import effect
from poplarstep.core import stage
from poplarstep.core import verdict
from poplarstep.flow import packet

GATE = stage.Stage('gate')

# Time until a caller should retry, sent with a refusal.
RETRY_AFTER_MS = 100


@GATE.handles(packet.Ingress)
def ingress(state, event, now):
    r"""Forward a packet with a token; pass an ``Open`` to the next stage."""
    counters = state.counters
    counters.packets += 1
    if not state.confirmed(now):
        counters.refused_unconfirmed += 1
        return refuse(event, 'balancer-unconfirmed')
    body = event.packet
    catalogue = state.catalogue
    service = catalogue.service_by_address.get(event.path.service)
    if type(body) is packet.Open:
        if service is None:
            counters.refused_service += 1
            return refuse(event, 'unknown-service')
        return [event]
    token = body.token
    if service is None or service.number != token.service:
        # The service may have got a new address after the flow was opened.
        service = catalogue.former_by_address.get(event.path.service)
        if service is None or service.number != token.service:
            counters.refused_service += 1
            return refuse(event, 'wrong-service')
    if catalogue.data_centre_out(token.data_centre):
        counters.refused_data_centre += 1
        return refuse(event, 'data-centre-out')
    waited_ms = max(0, now - event.arrived_at)
    if type(body) is packet.Request and body.deadline_ms <= waited_ms:
        # The caller has timed out and would ignore the answer.
        counters.expired += 1
        return []
    counters.forwarded += 1
    return [effect.SendPacket(token.agent, packet.Forwarded(
        event.path, 0, token.service, token.target, catalogue.version,
        body, waited_ms))]


def refuse(event, reason):
    r"""Return the refusal of a packet, or nothing if no answer is expected.

    Examples
    ========

    >>> event = packet.Ingress(None, packet.Open(7), 0)
    >>> refuse(event, 'unknown-service')[0].packet.verdict
    0

    """
    body = event.packet
    if type(body) is packet.Open:
        decision = verdict.Verdict.NOT_RUN
        request_number = 0
    elif type(body) is packet.Request:
        decision = verdict.Verdict.MAY_HAVE_RUN
        request_number = body.number
    else:
        return []
    return [packet.Egress(event.path, packet.Refused(
        body.flow_key, request_number, int(decision), reason,
        RETRY_AFTER_MS))]
