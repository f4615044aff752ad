r"""State of an agent, which decides what the target on its host receives."""

import collections
import math

from poplarstep.core import histogram
from poplarstep.opaque_flows import demand
from poplarstep.opaque_flows import occupancy
from poplarstep.opaque_flows import pauses
from poplarstep.opaque_flows import request_queue
from poplarstep.opaque_flows import segment as segments
from poplarstep.opaque_flows import target_health
from poplarstep.opaque_flows import target_probe

# Idle timeout of flows until the configuration sets one.
DEFAULT_IDLE_MS = 15_000
NANOSECONDS_PER_MILLISECOND = 1_000_000
# The ends of a flow retransmit after 200 ms, so a flow that is silent for
# longer transfers nothing.
ACTIVE_FLOW_MS = 250


class Flow:
    r"""A flow of this agent's target.

    Parameters
    ==========

    balancer : Address or None
        The balancer that sent the latest packet of the flow; None if this
        agent knows the flow only from its target's packets.
    offer : Offer or None
        The offer that started the flow; None if the agent did not see the
        start.
    answered : bool
        The target has sent a packet of the flow, so it holds the flow.
    ended_at : int or None
        When the target closed or reset the flow, in ms.
    last_used : int
        When the latest packet passed, in ms.
    acknowledged : int
        Number that the caller acknowledged last, or ``NO_SEQUENCE_NUMBER``.
    tie : StartedTie or None
        See ``poplarstep.opaque_flows.agent_ties``; None unless two agents may
        start the flow.
    first_sequence : int
        Initial sequence number of the target, taken from its answer to the
        opening packet; ``NO_SEQUENCE_NUMBER`` until then.
    caller_sequence : int
        Highest sequence number of the caller's data that was forwarded;
        ``NO_SEQUENCE_NUMBER`` until then.
    awaits_request : bool
        The target has sent data since the latest request began.
    is_reused : bool
        The flow has carried more than one request, as far as known.
    claimed : bool
        A balancer says that the target holds the flow, and the target has not
        sent a packet of it yet; see ``poplarstep.opaque_flows.claims``.
    """

    __slots__ = (
        'balancer', 'offer', 'answered', 'ended_at', 'last_used',
        'first_sequence', 'acknowledged', 'tie', 'caller_sequence',
        'awaits_request', 'is_reused', 'claimed')

    def __init__(self, balancer, offer, now):
        self.balancer = balancer
        self.offer = offer
        self.answered = False
        self.ended_at = None
        self.last_used = now
        self.first_sequence = segments.NO_SEQUENCE_NUMBER
        self.acknowledged = segments.NO_SEQUENCE_NUMBER
        self.tie = None
        self.caller_sequence = segments.NO_SEQUENCE_NUMBER
        self.awaits_request = False
        self.is_reused = False
        self.claimed = False


class ClaimState:
    r"""Claims of an agent; see ``poplarstep.opaque_flows.claims``.

    Parameters
    ==========

    accepted : int
        Claims in this run of the agent.
    returned : set of bytes
        Claimed flows of which the target returned a packet.
    log_at : int or float
        When the number of claims is logged, in ms.
    is_logged : bool
        Whether it has been logged.
    """

    __slots__ = ('accepted', 'returned', 'log_at', 'is_logged')

    def __init__(self):
        self.accepted = 0
        self.returned = set()
        self.log_at = math.inf
        self.is_logged = False


