r"""Loopback networks that runs on one machine do not share.

Explanation
===========

The processes of a run have fixed ports at addresses ``127.N.x.x``. A run
reserves ``N`` by a listening socket, which ends with the run, whatever ends
it.
"""

import contextlib
import socket

FIRST, LAST = 101, 250
LOCK_PORT = 6999


@contextlib.contextmanager
def reserve():
    r"""Give the number of a network that no other run has reserved.

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
    for number in range(FIRST, LAST + 1):
        lock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            lock.bind(('127.%d.255.254' % number, LOCK_PORT))
        except OSError:
            lock.close()
            continue
        with lock:
            yield number
        return
    raise OSError('networks 127.%d to 127.%d are all reserved' % (
        FIRST, LAST))
