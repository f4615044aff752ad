r"""Second stage of a balancer: chooses a target for a new flow.

Explanation
===========

The balancer keeps an ``Open`` only until the agent has answered or the
timeout has passed, so the table of pending opens stays small. If the agent
refuses, one more attempt is made at another target, within the retry budget.
An open that is lost is not retried here: the caller retransmits it.
"""

from poplarstep.core import effect
from poplarstep.core import record
from poplarstep.core import stage
from poplarstep.core import timer
from poplarstep.dissemination import message as dissemination
from poplarstep.flow import packet
from poplarstep.routing import gate
from poplarstep.routing import state as states

TICK = 'opening'
TICK_PERIOD_MS = 100
OPEN_TIMEOUT_MS = 500
MAXIMUM_ATTEMPTS = 2
MAXIMUM_PENDING_OPENS = 16_384

SELECT = stage.Stage('select')


class OutcomeArrived(record.Record):
    r"""Event: an agent answered a forwarded ``Open``."""

    __slots__ = ('outcome',)

    def __init__(self, outcome: packet.OpenOutcome):
        self.outcome = outcome


@SELECT.handles(packet.Ingress)
def admit_open(state, event, now):
    r"""Admit an ``Open`` and send it to the selected target."""
    service = state.catalogue.service_by_address[event.path.service]
    state.counters.opens += 1
    state.opens_by_service[service.number] = (
        state.opens_by_service.get(service.number, 0) + 1)
    if len(state.pending_by_attempt) >= MAXIMUM_PENDING_OPENS or (
            not state.shedder.admit(service.priority, now)):
        state.counters.refused_shed += 1
        return _refuse(state, event, service.number, 'overload')
    state.retry_budget.attempted(now)
    return _attempt(state, event, service.number, (), now)


def _attempt(state, event, service, tried, now):
    candidates = state.catalogue.selectable_by_service.get(service, ())
    selector = state.selector_for(service)
    number = selector.select(candidates, now, tried)
    if number is None:
        state.counters.refused_no_target += 1
        return _refuse(state, event, service, 'no-target')
    selector.sent(number, now)
    attempt = state.next_attempt
    state.next_attempt += 1
    state.pending_by_attempt[attempt] = states.PendingOpen(
        event, service, number, tried + (number,), now)
    target = state.catalogue.target_by_number[number]
    return [effect.SendPacket(target.agent, packet.Forwarded(
        event.path, attempt, service, number, state.catalogue.version,
        event.packet))]


@SELECT.handles(OutcomeArrived)
def outcome_arrived(state, event, now):
    r"""Send the answer to the caller, or retry once after a refusal."""
    outcome = event.outcome
    pending = state.pending_by_attempt.pop(outcome.attempt, None)
    if pending is None or pending.target != outcome.target:
        state.counters.stale_outcomes += 1
        return []
    selector = state.selector_for(pending.service)
    if isinstance(outcome.packet, packet.Opened):
        selector.accepted(outcome.target, outcome.load, now)
        state.counters.opened += 1
        return [packet.Egress(pending.ingress.path, outcome.packet)]
    selector.refused(outcome.target, outcome.load, now)
    retry = (
        len(pending.tried) < MAXIMUM_ATTEMPTS
        and state.confirmed(now)
        and state.retry_budget.try_retry(now))
    if retry:
        state.counters.open_retried += 1
        return _attempt(
            state, pending.ingress, pending.service, pending.tried, now)
    state.counters.refused_busy += 1
    return _refuse(
        state, pending.ingress, pending.service, outcome.packet.reason)


@SELECT.handles(dissemination.CatalogueChanged)
def catalogue_changed(state: states.BalancerState, event, now):
    r"""Drop the state of services and targets that no longer exist.

    Their numbers are never reused, so the state would only take memory.
    """
    catalogue = state.catalogue
    for service in list(state.selector_by_service):
        if service not in catalogue.service_by_number:
            del state.selector_by_service[service]
            continue
        selector = state.selector_by_service[service]
        targets = catalogue.targets_by_service.get(service, {})
        if len(selector.state_by_number) > len(targets):
            for number in list(selector.state_by_number):
                if number not in targets:
                    selector.remove(number)
    return []


@SELECT.handles(timer.Tick)
def tick(state, event, now):
    r"""Remove pending opens that no agent answered within the timeout."""
    if event.name != TICK:
        return [event]
    for attempt, pending in list(state.pending_by_attempt.items()):
        if now - pending.sent_at < OPEN_TIMEOUT_MS:
            # Attempts are numbered in the order of sending.
            break
        del state.pending_by_attempt[attempt]
        state.counters.open_lost += 1
        state.selector_for(pending.service).lost(pending.target, now)
    return []


def _refuse(state, event, service, reason):
    state.refused_by_service[service] = (
        state.refused_by_service.get(service, 0) + 1)
    return gate.refuse(event, reason)
