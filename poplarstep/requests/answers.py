r"""Recorded answers of an agent, within a limit of bytes.

Explanation
===========

An answer is kept until the caller acknowledges it or its flow ends, so that
a resend gets it. Beyond the limit the payloads of the oldest are dropped;
their records still say that the request ran.
"""

from poplarstep.core import verdict
from poplarstep.flow import packet
from poplarstep.requests import state as states

TOO_LARGE = 'answer-too-large'
DROPPED = 'answer-dropped'


def record(agent, key, known, payload):
    r"""Record the answer to a request, cut into the parts of its packets."""
    known.phase = states.Phase.ANSWERED
    known.verdict = verdict.Verdict.RAN
    known.payload = b''
    agent.counters.answered += 1
    size = packet.MAXIMUM_PAYLOAD_BYTES
    if len(payload) > size * packet.MAXIMUM_PARTS:
        known.reason = TOO_LARGE
        return
    known.parts = tuple(
        payload[start:start + size]
        for start in range(0, max(1, len(payload)), size))
    agent.answer_bytes += len(payload)
    agent.answer_size_by_key[key] = len(payload)


def forget(agent, key):
    r"""Stop counting the answer of a record that is dropped."""
    agent.answer_bytes -= agent.answer_size_by_key.pop(key, 0)


def drop_oldest(agent):
    r"""Drop the oldest payloads until the limit holds."""
    while agent.answer_bytes > agent.answer_bytes_limit:
        # The dictionary keeps the order in which answers were recorded.
        key = next(iter(agent.answer_size_by_key))
        known = states.request_record(agent, key)
        known.parts = ()
        known.reason = DROPPED
        agent.counters.answers_dropped += 1
        forget(agent, key)
