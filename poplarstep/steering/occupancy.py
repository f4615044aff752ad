r"""Work at one target, as an agent sees it from the packets.

Explanation
===========

A flow occupies the target from the moment at which its opening packet is
handed over, because its request follows, until the target sends data, which
ends the work on the request. A request that finds all slots busy waits in
the target's own queue; its work counts from the moment at which an earlier
one ends. Without that, a slow target that is always busy would never show
its service time, and balancers would go on taking it for an average one.
"""

from poplarstep.core import histogram
from poplarstep.steering import message

SERVICE_WEIGHT = 0.1
# A caller sends its request a round trip after the target's answer. One that
# has given up sends none; its place is free again soon.
RESERVED_MS = 100


class Occupancy:
    r"""Flows that occupy the target, by key.

    ``since_by_flow`` holds when the work began, or None while the request
    is awaited; ``reserved_by_flow`` when the place was taken; ``queued``
    the flows whose requests wait for a slot, in their order;
    ``request_ms`` the times that the target worked on requests.
    """

    __slots__ = (
        'since_by_flow', 'reserved_by_flow', 'service_us', 'queued',
        'request_ms')

    def __init__(self):
        self.since_by_flow = {}
        self.reserved_by_flow = {}
        self.service_us = 0
        self.queued = {}
        self.request_ms = histogram.Histogram()

    def count(self):
        r"""Return the number of flows that occupy the target."""
        return len(self.since_by_flow)

    def reserve(self, flow, now):
        r"""Take a place for a flow whose request will follow."""
        self.since_by_flow.setdefault(flow, None)
        self.reserved_by_flow[flow] = now

    def begin(self, flow, slots, now):
        r"""Note that a request of the flow reached the target."""
        if self.since_by_flow.get(flow) is not None:
            return
        working = sum(
            since is not None for since in self.since_by_flow.values())
        if working - len(self.queued) >= slots:
            self.queued[flow] = None
        self.since_by_flow[flow] = now
        self.reserved_by_flow[flow] = now

    def end(self, flow, now, answered):
        r"""Give the place of a flow free; return whether it had one."""
        if flow not in self.since_by_flow:
            return False
        since = self.since_by_flow.pop(flow)
        del self.reserved_by_flow[flow]
        if flow in self.queued:
            del self.queued[flow]
            return True
        if since is not None and self.queued:
            following = next(iter(self.queued))
            del self.queued[following]
            self.since_by_flow[following] = now
        if answered and since is not None:
            self.request_ms.observe(now - since)
            self._learn((now - since) * 1000)
        return True

    def expire(self, now, limit_ms):
        r"""End the places of flows from which nothing more came.

        Returns whether any place became free.
        """
        expired = []
        for flow, reserved in self.reserved_by_flow.items():
            waits = self.since_by_flow[flow] is None
            if now - reserved > (RESERVED_MS if waits else limit_ms):
                expired.append(flow)
        for flow in expired:
            self.end(flow, now, answered=False)
        return bool(expired)

    def clear(self):
        r"""Forget all flows; the target has restarted."""
        self.since_by_flow.clear()
        self.reserved_by_flow.clear()
        self.queued.clear()

    def load(self, waiting, slots):
        r"""Return the ``Load`` that answers report."""
        return message.Load(
            self.count() + waiting, slots, int(self.service_us))

    def _learn(self, sample_us):
        if not self.service_us:
            self.service_us = float(sample_us)
        self.service_us += SERVICE_WEIGHT * (sample_us - self.service_us)
