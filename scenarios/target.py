r"""Model of a target: slots, cold start, deadlines, cancellation, death.

Explanation
===========

A cold target bears its cold limit and one more request for each
``WARMING_REQUESTS`` that it has completed, up to its slots. A request above
that fails and is counted in ``exceeded``. It is the judge of what ran: it
counts the runs of each payload, and calls whose payload was meant for
another service.
"""

import collections

from poplarstep.core import address
from poplarstep.requests import message

WARMING_REQUESTS = 8
HEARTBEAT_MS = 500
LOCAL_MS = 1


class Plan:
    r"""What a target is like and what it announces; times in ms.

    ``announced_cold_limit`` may differ from the limit that holds, and
    ``late_ms`` delays the announcement after a start.
    """

    __slots__ = (
        'slots', 'connections', 'cold_limit', 'announced_cold_limit',
        'service_ms', 'late_ms', 'answer_bytes')

    def __init__(
            self, slots=2, connections=2000, cold_limit=1,
            announced_cold_limit=None, service_ms=10, late_ms=0,
            answer_bytes=0):
        self.slots = slots
        self.connections = connections
        self.cold_limit = cold_limit
        self.announced_cold_limit = announced_cold_limit or cold_limit
        self.service_ms = service_ms
        self.late_ms = late_ms
        self.answer_bytes = answer_bytes


class Target:
    r"""A target beside the agent of the same name."""

    __slots__ = (
        'driver', 'agent_name', 'place', 'service', 'plan', 'alive',
        'incarnation', 'completed', 'running', 'pooled', 'stale', 'leaving',
        'exceeded', 'foreign', 'run', 'runs_by_payload', 'cancelled',
        'deadline_by_payload', 'calls', 'most_running',
        'latest_ms')

    def __init__(self, driver, agent_name, ip, service, plan, deadlines):
        self.driver = driver
        self.agent_name = agent_name
        self.place = address.Address(ip, 80)
        self.service = service
        self.plan = plan
        self.alive = False
        self.incarnation = 0
        self.completed = 0
        self.running = {}
        self.pooled = 0
        self.stale = 0
        self.leaving = False
        self.exceeded = 0
        self.foreign = 0
        self.run = None
        self.calls = 0
        self.most_running = 0
        self.latest_ms = 0
        self.cancelled = []
        self.runs_by_payload = collections.Counter()
        self.deadline_by_payload = deadlines

    def start(self, truthful=True):
        r"""Start a cold run; a false start repeats the incarnation."""
        self.alive = True
        self.completed = 0
        if truthful or not self.incarnation:
            self.incarnation += 1
        self.running = {}
        self.run = object()
        self._heartbeat_later(self.run, self.plan.late_ms)

    def die(self):
        r"""End without warning; connections break."""
        self.alive = False
        self.run = None
        self.stale = max(0, self.pooled - len(self.running))
        self.pooled = 0
        for running in list(self.running):
            self._fail(running, 'target-ConnectionResetError')

    def announce(self):
        r"""Tell the agent now what the target is."""
        self.driver.post(self.agent_name, message.TargetState(
            self.service, self.place, self.incarnation, self.plan.slots,
            self.plan.connections, self.plan.announced_cold_limit,
            self.leaving))

    def bears(self):
        r"""Return how many requests the target can run now."""
        return min(self.plan.slots, (
            self.plan.cold_limit + self.completed // WARMING_REQUESTS))

    def call(self, node, item):
        r"""Run a request that the agent sent."""
        self.calls += 1
        if self.stale:
            self.stale -= 1
            return self._report(node, message.TargetFailed(
                item.key, True, 'target-ConnectionResetError', 0.0))
        if not self.alive:
            return self._report(node, message.TargetFailed(
                item.key, False, 'target-unreachable', 0.0))
        self._judge(item)
        if len(self.running) >= self.bears():
            self.exceeded += 1
            return self._report(node, message.TargetFailed(
                item.key, True, 'target-status-500', 0.0))
        self.runs_by_payload[item.payload] += 1
        run = [self.driver.now]
        self.running[(node, item.key)] = run
        self.most_running = max(self.most_running, len(self.running))
        self.pooled = max(self.pooled, len(self.running))
        self.driver.at(
            self.driver.now + self.plan.service_ms,
            lambda: self._finish(node, item, run))

    def cancel(self, node, item):
        r"""Stop a request that the caller no longer wants."""
        if (node, item.key) in self.running:
            self.cancelled.append(item.key)
            self._fail((node, item.key), 'target-cancelled')

    def _judge(self, item):
        if item.payload.split(b'|')[0].decode() != self.service:
            self.foreign += 1
        excess = (
            self.driver.now + item.deadline_ms
            - self.deadline_by_payload[item.payload])
        self.latest_ms = max(self.latest_ms, excess)

    def _finish(self, node, item, run):
        if self.running.get((node, item.key)) is not run:
            return
        del self.running[(node, item.key)]
        self.completed += 1
        body = b'answer to ' + item.payload
        self._report(node, message.TargetAnswered(
            item.key, body.ljust(self.plan.answer_bytes, b'.'),
            float(self.plan.service_ms)))

    def _fail(self, running, reason):
        node, key = running
        elapsed_ms = self.driver.now - self.running.pop(running)[0]
        self._report(node, message.TargetFailed(
            key, True, reason, float(elapsed_ms)))

    def _report(self, node, outcome):
        r"""Report to the run of the agent that made the call."""
        def deliver():
            if node.alive:
                self.driver.post(node.name, outcome)
        self.driver.at(self.driver.now + LOCAL_MS, deliver)

    def _heartbeat_later(self, run, delay_ms):
        def beat():
            if self.alive and self.run is run:
                self.announce()
                self._heartbeat_later(run, HEARTBEAT_MS)
        self.driver.at(self.driver.now + delay_ms, beat)
