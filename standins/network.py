r"""Reserves a loopback network for each run on a machine.

Explanation
===========

The processes of a run bind fixed ports at addresses ``127.N.x.x``. A run
reserves ``N`` by a bound socket, which the kernel closes when the run ends,
also when it is killed.
"""

import contextlib
import socket

FIRST_NETWORK, LAST_NETWORK = 101, 250
RESERVATION_PORT = 6999


@contextlib.contextmanager
def reserve():
    r"""Reserve a network inside a ``with`` block; give its number.

    Examples
    ========

    >>> with reserve() as first, reserve() as second:
    ...     first != second
    True

    Raises
    ======

    OSError
        If all networks are reserved.
    """
    for number in range(FIRST_NETWORK, LAST_NETWORK + 1):
        reservation = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            reservation.bind(('127.%d.255.254' % number, RESERVATION_PORT))
        except OSError:
            reservation.close()
            continue
        with reservation:
            yield number
        return
    raise OSError('networks 127.%d to 127.%d are all reserved' % (
        FIRST_NETWORK, LAST_NETWORK))
