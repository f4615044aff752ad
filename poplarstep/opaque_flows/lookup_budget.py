r"""Budgets, in bytes, of the messages that look for unknown flows.

Explanation
===========

After a loss of all hosts every balancer looks for all of its flows at once.
The messages must leave room on the host's link for the packets of flows that
are known. Questions and packets for uncertain agents have a budget each: the
packets are larger, and would keep the questions from being asked.
"""

from poplarstep.limits import budget

# A third of the slowest link, 1.5 Mbit/s.
DEFAULT_RATE = 62_500
# Range of the setting, in bytes/s.
MINIMUM_RATE, MAXIMUM_RATE = 10_000, 100_000_000
# Upper bounds of encoded messages with the headers of UDP and IP (28 bytes);
# a test compares them with the codec.
QUERY_BYTES = 60
SURVEY_BYTES = 48
SURVEYED_FLOW_BYTES = 34
PACKET_HEADER_BYTES = 72


class LookupBudget:
    r"""Bytes that may be sent: a rate, and a burst of one second's worth.

    Examples
    ========

    >>> budget = LookupBudget(1000)
    >>> budget.try_take(2500, now=0), budget.try_take(1, now=1500)
    (True, False)
    >>> budget.try_take(1, now=1501)
    True

    """

    __slots__ = ('bucket', 'burst')

    def __init__(self, rate):
        self.burst = rate
        self.bucket = budget.make_token_bucket(rate, rate, now=0)

    def has(self, size, now, reserve=0):
        r"""Return whether ``size`` bytes may be sent.

        Messages that belong together may exceed the burst. They are sent when
        the budget is full, and the excess is made up afterwards.
        """
        bucket = self.bucket
        bucket.refill(now)
        return bucket.level_milli >= min(
            bucket.burst_milli,
            (size + reserve) * budget.MILLITOKENS_PER_TOKEN)

    def try_take(self, size, now, reserve=0):
        r"""Take ``size`` bytes unless fewer than ``reserve`` would be left."""
        if not self.has(size, now, reserve):
            return False
        self.bucket.level_milli -= size * budget.MILLITOKENS_PER_TOKEN
        return True


def survey_bytes(messages, flows):
    r"""Return the size of surveys with ``flows`` entries in total."""
    return messages * SURVEY_BYTES + flows * SURVEYED_FLOW_BYTES


def packet_bytes(packet, agents):
    r"""Return the size of a packet that is sent to several agents."""
    return agents * (PACKET_HEADER_BYTES + len(packet.datagram))