class FlowAgentCounters:
    r"""Counts of events since the agent started; the slots are metric names.

    ``taken`` counts flows that started, ``not_taken`` rejected ones,
    ``outdated_offers`` those that were dropped after a pause and
    ``disowned`` those that the caller opened at another target. ``carried``
    counts all forwarded packets but opening packets, ``found`` and
    ``passed_unsure`` lookups of flows that the target holds or may hold,
    ``surveyed`` flows in surveys, ``dead_flows_reset`` open flows of a target
    that has ended, ``probes`` connections to a silent target.
    ``offers_withdrawn`` counts tied flows that the other agent started first,
    ``withdrawn_too_late`` those that both agents started, and
    ``reservations_released`` those of the latter whose slot was freed.
    ``held_requests`` counts requests of open flows that waited for a slot,
    ``held_copies`` copies of their packets, ``held_overflow`` packets that
    did not wait because the queue was full, ``held_released`` requests that
    were forwarded before a slot was free, and ``held_expired`` dropped ones.
    ``load_reports`` counts the loads sent without an offer,
    ``flows_claimed`` flows that balancers told this agent after its start, and
    ``claims_returned`` those of them that the target did not hold;
    ``flows_learned`` unknown flows of which the target sent data.
    """

    __slots__ = (
        'offers', 'taken', 'queued', 'disowned', 'not_taken', 'carried',
        'found', 'passed_unsure', 'returned', 'expired_waiting',
        'heartbeats', 'outdated_heartbeats', 'restarts', 'to_caller',
        'outdated_offers', 'pauses', 'surveyed', 'dead_flows_reset', 'probes',
        'offers_withdrawn', 'withdrawn_too_late', 'reservations_released',
        'held_requests', 'held_copies', 'held_overflow', 'held_released',
        'held_expired', 'load_reports', 'flows_claimed', 'claims_returned',
        'flows_learned')

    def __init__(self):
        for name in self.__slots__:
            setattr(self, name, 0)


class FlowAgentState:
    r"""State of the stages ``PRESENCE`` and ``AGENT``, which share it.

    Build it with ``make_flow_agent``. Times are in ms.

    Parameters
    ==========

    incarnation : int
        Unix time of this agent run's start in ns; announcements of a later
        run replace those of an earlier one.
    revision : int
        Number of the last announcement of this run.
    started_at : int
        Start of this agent run by the agent's clock.
    started_unix_ms : int
        Start of this agent run as Unix time.
    cold_factor, cold_slack : float
        A cold target may start ``cold_factor`` times the flows per second
        of its service's configuration, plus ``cold_slack`` flows per second.
    target : KnownTarget or None
        None until the first heartbeat.
    queue : RequestQueue
        New flows and held requests that wait for a slot.
    withdrawal_by_flow : OrderedDict
        Tied flows that the other agent has started; see
        ``poplarstep.opaque_flows.agent_ties``.
    pauses : PauseDetector
        Detects that this process was paused.
    start_times : deque of int
        When the latest flows started, oldest first.
    leaving : bool
        This agent is about to stop.
    departed : bool
        The target has reported that it is about to exit.
    departed_at : int
        When the target reported it.
    last_announcement : tuple or None
        Service, slots, leaving, incarnation and ended in the last
        announcement.
    table_full_at : int or float
        When a flow was last removed from the full table.
    probe : ProbeState
        See ``poplarstep.opaque_flows.target_probe``.
    resets_dead_flows : bool
        Whether callers are reset when the target of their flow has ended.
    demand : Demand
        How busy the target is, and which balancers know it.
    claims : ClaimState
        Flows that balancers told this agent after its start.
    back_in_service_at : int or None
        When the data centre came back into service; None once a later
        heartbeat has arrived.
    """

    __slots__ = (
        'node', 'data_centre', 'address', 'incarnation', 'revision',
        'catalogue', 'heartbeat_timeout_ms', 'flow_limit_ms', 'cold_factor',
        'cold_slack', 'started_at', 'target', 'flow_by_key', 'occupancy',
        'queue', 'start_times', 'leaving', 'departed', 'departed_at',
        'last_announcement', 'was_out_of_service',
        'back_in_service_at', 'started_unix_ms', 'counters',
        'next_sweep_at', 'queue_ms', 'pauses', 'table_full_at',
        'resets_dead_flows', 'probe',
        'withdrawal_by_flow', 'health', 'demand', 'claims')

    def __init__(self, settings, catalogue, incarnation, now):
        self.node = settings['node']
        self.data_centre = settings['data-centre']
        self.address = settings['agent-address']
        self.heartbeat_timeout_ms = settings['target-fresh']
        self.flow_limit_ms = settings['flow-limit']
        self.cold_factor = settings['cold-factor']
        self.cold_slack = settings['cold-slack']
        self.catalogue = catalogue
        self.incarnation = incarnation
        self.started_unix_ms = incarnation // NANOSECONDS_PER_MILLISECOND
        self.revision = 0
        self.started_at = now
        self.target = None
        self.flow_by_key: dict[bytes, Flow] = {}
        self.occupancy = occupancy.Occupancy()
        self.queue = request_queue.make_request_queue(
            settings['request-queue'])
        self.withdrawal_by_flow = collections.OrderedDict()
        self.claims = ClaimState()
        self.health = target_health.make_target_health()
        self.demand = demand.make_demand(
            settings['load-reports'] == 'on', now)
        self.pauses = pauses.make_pause_detector()
        self.start_times = collections.deque()
        self.leaving = False
        self.departed = False
        self.departed_at = 0
        self.last_announcement = None
        self.was_out_of_service = False
        self.back_in_service_at = None
        self.table_full_at = -math.inf
        self.probe = target_probe.make_probe(now, self.heartbeat_timeout_ms)
        self.resets_dead_flows = settings.get('dead-flows') == 'reset'
        self.counters = FlowAgentCounters()
        self.queue_ms = histogram.Histogram()
        self.next_sweep_at = 0

    @property
    def queue_length(self):
        r"""Return the number of new flows and requests that wait."""
        return len(self.queue)


