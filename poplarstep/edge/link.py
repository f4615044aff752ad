r"""Control messages between the project's own processes, over pynng.

Explanation
===========

Each process has one pull socket, its inbox, and one push socket for each
inbox that it sends to. Push and pull sockets do not guarantee delivery, so
the stages above retransmit important messages. A blocking pynng call would
block the gevent hub; the tasks wait for the sockets' file descriptors
instead.

An established connection can lose everything, in one direction or both,
while new connections work. Therefore the messages to a peer are numbered,
and every message from the peer acknowledges the latest number that it has
received. A push socket whose messages stay unacknowledged is closed and
dialled again.
"""

import gevent
from gevent import queue
from gevent import socket as gevent_socket
import pynng
from returns import result

from poplarstep.core import address
from poplarstep.core import effect
from poplarstep.core import record
from poplarstep.edge import clock
from poplarstep.edge import codec

OUTBOX_MESSAGES = 256
# Encoded messages in one outbox. It holds two of the greatest size.
OUTBOX_BYTES = 2 * codec.MAXIMUM_MESSAGE_BYTES
BATCH_MESSAGES = 64
# Upper bound of the encoded size of an envelope without its body.
ENVELOPE_BYTES = 512
MAXIMUM_BODY_BYTES = codec.MAXIMUM_MESSAGE_BYTES - ENVELOPE_BYTES
# Maximum number of links, and of sources whose message numbers are stored.
# Without this limit a host that forges source addresses could exhaust the
# memory.
MAXIMUM_PEERS = 4096
# A push socket without messages for this long is closed. Polls and
# heartbeats are sent at least every second, so only the link to a process
# that no longer polls becomes idle.
IDLE_MS = 15_000
# A link is dialled again when its messages stay unacknowledged for this
# long. The time doubles at each further dial up to the maximum, so that a
# link that recovers still delivers a configuration within 4 s.
ACK_TIMEOUT_MS = 2000
MAXIMUM_ACK_TIMEOUT_MS = 4000
# Bounds of the delay between pynng's own attempts to connect.
RECONNECT_MS = 100
MAXIMUM_RECONNECT_MS = 800


class Envelope(record.Record):
    r"""A control message with the address of the sender's inbox.

    Parameters
    ==========

    number : int
        Sequence number of the message on the sender's link to this inbox,
        from 1.
    acknowledged : int
        Number of the latest message that the sender has received from the
        process that this envelope goes to.
    """

    __slots__ = ('cluster', 'source', 'body', 'number', 'acknowledged')

    def __init__(
            self, cluster: str, source: address.Address, body: bytes,
            number: int, acknowledged: int):
        self.number = number
        self.acknowledged = acknowledged
        self.cluster = cluster
        self.source = source
        self.body = body


class LinkCounters:
    r"""Counts of one process's control links."""

    __slots__ = (
        'received', 'received_bytes', 'sent', 'sent_bytes', 'malformed',
        'dropped_outbox', 'redialled', 'wrong_cluster', 'failed_links',
        'refused_peers', 'dialled', 'closed_idle', 'refused_large')

    def __init__(self):
        for name in self.__slots__:
            setattr(self, name, 0)


