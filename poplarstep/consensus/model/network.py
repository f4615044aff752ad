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
    ``loss``, ``copy`` (duplication) and ``late`` (a delay of up to
    ``late_ms``) are probabilities.
    """

    __slots__ = ('random', 'cut', 'loss', 'copy', 'late', 'late_ms')

    def __init__(self, generator):
        self.random = generator
        self.cut = set()
        self.calm()

    def calm(self):
        r"""Remove all faults."""
        self.cut.clear()
        self.loss = 0.0
        self.copy = 0.0
        self.late = 0.0
        self.late_ms = 0

    def delays(self, sender, receiver):
        r"""Return the delay in ms of each copy of a message that arrives."""
        if (sender, receiver) in self.cut:
            return []
        copies = 2 if self.random.random() < self.copy else 1
        return [
            self.delay() for _ in range(copies)
            if self.random.random() >= self.loss]

    def delay(self):
        if self.random.random() < self.late:
            return self.random.randint(1, self.late_ms)
        return self.random.randint(1, 3)
