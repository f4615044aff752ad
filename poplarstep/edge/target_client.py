r"""HTTP client with which an agent calls its target.

Explanation
===========

Each call runs in its own greenlet, which sends the outcome to the agent's
task as a message. The client distinguishes a request that has certainly not
run (no connection, or the target answers that it has not run it) from one
that may have run.

A connection whose call failed or timed out is not reused: a late answer on
it would be taken for the answer to the next request.
"""

from http import client as standard_http
import time

import gevent
from geventhttpclient import client as http_client

from poplarstep.edge import clock
from poplarstep.requests import message

NOT_RUN_HEADER = 'request-not-run'
# The end of a connection in the middle of an answer raises HTTPException,
# which is not an OSError.
CALL_ERRORS = (OSError, ValueError, standard_http.HTTPException)
CONNECT_TIMEOUT_S = 0.5
# Limits the timer of a call, because callers may request any deadline.
MAXIMUM_CALL_MS = 24 * 3600 * 1000


class TargetClient:
    r"""HTTP client of one target.

    ``deliver`` takes the list of messages for the task. ``idle`` holds
    connections for reuse.
    """

    __slots__ = ('deliver', 'address', 'idle')

    def __init__(self, deliver):
        self.deliver = deliver
        self.address = None
        self.idle = []

    def set_address(self, target_address):
        r"""Set the address for later calls; close idle connections."""
        if target_address != self.address:
            self.address = target_address
            while self.idle:
                self.idle.pop().close()

    def call(self, item):
        r"""Carry out ``CallTarget``."""
        gevent.spawn(self._call, item, self.address)

    def cancel(self, item):
        r"""Carry out ``CancelCall``."""
        gevent.spawn(self._cancel, item)

    def _call(self, item, target_address):
        started = time.monotonic()
        client = self._take_connection()
        outcome = None
        limit_ms = min(item.deadline_ms, MAXIMUM_CALL_MS)
        with gevent.Timeout(
                limit_ms / clock.MILLISECONDS_PER_SECOND, False):
            outcome = _post(client, item)
        if outcome is None:
            outcome = message.TargetFailed(
                item.key, True, 'target-timeout', 0.0)
        if isinstance(outcome, message.TargetAnswered) and (
                target_address == self.address):
            self.idle.append(client)
        else:
            client.close()
        outcome.elapsed_ms = (time.monotonic() - started) * (
            clock.MILLISECONDS_PER_SECOND)
        self.deliver([outcome])

    def _cancel(self, item):
        client = self._open_connection()
        try:
            client.delete('/request/%s' % item.idempotency_key).read()
        except CALL_ERRORS:
            # The call itself reports the outcome of the request.
            return
        finally:
            client.close()

    def _take_connection(self):
        if self.idle:
            return self.idle.pop()
        return self._open_connection()

    def _open_connection(self):
        return http_client.HTTPClient(
            self.address.ip, self.address.port, concurrency=1,
            connection_timeout=CONNECT_TIMEOUT_S, network_timeout=None)


def _post(client, item):
    try:
        response = client.post(
            '/request', body=item.payload, headers={
                'Idempotency-Key': item.idempotency_key,
                'Request-Deadline-Ms': str(item.deadline_ms),
            })
        body = bytes(response.read())
    except (ConnectionRefusedError, TimeoutError):
        # There is no read timeout, so only connecting can time out.
        return message.TargetFailed(
            item.key, False, 'target-unreachable', 0.0)
    except CALL_ERRORS as error:
        return message.TargetFailed(
            item.key, True, 'target-%s' % type(error).__name__, 0.0)
    if response.status_code == 200:
        return message.TargetAnswered(item.key, body, 0.0)
    ran = response.get(NOT_RUN_HEADER) != 'true'
    return message.TargetFailed(
        item.key, ran, 'target-status-%d' % response.status_code, 0.0)