class Peer:
    r"""Push socket to one inbox with its bounded outbox.

    Parameters
    ==========

    queued_bytes : int
        Size of the messages in the outbox.
    sent_number : int
        Number of the latest message that was sent.
    unacknowledged_since : int or None
        Time in ms since which messages wait for an acknowledgement; None if
        all are acknowledged.
    acknowledged_number : int
        Number of the latest message that the peer is known to have
        received.
    dialled_at : int
        Time in ms of the latest dial.
    ack_timeout_ms : int
        Time without a new acknowledgement after which the link is dialled
        again.
    """

    __slots__ = (
        'address', 'outbox', 'queued_bytes', 'greenlet', 'sent_number',
        'unacknowledged_since', 'acknowledged_number', 'dialled_at',
        'ack_timeout_ms')

    def __init__(self, peer_address, now):
        self.address = peer_address
        self.outbox = queue.Queue(maxsize=OUTBOX_MESSAGES)
        self.queued_bytes = 0
        self.greenlet = None
        self.sent_number = 0
        self.unacknowledged_since = None
        self.acknowledged_number = 0
        self.dialled_at = now
        self.ack_timeout_ms = ACK_TIMEOUT_MS

    def put(self, body):
        r"""Add a message to the outbox; return whether there was room."""
        if self.queued_bytes + len(body) > OUTBOX_BYTES:
            return False
        try:
            self.outbox.put_nowait(body)
        except queue.Full:
            return False
        self.queued_bytes += len(body)
        return True

    def get(self, timeout_s=None):
        r"""Remove the oldest message; raise ``queue.Empty`` without one."""
        body = self.outbox.get(block=timeout_s is not None, timeout=timeout_s)
        self.queued_bytes -= len(body)
        return body


