r"""Control messages between the project's own processes, over pynng.

Explanation
===========

Each process has one pull socket, its inbox, and one push socket for each
inbox that it sends to. Push and pull promise no delivery, so the stages
above repeat what matters. A blocking pynng call would stop the gevent hub;
the tasks wait on the sockets' file descriptors instead.

An established connection can go silent while new ones work, also in one
direction only. So messages to a peer are numbered, and whatever the peer
sends tells the last number that it got. A push socket whose messages have
not been seen for a while is closed and dialled again.
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
BATCH_MESSAGES = 64
# Room for the fields of an envelope around its body.
ENVELOPE_BYTES = 512
MAXIMUM_BODY_BYTES = codec.MAXIMUM_MESSAGE_BYTES - ENVELOPE_BYTES
# Links to inboxes that envelopes name; a host that invents sources must not
# take up memory without limit.
MAXIMUM_PEERS = 4096
# A push socket that nothing was sent on for this long is closed. Polls and
# heartbeats come at least every second; a dead subscriber gets no answers.
IDLE_MS = 15_000
# A dial is renewed when the peer has not told for this long that it saw what
# was sent to it; then after twice that, up to the maximum, which keeps a
# healed link within the 4 s of a configuration.
SILENT_MS = 2000
MAXIMUM_SILENT_MS = 4000
RECONNECT_MS = 100
MAXIMUM_RECONNECT_MS = 800


class Envelope(record.Record):
    r"""A control message with the sender's inbox, for the answer.

    Parameters
    ==========

    number : int
        Counts the messages of the sender's run to this inbox, from 1.
    seen : int
        Number of the latest message that the sender got from this inbox.
    """

    __slots__ = ('cluster', 'source', 'body', 'number', 'seen')

    def __init__(
            self, cluster: str, source: address.Address, body: bytes,
            number: int, seen: int):
        self.number = number
        self.seen = seen
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

    number : int
        Of the latest message that was sent.
    unseen_since : int or None
        When the oldest message was sent that the peer has not told to have
        seen, in ms.
    unseen_from : int
        Number of the latest message that the peer is known to have seen.
    """

    __slots__ = (
        'address', 'outbox', 'greenlet', 'number', 'unseen_since',
        'unseen_from', 'dialled_at', 'patience_ms')

    def __init__(self, peer_address, now):
        self.address = peer_address
        self.outbox = queue.Queue(maxsize=OUTBOX_MESSAGES)
        self.greenlet = None
        self.number = 0
        self.unseen_since = None
        self.unseen_from = 0
        self.dialled_at = now
        self.patience_ms = SILENT_MS


class Links:
    r"""Inbox and outgoing links of one process.

    Parameters
    ==========

    advertised : Address
        Where others reach the inbox.
    message_codec : Codec
        Encodes the messages of this process.
    cluster : str
        Messages of other clusters are dropped.
    """

    __slots__ = (
        'advertised', 'codec', 'envelopes', 'cluster', 'inbox',
        'peer_by_address', 'counters', 'number_by_source')

    def __init__(self, advertised, message_codec, cluster, inbox):
        self.advertised = advertised
        self.codec = message_codec
        self.envelopes = codec.Codec([Envelope])
        self.cluster = cluster
        self.inbox = inbox
        self.peer_by_address = {}
        self.number_by_source = {}
        self.counters = LinkCounters()

    def send(self, item):
        r"""Carry out ``SendControl``; drop the newest when full."""
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
            # The receiver would drop the connection, and all else on it.
            self.counters.refused_large += 1
            return
        try:
            peer.outbox.put_nowait(body)
        except queue.Full:
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
                # pynng 0.9.0 raises it for a message of no bytes.
                data = b''
            self.counters.received += 1
            self.counters.received_bytes += len(data)
            received = self._open_envelope(data)
            if received is not None:
                batch.append(received)
        return batch

    def _open_envelope(self, data):
        envelope = self.envelopes.decode(data)
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
        self._note_numbers(envelope)
        return effect.Received(envelope.source, body.unwrap())

    def _note_numbers(self, envelope):
        r"""Note what came from a peer and what it has seen."""
        numbers = self.number_by_source
        if envelope.source not in numbers and len(numbers) >= MAXIMUM_PEERS:
            del numbers[next(iter(numbers))]
        numbers[envelope.source] = envelope.number
        peer = self.peer_by_address.get(envelope.source)
        if peer is None or peer.unseen_since is None:
            return
        if envelope.seen == peer.number:
            peer.unseen_since = None
            peer.patience_ms = SILENT_MS
        elif envelope.seen > peer.unseen_from:
            # Some of what is on its way has arrived.
            peer.unseen_from = envelope.seen
            peer.unseen_since = clock.now_ms()
            peer.patience_ms = SILENT_MS

    def _write_loop(self, peer):
        socket = None
        try:
            while True:
                try:
                    body = peer.outbox.get(
                        timeout=IDLE_MS / clock.MILLISECONDS_PER_SECOND)
                except queue.Empty:
                    self.counters.closed_idle += 1
                    break
                if socket is not None and _is_silent(peer):
                    socket.close()
                    socket = None
                    peer.patience_ms = min(
                        MAXIMUM_SILENT_MS, 2 * peer.patience_ms)
                    self.counters.redialled += 1
                if socket is None:
                    socket = _dial(peer)
                    self.counters.dialled += 1
                self._push(peer, socket, body)
        except pynng.NNGException:
            # A later message to the same inbox makes a new link.
            self.counters.failed_links += 1
        finally:
            if self.peer_by_address.get(peer.address) is peer:
                del self.peer_by_address[peer.address]
            if socket is not None:
                socket.close()

    def _push(self, peer, socket, body):
        if peer.unseen_since is None:
            peer.unseen_since = clock.now_ms()
            peer.unseen_from = peer.number
        data = self.envelopes.encode(Envelope(
            self.cluster, self.advertised, body, peer.number + 1,
            self.number_by_source.get(peer.address, 0)))
        try:
            # The descriptor turns readable when a message can be sent.
            gevent_socket.wait_read(
                socket.send_fd,
                timeout=SILENT_MS / clock.MILLISECONDS_PER_SECOND)
            socket.send(data, block=False)
            peer.number += 1
            self.counters.sent += 1
            self.counters.sent_bytes += len(data)
        except (pynng.TryAgain, gevent_socket.timeout, TimeoutError):
            # What waits behind it is as old; only news is worth sending.
            self.counters.dropped_outbox += 1 + peer.outbox.qsize()
            while not peer.outbox.empty():
                peer.outbox.get_nowait()


def _is_silent(peer):
    if peer.unseen_since is None:
        return False
    since = max(peer.unseen_since, peer.dialled_at)
    return clock.now_ms() - since > peer.patience_ms


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
        Where others reach the inbox, if it is not where it listens.
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
