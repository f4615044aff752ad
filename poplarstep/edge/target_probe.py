r"""Connects to a target to find out whether a process listens there."""

import gevent
from gevent import socket

from poplarstep.opaque_flows import target_probe

CONNECT_TIMEOUT_S = 0.3


def make_performer(target_address, post):
    r"""Return the performer of ``ProbeTarget``.

    Parameters
    ==========

    target_address : Address
        Where the target listens for TCP connections.
    post : callable
        Takes the list of events for the agent's task.
    """
    def connect():
        refused = False
        try:
            socket.create_connection(
                (target_address.ip, target_address.port),
                CONNECT_TIMEOUT_S).close()
        except ConnectionRefusedError:
            refused = True
        except OSError:
            # A timeout or a lack of descriptors says nothing of the target.
            pass
        post([target_probe.TargetProbed(refused)])

    def perform(item):
        gevent.spawn(connect)

    return perform
