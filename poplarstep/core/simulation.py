r"""Simulation of whole nodes without sockets, on a seeded schedule.

Explanation
===========

The driver takes the place of the tasks of ``poplarstep.edge``. A node is a
pipeline, a timer queue, functions that carry out its effects, and a decoder
for each address that it owns, as in a real process. Time is simulated, so
that waiting takes no time, and the same seed gives the same run. Payloads
are passed as objects, without encoding.

A *paused* node neither receives nor processes messages while its clock
advances; arriving payloads wait undecoded. A *stalled* node receives and
decodes, but does not process its inbox. Both drop what exceeds
``INBOX_MESSAGES``.
"""

import collections
import heapq
import itertools
import random

from poplarstep.core import effect
from poplarstep.core import record

INBOX_MESSAGES = 4096


class Faults(record.Record):
    r"""Delay, loss and duplication of the network between two nodes.

    Parameters
    ==========

    minimum_ms, maximum_ms : int
        Bounds of the random one-way delay. Payloads are reordered unless
        the bounds are equal.
    loss, duplication : float
        Probabilities for each payload.
    """

    __slots__ = ('minimum_ms', 'maximum_ms', 'loss', 'duplication')

    def __init__(self, minimum_ms=1, maximum_ms=1, loss=0.0, duplication=0.0):
        self.minimum_ms = minimum_ms
        self.maximum_ms = maximum_ms
        self.loss = loss
        self.duplication = duplication


class Node:
    r"""One simulated node.

    Parameters
    ==========

    decoder_by_address : dict
        For each own address a function ``(source, payload, now)`` that
        returns the message for the pipeline.
    performer_by_type : dict
        For each type of effect a function ``(node, item)`` that carries it
        out; the messages that it returns enter the pipeline again.
    offset_ms : int
        Milliseconds by which the node's clock is ahead of the driver's.
    """

    __slots__ = (
        'name', 'decoder_by_address', 'pipeline', 'timers',
        'performer_by_type', 'offset_ms', 'alive', 'paused', 'stalled',
        'undecoded', 'inbox', 'wake_at', 'dropped')

    def __init__(
            self, name, decoder_by_address, pipeline, timers,
            performer_by_type, offset_ms=0):
        self.name = name
        self.decoder_by_address = decoder_by_address
        self.pipeline = pipeline
        self.timers = timers
        timers.attach(pipeline.due_by_tick())
        self.performer_by_type = {
            effect.Requeue: lambda node, item: [item.message],
            **performer_by_type,
        }
        self.offset_ms = offset_ms
        self.alive = True
        self.paused = False
        self.stalled = False
        self.undecoded = collections.deque()
        self.inbox = collections.deque()
        self.wake_at = None
        self.dropped = 0

    def ready(self):
        r"""Return whether the node processes messages."""
        return self.alive and not self.paused and not self.stalled


