r"""Node of any role: how it is built, started and closed."""

import time

import gevent
from gevent import event as gevent_event
from returns import result

from poplarstep.core import timer
from poplarstep.edge import clock
from poplarstep.edge import link
from poplarstep.edge import metrics
from poplarstep.edge import task as tasks
from poplarstep.edge import web
from poplarstep.edge import wire


class Drain:
    r"""Progress of a graceful shutdown.

    Parameters
    ==========

    may_stop : callable
        Returns whether the node may stop before its drain time ends.
    unfinished_requests : callable
        Returns the number of requests that a stop would cut now.
    open_flows : callable
        Returns the number of flows that a stop would end now.
    """

    __slots__ = ('may_stop', 'unfinished_requests', 'open_flows')

    def __init__(self, may_stop, unfinished_requests, open_flows=lambda: 0):
        self.may_stop = may_stop
        self.unfinished_requests = unfinished_requests
        self.open_flows = open_flows


class Node:
    r"""A node: its task, control links, HTTP routes and greenlets.

    Parameters
    ==========

    status : callable
        Returns the role's part of the ``/status`` dictionary.
    ready : callable
        Returns whether the node may receive traffic, for ``/readyz``.
    reload : callable
        Applies changed settings to the running node, on SIGHUP.
    start_drain : callable
        Starts a graceful shutdown and returns its ``Drain``.
    failed : Event
        Set when the task or a socket reader ended with an exception, or
        the data folder became unusable; the process then ends.
    """

    __slots__ = (
        'settings', 'task', 'links', 'routes', 'exporter', 'closers',
        'greenlets', 'status', 'ready', 'start_drain', 'timers', 'failed',
        'reload')

    def __init__(self, settings):
        self.settings = settings
        self.timers = timer.TimerQueue()
        self.routes = web.Routes()
        self.exporter = metrics.Exporter({
            'node': settings['node'], 'role': settings['role'],
            'data_centre': settings['data-centre']})
        self.exporter.add_counters('http', self.routes.counters)
        self.closers = []
        self.greenlets = []
        self.failed = gevent_event.Event()
        self.task = None
        self.links = None
        self.status = dict
        self.ready = lambda: False
        self.reload = lambda: None
        self.start_drain = lambda: Drain(lambda: True, lambda: 0)


def make_node(settings) -> Node:
    r"""Return a node that is not started yet; see ``start``."""
    return Node(settings)


def new_incarnation():
    r"""Return the number of this run; later runs have larger numbers."""
    return time.time_ns()


def schedule_ticks(node, *modules):
    r"""Schedule the periodic tick of each stage module."""
    for module in modules:
        node.timers.subscribe(
            module.TICK, module.TICK_PERIOD_MS, clock.now_ms())


def open_links(node):
    r"""Open the control links; return ``Success(Links)`` or ``Failure``."""
    return link.open_links(
        node.settings['control-address'], wire.make_control_codec(),
        node.settings['cluster'], inbox(node.settings))


def inbox(settings):
    r"""Return the address to which other nodes send control messages."""
    return settings['advertised-address'] or settings['control-address']


def start(node, pipeline, performer_by_type, links, sockets):
    r"""Start the task, the socket readers and the HTTP server of a node.

    Parameters
    ==========

    sockets : dict
        Datagram socket by name; the name is the prefix of its metrics.

    Returns
    =======

    Result
        ``Success(node)`` or ``Failure(message)``.
    """
    node.links = links
    node.task = tasks.Task(
        node.settings['node'], pipeline, node.timers, performer_by_type)
    node.exporter.add_counters('task', node.task.counters)
    node.exporter.add_counters('control_link', links.counters)
    for name, datagram_socket in sockets.items():
        node.exporter.add_counters(name, datagram_socket.counters)
        node.closers.append(datagram_socket.close)
    node.closers.append(links.close)
    _register_routes(node)
    server = web.serve(node.settings['http-address'], node.routes)
    if isinstance(server, result.Failure):
        return server
    node.closers.append(server.unwrap().stop)
    node.greenlets += [
        gevent.spawn(reader.read_loop, node.task.post)
        for reader in [links, *sockets.values()]]
    node.greenlets.append(tasks.start(node.task))
    for greenlet in node.greenlets:
        greenlet.link_exception(lambda ended: node.failed.set())
    return result.Success(node)


def close(node):
    r"""Stop the task and close all sockets."""
    node.task.stop()
    gevent.killall(node.greenlets)
    for closer in node.closers:
        closer()


def _register_routes(node):
    @node.routes.route('GET', '/healthz')
    def healthz(body):
        return web.json_reply({'alive': True})

    @node.routes.route('GET', '/readyz')
    def readyz(body):
        ready = node.ready()
        return web.json_reply({'ready': ready}, 200 if ready else 503)

    @node.routes.route('GET', '/metrics')
    def metrics_text(body):
        return node.exporter.reply()

    @node.routes.route('GET', '/status')
    def status(body):
        return web.json_reply({
            'node': node.settings['node'],
            'role': node.settings['role'],
            'data_centre': node.settings['data-centre'],
            **node.status(),
            'values': [list(row) for row in node.exporter.values()],
        })
