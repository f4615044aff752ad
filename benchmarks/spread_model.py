r"""Simulation of balancers that open long flows at unequal targets.

Explanation
===========

Flows arrive at random balancers and have an exponentially distributed
lifetime. Each flow sends requests at random times to its target, which
serves them with ``SLOTS`` slots. The answer to an open carries the target's
load, with the delay of the scenario. Times are in simulated milliseconds.
"""

import collections
import heapq
import math
import random
import statistics

from poplarstep.flow import packet
from poplarstep.routing import selectors

SLOTS = 2
FAST_SERVICE_MS = 5.0
# Mean share of the slots that are busy, over all targets.
MEAN_UTILISATION = 0.6
OPEN_ANSWER_DELAY_MS = 2
REPORT_PERIOD_MS = 250
SAMPLE_PERIOD_MS = 1000
# Latencies of a target from which its reported median is computed.
LATENCY_SAMPLES = 31
# When the reports of target 0 stop changing.
FREEZE_MS_BY_FAULT = {'frozen': 10_000, 'frozen late': 200_000}

ARRIVE, LEAVE, REQUEST, DONE, ANSWERED, REPORT, SAMPLE = range(7)


class Scenario:
    r"""Load, targets and fault of one simulation.

    Parameters
    ==========

    speeds : tuple of float
        Speed of each target; 1 serves a request in 5 ms on average.
    delay_ms : int
        Age of a report when the balancer receives it.
    fault : str
        ``none``; ``frozen``: the reports of target 0 stop changing at 10 s,
        when few latencies have been measured; ``frozen late``: they stop at
        200 s; ``lying``: target 0 reports no flows and a quarter of its
        latency;
        ``joins``: target 0 joins at the end of the warm-up.
    flows : int
        Mean number of open flows.
    lifetime_ms : int
        Mean lifetime of a flow.
    """

    __slots__ = (
        'name', 'balancers', 'speeds', 'delay_ms', 'fault', 'flows',
        'lifetime_ms')

    def __init__(
            self, name, balancers, speeds, delay_ms, fault, flows,
            lifetime_ms=120_000):
        self.name = name
        self.balancers = balancers
        self.speeds = speeds
        self.delay_ms = delay_ms
        self.fault = fault
        self.flows = flows
        self.lifetime_ms = lifetime_ms


class Target:
    r"""A target with its slots, waiting requests and past reports."""

    __slots__ = (
        'number', 'slots', 'connections', 'service_ms', 'flows',
        'in_flight', 'waiting', 'latencies', 'reports', 'busy_ms')

    def __init__(self, number, speed):
        self.number = number
        self.slots = SLOTS
        self.connections = 1 << 20
        self.service_ms = FAST_SERVICE_MS / speed
        self.flows = 0
        self.in_flight = 0
        self.waiting = 0
        self.latencies = collections.deque(maxlen=LATENCY_SAMPLES)
        self.reports = collections.deque()
        self.busy_ms = 0.0

    def load(self):
        r"""Return the present load."""
        latency_ms = 0.0
        if self.latencies:
            latency_ms = statistics.median(self.latencies)
        return packet.Load(
            self.slots, self.in_flight, self.waiting, self.flows, latency_ms)


