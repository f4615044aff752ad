r"""Runs a node until SIGTERM or SIGINT, then drains it."""

import gc
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
EXIT_REQUESTS_CUT = 4
EXIT_NODE_FAILED = 5
DRAIN_POLL_INTERVAL_S = 0.05


def serve(settings, build):
    r"""Build a node from checked settings, run it and exit the process.

    Parameters
    ==========

    build : callable
        Takes the settings; returns ``Success(Node)`` or ``Failure(message)``.
    """
    formatter = logs.configure(settings)
    built = build(settings)
    if isinstance(built, result.Failure):
        sys.stderr.write('cannot start: %s\n' % built.failure())
        sys.exit(EXIT_CANNOT_START)
    node = built.unwrap()
    formatter.version = lambda: node.status()['version']
    enable_garbage_collection()
    _serve(node)


def enable_garbage_collection():
    r"""Collect garbage from now on, but not among the imported modules."""
    gc.freeze()
    gc.enable()


def _serve(node):
    r"""Wait for a signal, then drain; a second signal stops the drain."""
    logging.info('node-started data_centre=%s',
                 node.settings['data-centre'])
    drain_requested = gevent_event.Event()
    stop_requested = gevent_event.Event()

    def on_signal():
        (stop_requested if drain_requested.is_set()
         else drain_requested).set()

    gevent.signal_handler(signal.SIGTERM, on_signal)
    gevent.signal_handler(signal.SIGINT, on_signal)
    # Without a handler SIGHUP would end the process.
    gevent.signal_handler(signal.SIGHUP, _reload, node)
    gevent.wait([drain_requested, node.failed], count=1)
    if node.failed.is_set():
        _fail(node)
    drain = _drain(node, stop_requested)
    requests_cut, flows_ended = (
        drain.unfinished_requests(), drain.open_flows())
    nodes.close(node)
    logging.info('node-stopped requests_cut=%d flows_ended=%d at_once=%s',
                 requests_cut, flows_ended,
                 'yes' if stop_requested.is_set() else 'no')
    sys.exit(EXIT_REQUESTS_CUT if requests_cut else 0)


def _reload(node):
    logging.info('settings-reloaded')
    node.reload()


def _fail(node):
    r"""Exit at once; a node of which a part failed can't drain."""
    logging.error('node-failed exit_code=%d', EXIT_NODE_FAILED)
    logging.flush()
    os._exit(EXIT_NODE_FAILED)


def _drain(node, stop_requested):
    r"""Drain the node; return its ``Drain`` when it is time to stop."""
    logging.info('node-draining drain_time_ms=%d',
                 node.settings['drain-time'])
    node.ready = lambda: False
    drain = node.start_drain()
    deadline = clock.now_ms() + node.settings['drain-time']
    while clock.now_ms() < deadline and not drain.may_stop():
        if stop_requested.wait(DRAIN_POLL_INTERVAL_S):
            break
        if node.failed.is_set():
            _fail(node)
    return drain
