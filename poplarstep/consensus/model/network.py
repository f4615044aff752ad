r"""Simulated network: cuts in one direction, loss, copies and delay."""

from poplarstep.core import record


class Delivery(record.Record):
    r"""Message on its way; ``disk`` is the true disk of the sender."""

    __slots__ = ('sender', 'receiver', 'disk', 'message')

    def __init__(self, sender, receiver, disk, message):
        self.sender = sender
        self.receiver = receiver
        self.disk = disk
        self.message = message


class Network:
    r"""Rules for messages between hosts.

    ``cut`` holds (sender, receiver) pairs; ``loss`` and ``copy`` are
    probabilities; delays are in ms.
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
        r"""Return the delay in ms of each copy that arrives."""
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
