r"""TCP proxy in front of one inbox, with faults that are switched on.

Explanation
===========

All control messages to a node pass its proxy, because the node advertises
the proxy's address. The fault in force is looked up for each chunk, so it
also changes for connections that are open.
"""

import gevent
from gevent import server
from gevent import socket

from poplarstep.core import registry

CHUNK_BYTES = 65_536
DELAY_S = 0.3
RECHECK_S = 0.02

# Functions ``(proxy, connection, inbound, data)`` that return the data to
# pass on, or None; ``inbound`` tells the direction of the node.
LINK_FAULTS = registry.Registry('link fault')


class Connection:
    r"""The two sockets of a proxied connection.

    ``muted`` marks a connection that was open when silence began.
    """

    __slots__ = ('near', 'far', 'muted')

    def __init__(self, near, far):
        self.near = near
        self.far = far
        self.muted = False

    def close(self):
        r"""Close both sides."""
        for end in (self.near, self.far):
            end.close()


class Proxy:
    r"""Listens at one address and passes on to another."""

    __slots__ = ('place', 'behind', 'fault', 'connections', 'server')

    def __init__(self, place, behind):
        self.place = place
        self.behind = behind
        self.fault = ''
        self.connections = set()
        self.server = server.StreamServer(
            (place.ip, place.port), self._accept)

    def start(self):
        r"""Start listening."""
        self.server.start()

    def stop(self):
        r"""Stop listening and cut what is open."""
        self.server.stop()
        self.reset()

    def set_fault(self, name):
        r"""Put a fault in force, or none for an empty name."""
        self.fault = name
        if name == 'reset':
            self.reset()
        for connection in self.connections:
            connection.muted = connection.muted or name == 'silence'

    def reset(self):
        r"""Cut all connections."""
        for connection in list(self.connections):
            connection.close()

    def _accept(self, near, source):
        try:
            far = socket.create_connection(
                (self.behind.ip, self.behind.port), timeout=2)
        except OSError:
            # The node is down; its peer sees a closed connection.
            near.close()
            return
        far.settimeout(None)
        connection = Connection(near, far)
        self.connections.add(connection)
        try:
            gevent.joinall([
                gevent.spawn(self._copy, connection, near, far, True),
                gevent.spawn(self._copy, connection, far, near, False),
            ], count=1)
        finally:
            self.connections.discard(connection)
            connection.close()

    def _copy(self, connection, source, destination, inbound):
        try:
            while True:
                data = source.recv(CHUNK_BYTES)
                if not data:
                    return
                while connection.muted:
                    gevent.sleep(RECHECK_S)
                fault = LINK_FAULTS.entry_by_name.get(self.fault)
                if fault is not None:
                    data = fault(self, inbound, data)
                if data:
                    destination.sendall(data)
        except OSError:
            # One side is gone; the other is closed by the caller.
            return


@LINK_FAULTS.register('delay')
def delay(proxy, inbound, data):
    r"""Hold each chunk back for a while."""
    gevent.sleep(DELAY_S)
    return data


@LINK_FAULTS.register('cut')
def cut(proxy, inbound, data):
    r"""Let nothing through to the node, as a one-way partition does.

    Bytes in the middle of a stream can't be dropped, so they wait.
    """
    while inbound and proxy.fault == 'cut':
        gevent.sleep(RECHECK_S)
    return data


@LINK_FAULTS.register('reset')
def reset(proxy, inbound, data):
    r"""Pass on; the connections were cut when the fault began."""
    return data


@LINK_FAULTS.register('silence')
def silence(proxy, inbound, data):
    r"""Pass on; only connections from before the fault are mute for good."""
    return data