def make_flow_agent(settings, catalogue, incarnation, now) -> FlowAgentState:
    r"""Return the state of an agent that has received no heartbeat yet."""
    return FlowAgentState(settings, catalogue, incarnation, now)


def is_data_centre_out(state: 'FlowAgentState'):
    r"""Return whether the data centre of this agent is out of service."""
    centre = state.catalogue.data_centre_by_name.get(state.data_centre)
    return centre is not None and centre.out


def is_silent(state: 'FlowAgentState', now):
    r"""Return whether no heartbeat has come for too long, or none at all."""
    return state.target is None or (
        now - state.target.last_heartbeat_at > state.heartbeat_timeout_ms)


def is_absent(state: 'FlowAgentState', now):
    r"""Return whether the target may have ended.

    A target of another service may then have taken over its address.
    """
    return state.departed or is_silent(state, now)


def slots(state: 'FlowAgentState'):
    r"""Return how many requests the target runs concurrently, at least 1."""
    return max(1, state.target.slots) if state.target else 1


def load(state: 'FlowAgentState'):
    r"""Return the ``Load`` that answers to balancers report."""
    report = state.demand.complete(
        state.occupancy.load(state.queue_length, slots(state)))
    report.unanswered_permille = state.health.unanswered_permille()
    return report


def active_flows(state: 'FlowAgentState', now):
    r"""Return the number of open flows with a packet in the last moments.

    Other open flows wait for their callers. They outlive a restart of the
    agent, because the target holds them.
    """
    return sum(
        flow.answered and flow.ended_at is None
        and now - flow.last_used <= ACTIVE_FLOW_MS
        for flow in state.flow_by_key.values())


def open_flows(state: 'FlowAgentState'):
    r"""Return the number of flows that the target holds."""
    return sum(
        flow.answered and flow.ended_at is None
        for flow in state.flow_by_key.values())


def unfinished_requests(state: 'FlowAgentState'):
    r"""Return the number of requests queued here or run by the target."""
    return state.queue_length + state.occupancy.count()


def may_stop(state: 'FlowAgentState', now):
    r"""Return whether a stop of this agent cuts no request and no transfer.

    False until the agent has processed ``presence.Leave``, which announces
    that it takes no new flow.
    """
    if state.probe.outstanding or not _is_end_known(state):
        return False
    return state.leaving and not (
        unfinished_requests(state) or active_flows(state, now))


def _is_end_known(state: 'FlowAgentState'):
    r"""Return whether control hosts know of an announced end of the target.

    Otherwise balancers would wait for the answers of a stopped agent until
    control hosts notice its silence.
    """
    return not target_probe.is_announced(state) or (
        state.catalogue.version > 0
        and state.node not in state.catalogue.target_by_name)