class Driver:
    r"""Clock, network and nodes of one simulated system.

    ``faults_by_pair`` maps pairs of node names, source first, to the
    ``Faults`` between them; ``faults`` are those of all other pairs.

    Examples
    ========

    A balancer without a confirmed configuration refuses an ``Open``:

    >>> import random
    >>> from poplarstep.configuration import catalogue
    >>> from poplarstep.core import address, stage, timer
    >>> from poplarstep.flow import packet
    >>> from poplarstep.routing import gate, opening
    >>> from poplarstep.routing import state as states
    >>> front = address.Address('10.0.0.1', 1)
    >>> caller = address.Address('10.0.0.9', 9)
    >>> path = packet.ReturnPath(caller, caller, front)
    >>> balancer = states.make_balancer_state(
    ...     catalogue.Catalogue(), lambda now: False, None, None, None)
    >>> driver = make_driver(seed=1)
    >>> node = driver.add(Node(
    ...     'b1', {front: lambda source, body, now: packet.Ingress(
    ...         path, body, now)},
    ...     stage.Pipeline([
    ...         (gate.GATE, balancer), (opening.SELECT, balancer)]),
    ...     timer.TimerQueue(), {packet.Egress: lambda node, item: (
    ...         driver.send(front, caller, item.packet))}))
    >>> received = []
    >>> node = driver.add(Node(
    ...     'caller', {caller: lambda source, body, now: body},
    ...     stage.Pipeline([]), timer.TimerQueue(), {
    ...         packet.Refused: lambda node, item: received.append(
    ...             (driver.now, item.reason))}))
    >>> driver.send(caller, front, packet.Open(7))
    >>> driver.run(until=10)
    >>> received
    [(2, 'balancer-unconfirmed')]

    """

    __slots__ = (
        'now', 'random', 'faults', 'faults_by_pair', 'node_by_name',
        'name_by_address', 'cuts', 'events', 'order', 'sent', 'lost',
        'duplicated', 'unhandled')

    def __init__(self, generator, faults):
        self.now = 0
        self.random = generator
        self.faults = faults
        self.faults_by_pair = {}
        self.node_by_name = {}
        self.name_by_address = {}
        self.cuts = set()
        self.events = []
        self.order = itertools.count()
        self.sent = 0
        self.lost = 0
        self.duplicated = 0
        self.unhandled = 0

    def add(self, node):
        r"""Start a node; kill a running node of the same name first."""
        self.kill(node.name)
        self.node_by_name[node.name] = node
        for owned in node.decoder_by_address:
            self.name_by_address[owned] = node.name
        self._schedule_wake(node)
        return node

    def kill(self, name):
        r"""End a node; its state and waiting messages are lost."""
        node = self.node_by_name.pop(name, None)
        if node is not None:
            node.alive = False
            for owned in node.decoder_by_address:
                del self.name_by_address[owned]

    def pause(self, name):
        r"""Suspend a node's process; its clock advances."""
        self.node_by_name[name].paused = True

    def stall(self, name):
        r"""Stop a node's task, but not the reading from its sockets."""
        self.node_by_name[name].stalled = True

    def resume(self, name):
        r"""End a pause or a stall, and process what has arrived meanwhile."""
        node = self.node_by_name[name]
        node.paused = node.stalled = False
        while node.undecoded:
            self._decode(node, *node.undecoded.popleft())
        while node.inbox:
            self._process(node, node.inbox.popleft())
        self._wake(node)

    def cut(self, source_name, destination_name):
        r"""Drop everything that one node sends to another."""
        self.cuts.add((source_name, destination_name))

    def heal(self):
        r"""Remove all cuts."""
        self.cuts.clear()

    def send(self, source, destination, payload):
        r"""Send a payload from one address to another."""
        pair = (
            self.name_by_address.get(source),
            self.name_by_address.get(destination))
        faults = self.faults_by_pair.get(pair, self.faults)
        self.sent += 1
        if pair in self.cuts or self.random.random() < faults.loss:
            self.lost += 1
            return
        copies = 1
        if self.random.random() < faults.duplication:
            self.duplicated += 1
            copies = 2
        for _ in range(copies):
            delay = self.random.randint(faults.minimum_ms, faults.maximum_ms)
            self.at(self.now + delay, lambda: self._deliver(
                source, destination, payload))

    def post(self, name, message):
        r"""Put a message into a node's inbox; drop it if the node is dead."""
        node = self.node_by_name.get(name)
        if node is not None:
            self._accept(node, message)

    def at(self, time, action):
        r"""Call a function at a time of the driver's clock, in ms."""
        heapq.heappush(
            self.events, (max(time, self.now), next(self.order), action))

    def run(self, until):
        r"""Advance the clock to a time in ms and call what is due."""
        while self.events and self.events[0][0] <= until:
            self.now, _, action = heapq.heappop(self.events)
            action()
        self.now = max(self.now, until)

    def _deliver(self, source, destination, payload):
        node = self.node_by_name.get(self.name_by_address.get(destination))
        if node is None:
            self.lost += 1
        elif node.paused:
            self._enqueue(node, node.undecoded, (source, destination, payload))
        else:
            self._decode(node, source, destination, payload)

    def _decode(self, node, source, destination, payload):
        decoder = node.decoder_by_address[destination]
        message = decoder(source, payload, self.now + node.offset_ms)
        if message is not None:
            self._accept(node, message)

    def _accept(self, node, message):
        if node.ready():
            self._process(node, message)
            self._schedule_wake(node)
        else:
            self._enqueue(node, node.inbox, message)

    def _enqueue(self, node, queue, item):
        if len(queue) >= INBOX_MESSAGES:
            node.dropped += 1
        else:
            queue.append(item)

    def _process(self, node, message):
        r"""Process one message and all messages that result from it."""
        waiting = collections.deque([message])
        while waiting and node.alive:
            produced = node.pipeline.process(
                waiting.popleft(), self.now + node.offset_ms)
            for item in produced:
                outcome = self._perform(node, item)
                if type(outcome) is effect.Abort:
                    waiting.appendleft(outcome.message)
                    break
                waiting.extend(outcome)

    def _perform(self, node, item):
        performer = node.performer_by_type.get(type(item))
        if performer is None:
            self.unhandled += 1
            return ()
        return performer(node, item) or ()

    def _wake(self, node):
        node.wake_at = None
        if node.ready():
            for tick in node.timers.due(self.now + node.offset_ms):
                self._process(node, tick)
            self._schedule_wake(node)

    def _schedule_wake(self, node):
        deadline = node.timers.next_deadline(self.now + node.offset_ms)
        if deadline is None or not node.alive:
            return
        wake_at = max(self.now, deadline - node.offset_ms)
        if node.wake_at is None or wake_at < node.wake_at:
            node.wake_at = wake_at
            self.at(wake_at, lambda: self._wake_if_due(node, wake_at))

    def _wake_if_due(self, node, wake_at):
        if node.wake_at == wake_at:
            self._wake(node)


def make_driver(seed, faults=None) -> Driver:
    r"""Return a driver without nodes at time 0.

    Parameters
    ==========

    seed : int
        Source of all random choices: delay, loss and duplication.
    faults : Faults or None
        Faults between nodes that have no entry in ``faults_by_pair``; None
        stands for a delay of 1 ms without loss.
    """
    return Driver(random.Random(seed), faults or Faults())
