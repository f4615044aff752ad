r"""HTTP target for tests, with request slots and a cold start.

Explanation
===========

A target announces itself to its agent and runs as many requests concurrently
as it has slots. During its cold start it fails each request above its cold
limit with status 500. It counts the runs of each idempotency key, so that a
test finds a request that ran twice; the optional journal keeps the runs when
the target is killed.
"""

from http import client as standard_http
import json
import os
import signal
import socket
import time

import click
import gevent
from gevent import event as gevent_event
from gevent import lock
from gevent import pywsgi
from geventhttpclient import client as http_client

from poplarstep.core import address

ANNOUNCE_PERIOD_S = 0.5
NOT_RUN_HEADER = ('Request-Not-Run', 'true')


class Target:
    r"""State of a target; times in ms, but ``started_at`` in seconds."""

    __slots__ = (
        'service', 'service_ms', 'slots', 'connections', 'cold_ms',
        'cold_limit', 'started_at', 'in_flight', 'slot_lock', 'failures',
        'runs_by_key', 'incarnation', 'leaving', 'most_in_flight_cold',
        'journal')

    def __init__(
            self, service, service_ms, slots, connections, cold_ms,
            cold_limit, journal=None):
        self.service = service
        self.service_ms = service_ms
        self.slots = slots
        self.connections = connections
        self.cold_ms = cold_ms
        self.cold_limit = cold_limit
        self.started_at = time.monotonic()
        self.in_flight = 0
        self.slot_lock = lock.BoundedSemaphore(slots)
        self.failures = 0
        self.runs_by_key = {}
        self.incarnation = time.time_ns()
        self.leaving = False
        self.most_in_flight_cold = 0
        self.journal = journal

    def is_cold(self):
        r"""Return whether the cold start is still in progress."""
        return (time.monotonic() - self.started_at) * 1000 < self.cold_ms

    def run(self, key, payload):
        r"""Run a request; return ``(status, headers, body)``."""
        cold = self.is_cold()
        if cold and self.in_flight >= self.cold_limit:
            self.failures += 1
            return '500 Internal Server Error', [], b'overloaded'
        self.in_flight += 1
        if cold:
            self.most_in_flight_cold = max(
                self.most_in_flight_cold, self.in_flight)
        try:
            with self.slot_lock:
                self._record_run(key, payload)
                gevent.sleep(self.service_ms / 1000)
            return '200 OK', [], b'answer to ' + payload
        finally:
            self.in_flight -= 1

    def _record_run(self, key, payload):
        self.runs_by_key[key] = self.runs_by_key.get(key, 0) + 1
        if self.journal is not None:
            # Written before the run, so that the journal of a killed target
            # is complete.
            os.write(self.journal, b'%s %s\n' % (key.encode(), payload))

    def load(self):
        r"""Return the load and the run counts as a dictionary for JSON."""
        return {
            'in_flight': self.in_flight, 'slots': self.slots,
            'failures': self.failures, 'cold': self.is_cold(),
            'most_in_flight_cold': self.most_in_flight_cold,
            'runs': len(self.runs_by_key),
            'repeated': sum(
                count > 1 for count in self.runs_by_key.values()),
        }


def make_application(target):
    r"""Return the WSGI application of a target."""
    def application(environ, start_response):
        method = environ['REQUEST_METHOD']
        status, headers, body = '404 Not Found', [], b''
        if method == 'POST' and environ['PATH_INFO'] == '/request':
            payload = environ['wsgi.input'].read()
            status, headers, body = target.run(
                environ.get('HTTP_IDEMPOTENCY_KEY', ''), payload)
        elif environ['PATH_INFO'] in ('/load', '/health'):
            status, body = '200 OK', json.dumps(target.load()).encode()
        elif method == 'DELETE':
            status = '200 OK'
        start_response(status, headers + [
            ('Content-Length', str(len(body)))])
        return [body]
    return application


def announce_periodically(target, target_address, agent):
    r"""Announce the target to its agent every ``ANNOUNCE_PERIOD_S``."""
    while True:
        body = json.dumps({
            'service': target.service,
            'address': target_address,
            'incarnation': target.incarnation,
            'slots': target.slots,
            'connections': target.connections,
            'cold_limit': target.cold_limit,
            'leaving': target.leaving,
        })
        client = http_client.HTTPClient(agent.ip, agent.port)
        try:
            client.post('/announce', body=body).read()
        except (OSError, ValueError, standard_http.HTTPException):
            # The agent is down or has not started yet.
            pass
        finally:
            client.close()
        gevent.sleep(ANNOUNCE_PERIOD_S)


@click.command()
@click.option('--service', required=True)
@click.option('--address', 'target_address', required=True, help='IP:PORT')
@click.option('--agent', required=True, help='HTTP address of the agent')
@click.option('--service-ms', default=3.0)
@click.option('--slots', default=1)
@click.option('--connections', default=2000)
@click.option('--cold-ms', default=0.0)
@click.option('--cold-limit', default=1)
@click.option('--journal', help='file to which every executed request is '
              'appended as "KEY PAYLOAD"')
def main(service, target_address, agent, service_ms, slots, connections,
         cold_ms, cold_limit, journal):
    r"""Run a target until SIGTERM."""
    bound = address.parse(target_address).unwrap()
    target = Target(
        service, service_ms, slots, connections, cold_ms, cold_limit,
        journal and os.open(
            journal, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o644))
    server = pywsgi.WSGIServer(
        (bound.ip, bound.port), make_application(target), log=None)
    server.start()
    # Accepted sockets inherit the option; without it Nagle's algorithm and
    # delayed acknowledgements add 40 ms to every answer.
    server.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    gevent.spawn(announce_periodically, target, target_address,
                 address.parse(agent).unwrap())
    stop = gevent_event.Event()
    gevent.signal_handler(signal.SIGTERM, stop.set)
    stop.wait()
    server.stop(timeout=1)
    os._exit(0)


if __name__ == '__main__':
    main()
