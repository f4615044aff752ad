r"""First stage of a balancer: may this packet be forwarded at all?

Explanation
===========

A balancer forwards only while its configuration is confirmed, to data
centres that are in service, and only to the service that the packet was
addressed to. A packet with a token needs no knowledge of its target.

A balancer can't know whether another copy of a request was forwarded by
another balancer, so what it refuses "may have run". An ``Open`` runs
nothing and is refused as "not run".
"""

from poplarstep.core import effect
from poplarstep.core import stage
from poplarstep.core import verdict
from poplarstep.flow import packet

GATE = stage.Stage('gate')

RETRY_AFTER_MS = 100


@GATE.handles(packet.Ingress)
def ingress(state, event, now):
    r"""Route a packet with a token; pass an ``Open`` on to selection."""
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
        service = catalogue.former_by_address.get(event.path.service)
        if service is None or service.number != token.service:
            counters.refused_service += 1
            return refuse(event, 'wrong-service')
    if catalogue.data_centre_out(token.data_centre):
        counters.refused_data_centre += 1
        return refuse(event, 'data-centre-out')
    waited_ms = max(0, now - event.arrived_at)
    if type(body) is packet.Request and body.deadline_ms <= waited_ms:
        # The caller has given up; an answer would match nothing.
        counters.expired += 1
        return []
    counters.forwarded += 1
    return [effect.SendPacket(token.agent, packet.Forwarded(
        event.path, 0, token.service, token.target, catalogue.version,
        body, waited_ms))]


def refuse(event, reason):
    r"""Return the refusal of a packet, or nothing if it expects no answer.

    Examples
    ========

    >>> event = packet.Ingress(None, packet.Open(7), 0)
    >>> refuse(event, 'unknown-service')[0].packet.verdict
    0

    """
    body = event.packet
    if type(body) is packet.Open:
        decided = verdict.Verdict.NOT_RUN
        number = 0
    elif type(body) is packet.Request:
        decided = verdict.Verdict.MAY_HAVE_RUN
        number = body.number
    else:
        return []
    return [packet.Egress(event.path, packet.Refused(
        body.flow_key, number, int(decided), reason, RETRY_AFTER_MS))]
