r"""TCP proxy in front of a node's control address, with link faults.

Explanation
===========

All control messages to a node pass through its proxy, because the node
advertises the proxy's address. The fault in force is looked up for each
chunk, so a new fault also applies to open connections.
"""

import gevent
from gevent import server
from gevent import socket

from poplarstep.core import registry

CHUNK_BYTES = 65_536
DELAY_S = 0.3
FAULT_CHECK_PERIOD_S = 0.02

# Functions ``(proxy, inbound, data)`` that return the data to forward, if any;
# ``inbound`` is True for data on its way to the node.
LINK_FAULTS = registry.Registry('link fault')


class Connection:
    r"""The two sockets of a proxied connection.

    ``stalled`` is True for a connection that was open when the fault
    ``silence`` began: it forwards nothing from then on.
    """

    __slots__ = ('client_socket', 'node_socket', 'stalled')

    def __init__(self, client_socket, node_socket):
        self.client_socket = client_socket
        self.node_socket = node_socket
        self.stalled = False

    def close(self):
        r"""Close both sides."""
        for side in (self.client_socket, self.node_socket):
            side.close()


class Proxy:
    r"""Listens at ``address`` and forwards to ``node_address``.

    ``fault`` is the name of the link fault in force, or an empty string.
    """

    __slots__ = ('address', 'node_address', 'fault', 'connections', 'server')

    def __init__(self, address, node_address):
        self.address = address
        self.node_address = node_address
        self.fault = ''
        self.connections = set()
        self.server = server.StreamServer(
            (address.ip, address.port), self._accept)

    def start(self):
        r"""Start listening."""
        self.server.start()

    def stop(self):
        r"""Stop listening and close all connections."""
        self.server.stop()
        self.reset()

    def set_fault(self, name):
        r"""Start a fault; an empty name ends the fault in force."""
        self.fault = name
        if name == 'reset':
            self.reset()
        for connection in self.connections:
            connection.stalled = connection.stalled or name == 'silence'

    def reset(self):
        r"""Close all connections."""
        for connection in list(self.connections):
            connection.close()

    def _accept(self, client_socket, source):
        try:
            node_socket = socket.create_connection(
                (self.node_address.ip, self.node_address.port), timeout=2)
        except OSError:
            # The node is down; its client sees a closed connection.
            client_socket.close()
            return
        node_socket.settimeout(None)
        connection = Connection(client_socket, node_socket)
        self.connections.add(connection)
        try:
            gevent.joinall([
                gevent.spawn(
                    self._copy, connection, client_socket, node_socket, True),
                gevent.spawn(
                    self._copy, connection, node_socket, client_socket, False),
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
                while connection.stalled:
                    gevent.sleep(FAULT_CHECK_PERIOD_S)
                fault = LINK_FAULTS.entry_by_name.get(self.fault)
                if fault is not None:
                    data = fault(self, inbound, data)
                if data:
                    destination.sendall(data)
        except OSError:
            # One side closed; ``_accept`` closes the other side.
            return


@LINK_FAULTS.register('delay')
def delay(proxy, inbound, data):
    r"""Delay each chunk by ``DELAY_S``."""
    gevent.sleep(DELAY_S)
    return data


@LINK_FAULTS.register('cut')
def cut(proxy, inbound, data):
    r"""Block data to the node, as a one-way partition does.

    Bytes in the middle of a stream can't be dropped, so they are held until
    the fault ends.
    """
    while inbound and proxy.fault == 'cut':
        gevent.sleep(FAULT_CHECK_PERIOD_S)
    return data


@LINK_FAULTS.register('reset')
def reset(proxy, inbound, data):
    r"""Forward: ``set_fault`` has already closed the open connections."""
    return data


@LINK_FAULTS.register('silence')
def silence(proxy, inbound, data):
    r"""Forward: connections that the fault affects stay stalled in ``_copy``.

    They carry no data even after the end of the fault.
    """
    return data
