r"""State of a balancer of opaque flows."""

import math
import types

from poplarstep.core import histogram
from poplarstep.limits import budget
from poplarstep.opaque_flows import agent_index
from poplarstep.opaque_flows import known_flows
from poplarstep.opaque_flows import locality as localities
from poplarstep.opaque_flows import lookups
from poplarstep.opaque_flows import pauses
from poplarstep.opaque_flows import pending_flows
from poplarstep.opaque_flows import tied_offers

# Shared by the flows that have not been passed to an uncertain agent, which
# are nearly all; it is replaced and never changed.
NOT_PASSED = types.MappingProxyType({})


class TrackedFlow:
    r"""Entry of the flow table of a balancer; times in ms.

    Parameters
    ==========

    agent : Address or None
        The agent that holds the flow; None while it is not known.
    opening_datagram : bytes
        Opening packet that is being offered, or no bytes.
    tried_targets : tuple of int
        Numbers of the targets that have been offered the flow in this round
        and did not accept it.
    offered_to : Target or None
        Target whose agent has not answered its offer yet.
    offer_count : int
        Offers in this round; a round is a sequence of offers to different
        targets.
    opening_deadline : int
        When the caller gives up opening the flow.
    round_count : int
        Rounds of offers before this one.
    lookup_count : int
        Lookups that were sent because ``agent`` is not known.
    looked_up_at : int
        When the last lookup was sent.
    waiting_packets : sequence of FlowPacket
        Packets that wait until the agent is found.
    passed_at_by_agent : dict
        When each uncertain agent last got a packet of the flow; see
        ``poplarstep.opaque_flows.uncertain_agents``.
    is_late : bool
        Whether the flow only gets slots that no other flow waits for; see
        ``poplarstep.opaque_flows.offers``.
    first_opening_at : int
        When the first opening packet of the flow came to this balancer.
    copy_due_at : int or float
        From when on the next copy of the opening packet may be at another
        balancer.
    refusal : str
        Why the flow was refused without a reset, which a copy of the opening
        packet may still allow; empty otherwise.
    late_deadline : int
        When a late flow must have started.
    may_queue : bool
        Whether the agent may queue the last offer.
    reason_by_target : dict
        Why agents rejected the flow in this round, by number of the target.
    may_be_open : bool
        A target may have accepted the flow without this balancer's
        knowledge, so the flow must not be reset.
    tie : Tie or None
        The two offers of a tied flow; see
        ``poplarstep.opaque_flows.tied_offers``.
    queue_deadline : int
        Until when the flow may wait in the queue of an agent.
    opening_received_at : int or None
        When the opening packet arrived; None once an agent has accepted it.
    is_closed : bool
        The caller has closed or reset the flow.
    """

    __slots__ = (
        'agent', 'opening_datagram', 'tried_targets', 'offered_to',
        'offered_at', 'offer_count', 'service', 'priority',
        'opening_deadline', 'last_used', 'lookup_count', 'may_queue',
        'reason_by_target', 'may_be_open', 'queue_deadline',
        'opening_received_at', 'round_count', 'looked_up_at',
        'waiting_packets', 'is_late', 'late_deadline', 'copy_due_at',
        'first_opening_at', 'refusal', 'tie', 'is_closed',
        'passed_at_by_agent')

    def __init__(self, now):
        self.round_count = 0
        self.looked_up_at = 0
        self.waiting_packets: tuple = ()
        self.passed_at_by_agent = NOT_PASSED
        self.is_late = False
        self.late_deadline = 0
        self.first_opening_at = now
        self.copy_due_at = math.inf
        self.refusal = ''
        self.tie = None
        self.agent = None
        self.opening_datagram = b''
        self.tried_targets = ()
        self.offered_to = None
        self.offered_at = 0
        self.offer_count = 0
        self.service = 0
        self.priority = 0
        self.opening_deadline = 0
        self.last_used = now
        self.lookup_count = 0
        self.may_queue = False
        self.reason_by_target = {}
        self.may_be_open = False
        self.queue_deadline = 0
        self.opening_received_at = None
        self.is_closed = False


class FlowBalancerCounters:
    r"""Counts of events since the balancer started; slots are metric names.

    ``carried`` counts packets that were forwarded to the agent of their flow,
    ``finds`` lookups, ``wide_lookups`` those that went beyond the candidates
    of the flow, ``lookup_messages`` the messages of all lookups, ``strays``
    packets that targets returned, ``held`` and
    ``not_taken`` the answers of agents, ``silent_offers`` offers that timed
    out, ``parked`` flows that had to wait for another round of offers,
    ``postponed_resets`` refused flows that a copy on its way may have opened,
    ``unconfirmed`` packets that were dropped without a confirmed
    configuration and ``outdated`` opening packets dropped after a pause.
    ``surveys`` counts the surveys of all agents, ``survey_messages`` their
    messages, ``surveys_given_up`` flows that no agent held and not all
    denied, ``dead_flows_reset`` those that all denied, ``uncertain_packets``
    the packets to agents that may hold their flow, ``survey_delays`` and
    ``uncertain_delays`` how often flows waited for the budget of questions
    and of these packets.
    ``tied_offers`` counts flows that were offered to two agents at once;
    ``tied_withdrawn_in_time`` those that only one agent started,
    ``tied_withdrawn_too_late`` those that both started, and
    ``tied_denied_by_budget`` and ``tied_denied_by_load`` those that were
    offered to one agent only because of a limit.
    ``load_reports`` counts the loads that agents sent without an offer,
    ``spill_starts`` and ``spill_stops`` changes of whether a service spills
    over to other data centres, ``packets_to_others`` and ``bytes_to_others``
    the packets to agents in these and their lengths. ``known_flows_sent``
    counts the flows that restarted agents were told, without repetitions.
    """

    __slots__ = (
        'packets', 'carried', 'openings', 'offers', 'held', 'not_taken',
        'silent_offers', 'finds', 'strays', 'unknown_route', 'reset_flows',
        'no_target', 'unconfirmed', 'table_full', 'outdated', 'pauses',
        'parked', 'wide_lookups', 'lookup_messages', 'postponed_resets',
        'surveys', 'survey_messages', 'surveys_given_up', 'dead_flows_reset',
        'uncertain_packets', 'survey_delays', 'uncertain_delays',
        'tied_offers', 'tied_withdrawn_in_time', 'tied_withdrawn_too_late',
        'tied_denied_by_budget', 'tied_denied_by_load', 'load_reports',
        'spill_starts', 'spill_stops', 'packets_to_others', 'bytes_to_others',
        'known_flows_sent')

    def __init__(self):
        for name in self.__slots__:
            setattr(self, name, 0)


