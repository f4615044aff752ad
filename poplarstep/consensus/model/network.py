r"""Simulated network with one-way cuts, loss, duplication and delay."""

from poplarstep.core import record


class Delivery(record.Record):
    r"""Message in flight; ``disk`` is the disk that the sender has."""

    __slots__ = ('sender', 'receiver', 'disk', 'message')

    def __init__(self, sender, receiver, disk, message):
        self.sender = sender
        self.receiver = receiver
        self.disk = disk
        self.message = message


class Network:
    r"""Faults of the links between hosts.

    ``cut`` holds the (sender, receiver) pairs without a connection.
    ``loss``, ``duplication`` and ``long_delay`` (up to ``long_delay_ms``)
    are probabilities.
    """

    __slots__ = (
        'random', 'cut', 'loss', 'duplication', 'long_delay',
        'long_delay_ms')

    def __init__(self, generator):
        self.random = generator
        self.cut = set()
        self.heal()

    def heal(self):
        r"""Remove all faults."""
        self.cut.clear()
        self.loss = 0.0
        self.duplication = 0.0
        self.long_delay = 0.0
        self.long_delay_ms = 0

    def delays(self, sender, receiver):
        r"""Return the delay in ms of each copy of a message that arrives."""
        if (sender, receiver) in self.cut:
            return []
        copies = 2 if self.random.random() < self.duplication else 1
        return [
            self.delay() for _ in range(copies)
            if self.random.random() >= self.loss]

    def delay(self):
        if self.random.random() < self.long_delay:
            return self.random.randint(1, self.long_delay_ms)
        return self.random.randint(1, 3)
