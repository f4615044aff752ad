r"""Estimates the requests at a target from the packets that pass its agent.

Explanation
===========

A flow occupies the target from the time at which its opening packet is
forwarded, because its request follows, until the target sends data, which is
the answer. A request that arrives while all slots are busy waits in the
target's own queue; its service time is measured from the end of an earlier
request. Otherwise the service time of a slow target that is always busy
would not be measured, and balancers would assume an average one.
"""

from poplarstep.core import histogram
from poplarstep.opaque_flows import message

# Weight of a new sample in the mean service time.
SERVICE_TIME_WEIGHT = 0.1
# A slot is reserved for a flow until its request arrives, a round trip after
# the target has answered the opening packet. A caller that has given up sends
# no request, so the reservation expires.
RESERVATION_TIMEOUT_MS = 100


class Occupancy:
    r"""Flows that occupy the target, by key; times in ms.

    Parameters
    ==========

    started_at_by_flow : dict
        When the request reached the target or, for a request that was
        queued there, when a slot became free; None before the request.
    updated_at_by_flow : dict
        When the flow was added or, later, when its request arrived.
    service_us : float
        Mean service time in microseconds; 0 before the first sample.
    queued : dict
        Flows whose requests wait in the target's queue, in order of arrival;
        the values are unused.
    request_ms : Histogram
        Service times of answered requests.
    """

    __slots__ = (
        'started_at_by_flow', 'updated_at_by_flow', 'service_us', 'queued',
        'request_ms')

    def __init__(self):
        self.started_at_by_flow = {}
        self.updated_at_by_flow = {}
        self.service_us = 0
        self.queued = {}
        self.request_ms = histogram.Histogram()

    def count(self):
        r"""Return the number of flows that occupy the target."""
        return len(self.started_at_by_flow)

    def running(self):
        r"""Return the number of requests that the target runs."""
        return sum(
            started_at is not None
            for started_at in self.started_at_by_flow.values()
        ) - len(self.queued)

    def reserve(self, flow, now):
        r"""Add a flow whose request will follow."""
        self.started_at_by_flow.setdefault(flow, None)
        self.updated_at_by_flow[flow] = now

    def start_request(self, flow, slots, now):
        r"""Record that a request of the flow reached the target."""
        if self.started_at_by_flow.get(flow) is not None:
            return
        if self.running() >= slots:
            self.queued[flow] = None
        self.started_at_by_flow[flow] = now
        self.updated_at_by_flow[flow] = now

    def release(self, flow, now, answered):
        r"""Remove a flow; return whether it occupied the target.

        Only an answered request is a sample of the service time.
        """
        if flow not in self.started_at_by_flow:
            return False
        started_at = self.started_at_by_flow.pop(flow)
        del self.updated_at_by_flow[flow]
        if flow in self.queued:
            del self.queued[flow]
            return True
        if started_at is not None and self.queued:
            next_flow = next(iter(self.queued))
            del self.queued[next_flow]
            self.started_at_by_flow[next_flow] = now
        if answered and started_at is not None:
            self.request_ms.observe(now - started_at)
            self._update_service_time((now - started_at) * 1000)
        return True

    def release_reservation(self, flow):
        r"""Remove a flow without a request; return whether it was one."""
        if self.started_at_by_flow.get(flow, 0) is not None:
            return False
        del self.started_at_by_flow[flow]
        del self.updated_at_by_flow[flow]
        return True

    def expire(self, now, request_timeout_ms):
        r"""Remove flows without a request or an answer in time.

        Returns whether any flow was removed.
        """
        expired = []
        for flow, updated_at in self.updated_at_by_flow.items():
            awaited = self.started_at_by_flow[flow] is None
            if now - updated_at > (
                    RESERVATION_TIMEOUT_MS if awaited
                    else request_timeout_ms):
                expired.append(flow)
        for flow in expired:
            self.release(flow, now, answered=False)
        return bool(expired)

    def clear(self):
        r"""Remove all flows; the target has restarted."""
        self.started_at_by_flow.clear()
        self.updated_at_by_flow.clear()
        self.queued.clear()

    def load(self, queue_length, slots):
        r"""Return the ``Load`` that answers report."""
        return message.Load(
            self.count() + queue_length, slots, int(self.service_us))

    def _update_service_time(self, sample_us):
        if not self.service_us:
            self.service_us = float(sample_us)
        self.service_us += SERVICE_TIME_WEIGHT * (sample_us - self.service_us)