class Links:
    r"""Inbox and outgoing links of one process.

    Parameters
    ==========

    advertised : Address
        Address at which other processes reach the inbox.
    message_codec : Codec
        Encodes and decodes the bodies of envelopes.
    cluster : str
        Name of the cluster; messages of other clusters are dropped.
    """

    __slots__ = (
        'advertised', 'codec', 'envelope_codec', 'cluster', 'inbox',
        'peer_by_address', 'counters', 'received_number_by_source')

    def __init__(self, advertised, message_codec, cluster, inbox):
        self.advertised = advertised
        self.codec = message_codec
        self.envelope_codec = codec.Codec([Envelope])
        self.cluster = cluster
        self.inbox = inbox
        self.peer_by_address = {}
        self.received_number_by_source = {}
        self.counters = LinkCounters()

    def send(self, item):
        r"""Carry out ``SendControl``; drop it if the outbox is full."""
        peer = self.peer_by_address.get(item.destination)
        if peer is None and len(self.peer_by_address) >= MAXIMUM_PEERS:
            self.counters.refused_peers += 1
            return
        if peer is None:
            peer = Peer(item.destination, clock.now_ms())
            self.peer_by_address[item.destination] = peer
            peer.greenlet = gevent.spawn(self._write_loop, peer)
        body = self.codec.encode(item.message)
        if len(body) > MAXIMUM_BODY_BYTES:
            # The receiver would close the connection and lose the messages
            # that are queued on it.
            self.counters.refused_large += 1
            return
        if not peer.put(body):
            self.counters.dropped_outbox += 1

    def read_loop(self, deliver):
        r"""Deliver lists of ``Received`` until the inbox closes."""
        while True:
            gevent_socket.wait_read(self.inbox.recv_fd)
            batch = self._drain()
            if batch:
                deliver(batch)

    def close(self):
        r"""Close the inbox and all links."""
        for peer in list(self.peer_by_address.values()):
            peer.greenlet.kill()
        self.inbox.close()

    def _drain(self):
        batch = []
        for _ in range(BATCH_MESSAGES):
            try:
                data = self.inbox.recv(block=False)
            except pynng.TryAgain:
                break
            except RuntimeError:
                # pynng 0.9.0 raises this for an empty message.
                data = b''
            self.counters.received += 1
            self.counters.received_bytes += len(data)
            received = self._open_envelope(data)
            if received is not None:
                batch.append(received)
        return batch

    def _open_envelope(self, data):
        envelope = self.envelope_codec.decode(data)
        if isinstance(envelope, result.Failure):
            self.counters.malformed += 1
            return None
        envelope = envelope.unwrap()
        if envelope.cluster != self.cluster:
            self.counters.wrong_cluster += 1
            return None
        body = self.codec.decode(envelope.body)
        if isinstance(body, result.Failure):
            self.counters.malformed += 1
            return None
        self._record_numbers(envelope)
        return effect.Received(envelope.source, body.unwrap())

    def _record_numbers(self, envelope):
        r"""Store the number of a received message and its acknowledgement."""
        numbers = self.received_number_by_source
        if envelope.source not in numbers and len(numbers) >= MAXIMUM_PEERS:
            del numbers[next(iter(numbers))]
        numbers[envelope.source] = envelope.number
        peer = self.peer_by_address.get(envelope.source)
        if peer is None or peer.unacknowledged_since is None:
            return
        if envelope.acknowledged == peer.sent_number:
            peer.unacknowledged_since = None
            peer.ack_timeout_ms = ACK_TIMEOUT_MS
        elif envelope.acknowledged > peer.acknowledged_number:
            # A part of the messages in flight has arrived.
            peer.acknowledged_number = envelope.acknowledged
            peer.unacknowledged_since = clock.now_ms()
            peer.ack_timeout_ms = ACK_TIMEOUT_MS

    def _write_loop(self, peer):
        socket = None
        try:
            while True:
                try:
                    body = peer.get(IDLE_MS / clock.MILLISECONDS_PER_SECOND)
                except queue.Empty:
                    self.counters.closed_idle += 1
                    break
                if socket is not None and _is_silent(peer):
                    socket.close()
                    socket = None
                    peer.ack_timeout_ms = min(
                        MAXIMUM_ACK_TIMEOUT_MS, 2 * peer.ack_timeout_ms)
                    self.counters.redialled += 1
                if socket is None:
                    socket = _dial(peer)
                    self.counters.dialled += 1
                self._push(peer, socket, body)
        except pynng.NNGException:
            # The next message to the same inbox opens a new link.
            self.counters.failed_links += 1
        finally:
            if self.peer_by_address.get(peer.address) is peer:
                del self.peer_by_address[peer.address]
            if socket is not None:
                socket.close()

    def _push(self, peer, socket, body):
        if peer.unacknowledged_since is None:
            peer.unacknowledged_since = clock.now_ms()
            peer.acknowledged_number = peer.sent_number
        data = self.envelope_codec.encode(Envelope(
            self.cluster, self.advertised, body, peer.sent_number + 1,
            self.received_number_by_source.get(peer.address, 0)))
        try:
            # pynng makes the descriptor readable when a message can be
            # sent.
            gevent_socket.wait_read(
                socket.send_fd,
                timeout=ACK_TIMEOUT_MS / clock.MILLISECONDS_PER_SECOND)
            socket.send(data, block=False)
            peer.sent_number += 1
            self.counters.sent += 1
            self.counters.sent_bytes += len(data)
        except (pynng.TryAgain, gevent_socket.timeout, TimeoutError):
            # The queued messages have waited as long and are outdated too.
            self.counters.dropped_outbox += 1 + peer.outbox.qsize()
            while not peer.outbox.empty():
                peer.get()


def _is_silent(peer):
    if peer.unacknowledged_since is None:
        return False
    since = max(peer.unacknowledged_since, peer.dialled_at)
    return clock.now_ms() - since > peer.ack_timeout_ms


def _dial(peer):
    now = clock.now_ms()
    peer.dialled_at = now
    return pynng.Push0(
        dial='tcp://%s' % peer.address,
        block_on_dial=False,
        reconnect_time_min=RECONNECT_MS,
        reconnect_time_max=MAXIMUM_RECONNECT_MS,
    )


def open_links(bound, message_codec, cluster, advertised=None):
    r"""Return ``Success(Links)`` or ``Failure(message)``.

    Parameters
    ==========

    advertised : Address or None
        Address at which other processes reach the inbox, if it differs
        from ``bound``, on which the inbox listens.
    """
    try:
        inbox = pynng.Pull0(
            listen='tcp://%s' % bound,
            recv_max_size=codec.MAXIMUM_MESSAGE_BYTES)
    except pynng.NNGException as error:
        return result.Failure(
            'cannot listen on control address %s: %s' % (bound, error))
    return result.Success(
        Links(advertised or bound, message_codec, cluster, inbox))
