r"""Stores the answers to requests, up to a limit of bytes.

Explanation
===========

An answer is kept until the caller acknowledges it or its flow ends, so that
resent copies of the request get it. Above the limit the payloads of the
oldest answers are dropped. The records of their requests stay and say that
they ran.
"""

from poplarstep.core import verdict
from poplarstep.flow import packet
from poplarstep.requests import state as states

ANSWER_TOO_LARGE = 'answer-too-large'
ANSWER_DROPPED = 'answer-dropped'


def store(agent, key, record, payload):
    r"""Store the answer to a request, split into the parts of its packets."""
    record.phase = states.Phase.ANSWERED
    record.verdict = verdict.Verdict.RAN
    record.payload = b''
    agent.counters.answered += 1
    size = packet.MAXIMUM_PAYLOAD_BYTES
    if len(payload) > size * packet.MAXIMUM_PARTS:
        record.reason = ANSWER_TOO_LARGE
        return
    record.parts = tuple(
        payload[start:start + size]
        for start in range(0, max(1, len(payload)), size))
    agent.answer_bytes += len(payload)
    agent.answer_size_by_key[key] = len(payload)


def discard(agent, key):
    r"""Subtract the answer of a dropped record from the total size."""
    agent.answer_bytes -= agent.answer_size_by_key.pop(key, 0)


def drop_oldest(agent):
    r"""Drop the oldest answers until the total size is within the limit."""
    while agent.answer_bytes > agent.answer_bytes_limit:
        # The dictionary is in the order in which the answers were stored.
        key = next(iter(agent.answer_size_by_key))
        record = states.request_record(agent, key)
        record.parts = ()
        record.reason = ANSWER_DROPPED
        agent.counters.answers_dropped += 1
        discard(agent, key)
