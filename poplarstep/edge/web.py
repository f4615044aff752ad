r"""HTTP server of a process, with registered handlers."""

import functools
import json
import re
import socket
from urllib import parse

from absl import logging
from gevent import pywsgi
from returns import result

from poplarstep.edge import logs

MAXIMUM_BODY_BYTES = 1024 * 1024
MAXIMUM_CONNECTIONS = 256
# A stopped server closes its connections at once: most are kept open by
# clients between requests, and a node forwards nothing while it waits.
STOP_TIMEOUT_S = 0
LENGTH_PATTERN = re.compile('[0-9]{1,15}')
STATUS_BY_CODE = {
    200: '200 OK',
    307: '307 Temporary Redirect',
    400: '400 Bad Request',
    404: '404 Not Found',
    413: '413 Content Too Large',
    503: '503 Service Unavailable',
}


class Reply:
    r"""Status code, content type, body and headers of an HTTP response."""

    __slots__ = ('code', 'content_type', 'body', 'headers')

    def __init__(
            self, code, body, content_type='application/json', headers=()):
        self.code = code
        self.content_type = content_type
        self.body = body
        self.headers = headers


class Counters:
    r"""Counts of HTTP requests; ``refused`` ones got a status from 400 to 499.

    The slots are metric names.
    """

    __slots__ = ('requests', 'refused')

    def __init__(self):
        self.requests = 0
        self.refused = 0


class Routes:
    r"""Registry of handlers by method and path.

    A handler takes the body as bytes and returns a ``Reply``. The handler
    of a path prefix takes the rest of the path as its first argument, that of
    a query the parameters as a dictionary of text.
    """

    __slots__ = (
        'handler_by_route', 'handler_by_prefix', 'handler_by_query',
        'counters')

    def __init__(self):
        self.counters = Counters()
        self.handler_by_route = {}
        self.handler_by_prefix = {}
        self.handler_by_query = {}

    def route(self, method, path):
        r"""Return a decorator that registers the handler of a path."""
        def decorate(handler):
            self.handler_by_route[method, path] = handler
            return handler
        return decorate

    def prefix(self, method, path):
        r"""Return a decorator that registers the handler of a prefix.

        ``path`` ends with a slash; one more path element follows it.
        """
        def decorate(handler):
            self.handler_by_prefix[method, path] = handler
            return handler
        return decorate

    def query(self, method, path):
        r"""Return a decorator that registers the handler of a query."""
        def decorate(handler):
            self.handler_by_query[method, path] = handler
            return handler
        return decorate

    def find(self, method, path, query=''):
        r"""Return the handler of a request, or None."""
        query_handler = self.handler_by_query.get((method, path))
        if query_handler is not None:
            return functools.partial(
                query_handler, dict(parse.parse_qsl(query)))
        handler = self.handler_by_route.get((method, path))
        if handler is not None:
            return handler
        folder, slash, rest = path.rpartition('/')
        prefix_handler = self.handler_by_prefix.get((method, folder + slash))
        if prefix_handler is None or not rest:
            return None
        return functools.partial(prefix_handler, rest)

    def __call__(self, environ, start_response):
        handler = self.find(
            environ['REQUEST_METHOD'], environ['PATH_INFO'],
            environ.get('QUERY_STRING', ''))
        reply = _call_handler(handler, environ)
        self.counters.requests += 1
        if 400 <= reply.code < 500:
            self.counters.refused += 1
        start_response(
            STATUS_BY_CODE[reply.code],
            [('Content-Type', reply.content_type),
             ('Content-Length', str(len(reply.body))), *reply.headers])
        return [reply.body]


def json_reply(value, code=200):
    r"""Return a ``Reply`` that holds a value as JSON."""
    return Reply(code, json.dumps(value).encode())


def serve(bound, routes):
    r"""Start serving; return ``Success(server)`` or ``Failure(message)``."""
    # Without a name the server looks up that of its address, in a thread of
    # gevent's resolver; the start would wait for a slow name server.
    server = pywsgi.WSGIServer(
        (bound.ip, bound.port), routes, log=None, spawn=MAXIMUM_CONNECTIONS,
        environ={'SERVER_NAME': bound.ip})
    server.stop_timeout = STOP_TIMEOUT_S
    try:
        server.start()
        # Accepted sockets inherit the option. Without it Nagle's algorithm
        # holds each answer for 40 ms until a delayed acknowledgement.
        server.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    except OSError as error:
        return result.Failure(
            'cannot listen on HTTP address %s: %s' % (bound, error.strerror))
    return result.Success(server)


def _call_handler(handler, environ):
    if handler is None:
        return json_reply({'error': 'no such resource'}, 404)
    length = environ.get('CONTENT_LENGTH') or '0'
    if not LENGTH_PATTERN.fullmatch(length):
        return json_reply({'error': 'Content-Length is not a number'}, 400)
    if int(length) > MAXIMUM_BODY_BYTES:
        return json_reply({'error': 'body exceeds %d bytes'
                           % MAXIMUM_BODY_BYTES}, 413)
    body = environ['wsgi.input'].read(int(length))
    try:
        return handler(body)
    except (ValueError, KeyError, TypeError, RecursionError) as error:
        logging.warning('http-request-failed %s %s', logs.pair(
            'path', environ['PATH_INFO']), logs.pair('error', error))
        return json_reply({'error': str(error)}, 400)