class FlowBalancerState:
    r"""State of the stage ``BALANCER``; build it with ``make_flow_balancer``.

    Parameters
    ==========

    tracked_by_flow : dict
        The flow table; see ``TrackedFlow``.
    offered_by_flow : dict
        The entries of the flow table whose last offer is not answered.
    candidates : CandidateIndex
        Finds the targets that may take or hold a flow.
    agents : AgentIndex
        Finds the target of an agent that reports its load.
    locality : Locality
        Chooses the data centre of a new flow.
    traffic : Traffic or None
        State of the stage ``CROSSINGS``, which counts packets.
    wide_lookups : TokenBucket
        Limits the messages of lookups beyond the candidates of a flow.
    early_opening_by_flow : dict
        Opening packets that arrived before a confirmed configuration, oldest
        first; see ``poplarstep.opaque_flows.early_openings``.
    tie_limits : TieLimits
        Budget of tied offers, and the services that are short of capacity.
    late_blocked_until : int
        Late flows are not offered until then.
    retry_at_by_flow : dict
        Flows that no target accepted, and when the next round of offers
        starts, in ms.
    pauses : PauseDetector
        Detects that this process was paused.
    opening_ms : Histogram
        Times from an opening packet to its acceptance by an agent.
    surveys : SurveyState
        See ``poplarstep.opaque_flows.pending_flows``.
    known_flows : KnownFlowsState
        See ``poplarstep.opaque_flows.known_flows``.
    """

    __slots__ = (
        'catalogue', 'confirmed', 'placement', 'random', 'tracked_by_flow',
        'offered_by_flow', 'retry_at_by_flow', 'counters', 'next_sweep_at',
        'pauses', 'opening_ms', 'candidates',
        'wide_lookups', 'early_opening_by_flow', 'late_blocked_until',
        'surveys', 'tie_limits', 'agents', 'locality', 'traffic',
        'known_flows')

    def __init__(
            self, catalogue, confirmed, placement, random, survey_state,
            tied_percent, locality):
        self.catalogue = catalogue
        self.surveys: pending_flows.SurveyState = survey_state
        self.known_flows = known_flows.make_known_flows()
        self.locality = locality
        self.candidates = locality.make_index(catalogue)
        self.agents = agent_index.AgentIndex(catalogue)
        placement.groups.catalogue = catalogue
        self.wide_lookups = budget.make_token_bucket(
            lookups.WIDE_MESSAGES_PER_S, lookups.MAXIMUM_WIDE_MESSAGES,
            now=0)
        self.confirmed = confirmed
        self.placement = placement
        self.random = random
        self.tracked_by_flow: dict[bytes, TrackedFlow] = {}
        self.early_opening_by_flow = {}
        self.tie_limits = tied_offers.make_tie_limits(tied_percent)
        self.late_blocked_until = 0
        self.offered_by_flow = {}
        self.retry_at_by_flow = {}
        self.counters = FlowBalancerCounters()
        self.traffic = locality.make_traffic(
            catalogue, self.agents, self.counters)
        self.next_sweep_at = 0
        self.pauses = pauses.make_pause_detector()
        self.opening_ms = histogram.Histogram()


def make_flow_balancer(
        catalogue, confirmed, placement, random, survey_state=None,
        tied_percent=0, locality=None) -> FlowBalancerState:
    r"""Return the state of a balancer with an empty flow table.

    Parameters
    ==========

    catalogue : Catalogue
        This node's copy of the configuration.
    confirmed : callable
        Takes ``now`` and returns whether the configuration is confirmed, so
        that it may be used.
    placement : Placement
        Chooses targets.
    random : random.Random
        Chooses the service of a flow on a route with several services.
    survey_state : SurveyState or None
        Surveys of flows that no candidate holds; none by default.
    tied_percent : int
        Tied offers per 100 new flows; 0 switches them off.
    locality : Locality or None
        Chooses the data centre of a new flow; None treats all alike.
    """
    return FlowBalancerState(
        catalogue, confirmed, placement, random,
        survey_state or pending_flows.make_surveys(), tied_percent,
        locality or localities.make_locality(
            localities.DEFAULT_LOCALITY, ''))
