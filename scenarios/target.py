r"""Target of a system in memory: slots, cold start, cancellation, crashes.

Explanation
===========

A target that has just started runs as many requests concurrently as its cold
limit, and one more for each ``WARMING_REQUESTS`` that it has completed, up to
its slots. A request above this limit fails and is counted in ``overloads``.
The target also counts the runs of each payload, and the requests whose
payload names another service.
"""

import collections

from poplarstep.core import address
from poplarstep.requests import message

# A cold target that has completed this many more requests can run one more
# request concurrently.
WARMING_REQUESTS = 8
HEARTBEAT_PERIOD_MS = 500
LOOPBACK_DELAY_MS = 1


class Plan:
    r"""Properties of a target and of its announcements; times in ms.

    ``announced_cold_limit`` may differ from the real ``cold_limit``, and
    ``announcement_delay_ms`` delays the announcements after a start.
    ``answer_bytes`` is the minimum length of an answer.
    """

    __slots__ = (
        'slots', 'connections', 'cold_limit', 'announced_cold_limit',
        'service_ms', 'announcement_delay_ms', 'answer_bytes')

    def __init__(
            self, slots=2, connections=2000, cold_limit=1,
            announced_cold_limit=None, service_ms=10, announcement_delay_ms=0,
            answer_bytes=0):
        self.slots = slots
        self.connections = connections
        self.cold_limit = cold_limit
        self.announced_cold_limit = announced_cold_limit or cold_limit
        self.service_ms = service_ms
        self.announcement_delay_ms = announcement_delay_ms
        self.answer_bytes = answer_bytes


class Target:
    r"""A target on the host of the agent ``agent_name``.

    Parameters
    ==========

    running : dict
        Start time of each running request by agent node and request key.
    run : object
        Identity of the current process; None after a crash.
    pooled_connections, stale_connections : int
        Idle or busy connections that the agent keeps open, and the idle ones
        that broke when the target crashed. The next request on each of the
        latter fails.
    largest_deadline_excess_ms : int
        How much later than the caller's deadline the deadline of a request
        was, at most.
    deadlines : dict
        Deadline of the caller by payload.
    """

    __slots__ = (
        'driver', 'agent_name', 'address', 'service', 'plan', 'alive',
        'incarnation', 'completed', 'running', 'pooled_connections',
        'stale_connections', 'leaving', 'overloads', 'misrouted', 'run',
        'runs_by_payload', 'cancelled', 'deadline_by_payload', 'calls',
        'largest_running', 'largest_deadline_excess_ms')

    def __init__(self, driver, agent_name, ip, service, plan, deadlines):
        self.driver = driver
        self.agent_name = agent_name
        self.address = address.Address(ip, 80)
        self.service = service
        self.plan = plan
        self.alive = False
        self.incarnation = 0
        self.completed = 0
        self.running = {}
        self.pooled_connections = 0
        self.stale_connections = 0
        self.leaving = False
        self.overloads = 0
        self.misrouted = 0
        self.run = None
        self.calls = 0
        self.largest_running = 0
        self.largest_deadline_excess_ms = 0
        self.cancelled = []
        self.runs_by_payload = collections.Counter()
        self.deadline_by_payload = deadlines

    def start(self, new_incarnation=True):
        r"""Start cold, with a new or the former incarnation."""
        self.alive = True
        self.completed = 0
        if new_incarnation or not self.incarnation:
            self.incarnation += 1
        self.running = {}
        self.run = object()
        self._heartbeat_later(self.run, self.plan.announcement_delay_ms)

    def crash(self):
        r"""Crash: all connections break."""
        self.alive = False
        self.run = None
        self.stale_connections = max(
            0, self.pooled_connections - len(self.running))
        self.pooled_connections = 0
        for running in list(self.running):
            self._fail(running, 'target-ConnectionResetError')

    def announce(self):
        r"""Announce the target to the agent now."""
        self.driver.post(self.agent_name, message.TargetState(
            self.service, self.address, self.incarnation, self.plan.slots,
            self.plan.connections, self.plan.announced_cold_limit,
            self.leaving))

    def concurrency_limit(self):
        r"""Return how many requests the target can run concurrently now."""
        return min(self.plan.slots, (
            self.plan.cold_limit + self.completed // WARMING_REQUESTS))

    def call(self, node, item):
        r"""Run a request from the agent, or report why it failed."""
        self.calls += 1
        if self.stale_connections:
            self.stale_connections -= 1
            return self._report(node, message.TargetFailed(
                item.key, True, 'target-ConnectionResetError', 0.0))
        if not self.alive:
            return self._report(node, message.TargetFailed(
                item.key, False, 'target-unreachable', 0.0))
        self._check(item)
        if len(self.running) >= self.concurrency_limit():
            self.overloads += 1
            return self._report(node, message.TargetFailed(
                item.key, True, 'target-status-500', 0.0))
        self.runs_by_payload[item.payload] += 1
        run = [self.driver.now]
        self.running[(node, item.key)] = run
        self.largest_running = max(self.largest_running, len(self.running))
        self.pooled_connections = max(
            self.pooled_connections, len(self.running))
        self.driver.at(
            self.driver.now + self.plan.service_ms,
            lambda: self._finish(node, item, run))

    def cancel(self, node, item):
        r"""Stop a request that the caller has cancelled."""
        if (node, item.key) in self.running:
            self.cancelled.append(item.key)
            self._fail((node, item.key), 'target-cancelled')

    def _check(self, item):
        if item.payload.split(b'|')[0].decode() != self.service:
            self.misrouted += 1
        excess = (
            self.driver.now + item.deadline_ms
            - self.deadline_by_payload[item.payload])
        self.largest_deadline_excess_ms = max(
            self.largest_deadline_excess_ms, excess)

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
        r"""Report an outcome, unless the calling agent has been restarted."""
        def deliver():
            if node.alive:
                self.driver.post(node.name, outcome)
        self.driver.at(self.driver.now + LOOPBACK_DELAY_MS, deliver)

    def _heartbeat_later(self, run, delay_ms):
        def heartbeat():
            if self.alive and self.run is run:
                self.announce()
                self._heartbeat_later(run, HEARTBEAT_PERIOD_MS)
        self.driver.at(self.driver.now + delay_ms, heartbeat)