class Model:
    r"""State of one run; ``samples`` holds the utilisation by target."""

    __slots__ = (
        'scenario', 'random', 'events', 'sequence', 'targets', 'selectors',
        'flow_interval_ms', 'request_interval_ms', 'samples', 'refused',
        'warm_up_ms', 'handler_by_kind')

    def __init__(self, scenario, selector_name, seed, warm_up_ms):
        self.scenario = scenario
        self.random = random.Random(seed)
        self.events = []
        self.sequence = 0
        self.targets = [
            Target(number, speed)
            for number, speed in enumerate(scenario.speeds)]
        self.selectors = [
            selectors.make_selector(
                selector_name, random.Random(seed * 1000 + number))
            for number in range(scenario.balancers)]
        rate_per_ms = MEAN_UTILISATION * SLOTS * sum(
            scenario.speeds) / FAST_SERVICE_MS
        self.flow_interval_ms = scenario.lifetime_ms / scenario.flows
        self.request_interval_ms = scenario.flows / rate_per_ms
        self.samples = []
        self.refused = 0
        self.warm_up_ms = warm_up_ms
        self.handler_by_kind = (
            self._arrive, self._leave, self._request, self._done,
            self._answered, self._report, self._sample)

    def run(self, end_ms):
        r"""Run the simulation until ``end_ms``."""
        self._schedule(0, ARRIVE, None)
        self._schedule(0, REPORT, None)
        self._schedule(self.warm_up_ms, SAMPLE, None)
        while self.events[0][0] <= end_ms:
            now, _, kind, data = heapq.heappop(self.events)
            self.handler_by_kind[kind](now, data)

    def _schedule(self, at, kind, data):
        self.sequence += 1
        heapq.heappush(self.events, (at, self.sequence, kind, data))

    def _arrive(self, now, _):
        self._schedule(
            now + self.random.expovariate(1 / self.flow_interval_ms),
            ARRIVE, None)
        selector = self.random.choice(self.selectors)
        candidates = self.targets
        if self.scenario.fault == 'joins' and now < self.warm_up_ms:
            candidates = self.targets[1:]
        number = selector.select(candidates, int(now))
        if number is None:
            self.refused += 1
            return
        selector.sent(number, int(now))
        target = self.targets[number]
        target.flows += 1
        end = now + self.random.expovariate(1 / self.scenario.lifetime_ms)
        self._schedule(end, LEAVE, target)
        self._schedule(
            now + OPEN_ANSWER_DELAY_MS, ANSWERED, (selector, target))
        self._next_request(now, target, end)

    def _next_request(self, now, target, end):
        at = now + self.random.expovariate(1 / self.request_interval_ms)
        if at < end:
            self._schedule(at, REQUEST, (target, end))

    def _leave(self, now, target):
        target.flows -= 1

    def _request(self, now, data):
        target, end = data
        self._next_request(now, target, end)
        if target.in_flight < target.slots:
            self._serve(now, target)
        else:
            target.waiting += 1

    def _serve(self, now, target):
        target.in_flight += 1
        service_ms = target.service_ms * self.random.uniform(0.5, 1.5)
        self._schedule(now + service_ms, DONE, (target, service_ms))

    def _done(self, now, data):
        target, service_ms = data
        target.in_flight -= 1
        target.latencies.append(service_ms)
        if now >= self.warm_up_ms:
            target.busy_ms += service_ms
        if target.waiting:
            target.waiting -= 1
            self._serve(now, target)

    def _answered(self, now, data):
        selector, target = data
        selector.accepted(target.number, self._reported_load(target), int(now))

    def _reported_load(self, target):
        if target.number == 0 and self.scenario.fault == 'lying':
            load = target.load()
            return load.replace(flows=0, latency_ms=load.latency_ms / 4)
        if self.scenario.delay_ms and target.reports:
            return target.reports[0]
        return target.load()

    def _report(self, now, _):
        self._schedule(now + REPORT_PERIOD_MS, REPORT, None)
        freeze_ms = FREEZE_MS_BY_FAULT.get(
            self.scenario.fault, math.inf)
        max_reports = 1 + self.scenario.delay_ms // REPORT_PERIOD_MS
        for target in self.targets:
            if target.number == 0 and now >= freeze_ms:
                continue
            target.reports.append(target.load())
            if len(target.reports) > max_reports:
                target.reports.popleft()

    def _sample(self, now, _):
        self._schedule(now + SAMPLE_PERIOD_MS, SAMPLE, None)
        self.samples.append([
            target.flows * target.service_ms / target.slots
            / self.request_interval_ms
            for target in self.targets])
