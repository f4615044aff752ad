r"""A balancer with scripted agents, to test the search for unknown flows."""

import heapq
import itertools

from poplarstep.core import timer
from poplarstep.edge import wire
from poplarstep.opaque_flows import balancer
from poplarstep.opaque_flows import lookup_budget
from poplarstep.opaque_flows import message
from poplarstep.opaque_flows import pending_flows
from poplarstep.opaque_flows.tests import fixtures
from poplarstep.opaque_flows.tests import test_lookups

# One way between a balancer and an agent in another data centre.
DELAY_MS = 1
ACKNOWLEDGED = 7001
# When callers repeat a packet that is not answered, in ms after the first.
REPEATED_AFTER_MS = (0, 200, 600, 1400, 3000, 4600, 6200)
# UDP and IP headers, which the encoded messages do not contain.
HEADER_BYTES = 28
CODEC = wire.make_flow_codec()


class Agent:
    r"""An agent whose answers are scripted.

    Parameters
    ==========

    knows : set of bytes
        Flows that the agent knows its target to hold.
    holds : set of bytes
        Flows that the target holds, whether or not the agent knows.
    restarted : bool
        Whether the agent is uncertain about the other flows.
    up_at : int
        Until then the agent receives nothing.
    lost, lost_answers : int
        How many of the first messages to it, and of its answers, are lost.
    learns : bool
        Whether the target answers the packets of the flows that it holds.
    """

    __slots__ = ('knows', 'holds', 'restarted', 'up_at', 'lost',
                 'lost_answers', 'learns', 'received')

    def __init__(self, knows=(), holds=(), restarted=False, up_at=0, lost=0,
                 lost_answers=0, learns=True):
        self.knows = set(knows)
        self.holds = set(holds) | self.knows
        self.restarted = restarted
        self.up_at = up_at
        self.lost = lost
        self.lost_answers = lost_answers
        self.learns = learns
        # ``(time, message)`` of the packets.
        self.received = []

    def answer(self, item, now):
        r"""Return the answer to a message, or None."""
        if type(item) is message.FlowQuery:
            return self._answer_query(item.flow)
        if type(item) is message.FlowSurvey:
            flows = [surveyed.flow for surveyed in item.flows]
            return self._reply(item.number, flows)
        if type(item) is message.Offer:
            return None
        packet = item.packet if type(item) is message.FlowLookup else item
        self.received.append((now, packet))
        if packet.flow not in self.holds:
            return message.ReturnedPacket(*packet.values())
        if self.learns:
            self.knows.add(packet.flow)
        return None

    def _answer_query(self, flow):
        if flow in self.knows:
            return message.FlowAccepted(flow, fixtures.IDLE_LOAD)
        if self.restarted:
            return message.FlowUncertain(flow)
        return self._reply(0, [flow])

    def _reply(self, number, flows):
        unknown = tuple(flow for flow in flows if flow not in self.knows)
        return message.SurveyReply(
            number, tuple(flow for flow in flows if flow in self.knows),
            unknown * self.restarted, unknown * (not self.restarted))


class Search:
    r"""Runs a balancer, its callers and its agents in simulated time.

    ``sent`` holds ``(time, destination, message, bytes)``, ``resets`` the
    times of the resets by flow.
    """

    __slots__ = ('state', 'agent_by_address', 'queue', 'order', 'sent',
                 'resets')

    def __init__(self, agents, lookup_rate=lookup_budget.DEFAULT_RATE):
        # The service of the fixtures' route has three targets.
        self.state = test_lookups.make_balancer(len(agents) - 3)
        self.agent_by_address = dict(zip(
            list(fixtures.AGENTS[:3]) + [
                test_lookups.agent_address(number)
                for number in range(len(agents) - 3)], agents))
        self.queue = []
        self.order = itertools.count()
        self.sent = []
        self.resets = {}
        self.restart(lookup_rate)

    def restart(self, lookup_rate=lookup_budget.DEFAULT_RATE):
        r"""Replace the balancer by one that knows no flow."""
        self.state = fixtures.make_balancer(
            self.state.catalogue,
            survey_state=pending_flows.make_surveys(
                True, lambda now: now, lookup_rate))

    def call(self, flow, now, repeated_after=REPEATED_AFTER_MS, data=500):
        r"""Schedule a packet of a caller and its copies."""
        segment = fixtures.segment(flow, data=data, sequence=100)
        segment.acknowledged = ACKNOWLEDGED
        segment.datagram = b'd' * (data + 40)
        for after in repeated_after:
            self._push(now + after, message.FromCaller(segment))

    def open(self, flow, now):
        r"""Schedule the opening packet of a flow; no agent answers it."""
        self._push(now, message.FromCaller(
            fixtures.segment(flow, opening=True)))

    def run(self, until, first=0):
        r"""Play all events before ``until``."""
        for now in range(first, until, balancer.TICK_PERIOD_MS):
            self._push(now, timer.Tick(balancer.TICK))
        while self.queue and self.queue[0][0] < until:
            now, _, event = heapq.heappop(self.queue)
            if type(event) is message.ToNode:
                self._deliver(event, now)
            elif self._is_wanted(event):
                for effect in balancer.BALANCER.process(
                        self.state, event, now):
                    self._perform(effect, now)

    def _is_wanted(self, event):
        r"""Return whether a caller's event is not obsolete by a reset."""
        return type(event) is not message.FromCaller or (
            event.segment.flow not in self.resets)

    def _perform(self, effect, now):
        if type(effect) is message.ResetFlow:
            self.resets.setdefault(effect.flow, now)
        elif type(effect) is message.ToNode:
            size = HEADER_BYTES + len(CODEC.encode(effect.message))
            self.sent.append((now, effect.destination, effect.message, size))
            self._push(now + DELAY_MS, effect)

    def _deliver(self, event, now):
        agent = self.agent_by_address[event.destination]
        if now < agent.up_at:
            return
        if agent.lost:
            agent.lost -= 1
            return
        answer = agent.answer(event.message, now)
        if answer is not None and agent.lost_answers:
            agent.lost_answers -= 1
        elif answer is not None:
            self._push(now + DELAY_MS, message.FromNode(
                event.destination, answer))

    def _push(self, at, event):
        heapq.heappush(self.queue, (at, next(self.order), event))

    def excess_bytes(self, rate, *kinds):
        r"""Return by how much messages exceed a rate and its burst of 1 s.

        It is the largest excess in any interval, as a token bucket counts.
        """
        level = excess = last = 0
        for at, _, item, size in self.sent:
            if type(item) in kinds:
                level = max(0, level - (at - last) * rate / 1000) + size
                excess, last = max(excess, level - rate), at
        return excess
