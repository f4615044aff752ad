r"""Runs a node until SIGTERM, then drains it."""

import os
import signal
import sys

from absl import logging
import gevent
from gevent import event as gevent_event
from returns import result

from poplarstep.edge import clock
from poplarstep.edge import logs
from poplarstep.programs import node as nodes

EXIT_CANNOT_START = 3
EXIT_CUT = 4
EXIT_FAILED = 5
LEAVE_CHECK_S = 0.05


def serve(read, build):
    r"""Build a node from checked settings and run it until SIGTERM."""
    formatter = logs.configure(read)
    built = build(read)
    if isinstance(built, result.Failure):
        sys.stderr.write('cannot start: %s\n' % built.failure())
        sys.exit(EXIT_CANNOT_START)
    node = built.unwrap()
    formatter.version = lambda: node.status()['version']
    _serve(node)


def _serve(node):
    r"""Wait for SIGTERM, then drain; a second SIGTERM ends at once."""
    logging.info('node-started data_centre=%s',
                 node.settings['data-centre'])
    asked = gevent_event.Event()
    asked_again = gevent_event.Event()

    def on_signal():
        (asked_again if asked.is_set() else asked).set()

    gevent.signal_handler(signal.SIGTERM, on_signal)
    gevent.signal_handler(signal.SIGINT, on_signal)
    # Without a handler the signal would end the process.
    gevent.signal_handler(signal.SIGHUP, _reload, node)
    gevent.wait([asked, node.failed], count=1)
    if node.failed.is_set():
        _fail(node)
    drain = _drain(node, asked_again)
    cut, flows = drain.unfinished(), drain.open_flows()
    nodes.close(node)
    logging.info('node-stopped requests_cut=%d flows_ended=%d at_once=%s',
                 cut, flows, 'yes' if asked_again.is_set() else 'no')
    sys.exit(EXIT_CUT if cut else 0)


def _reload(node):
    logging.info('settings-reloaded')
    node.reload()


def _fail(node):
    r"""End a process of which a part has ended; nothing can be drained."""
    logging.error('node-failed exit_code=%d', EXIT_FAILED)
    logging.flush()
    os._exit(EXIT_FAILED)


def _drain(node, asked_again):
    r"""Return the ``Drain`` as it stands when the node must stop."""
    logging.info('node-draining drain_time_ms=%d',
                 node.settings['drain-time'])
    node.ready = lambda: False
    drain = node.leave()
    deadline = clock.now_ms() + node.settings['drain-time']
    while clock.now_ms() < deadline and not drain.idle():
        if asked_again.wait(LEAVE_CHECK_S):
            break
        if node.failed.is_set():
            _fail(node)
    return drain
