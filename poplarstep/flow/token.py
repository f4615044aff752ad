r"""Flow tokens: identity and route of a flow, authenticated by a tag.

Explanation
===========

The agent that accepts a flow issues its token, and the caller repeats the
token in every later packet of the flow. A balancer can therefore route the
packet without a flow table. Cheetah and QUIC-LB also let the client echo the
route. A token is sealed with a keyed BLAKE2b tag, so callers can't choose
where their packets go. It is not encrypted.

References
==========

.. [1] T. Barbette et al., "A High-Speed Load-Balancer Design with
   Guaranteed Per-Connection-Consistency", NSDI 2020.
.. [2] RFC 7693, "The BLAKE2 Cryptographic Hash and Message
   Authentication Code".

"""

import hashlib
import struct

from returns import result

from poplarstep.core import address
from poplarstep.core import record

FORMAT_VERSION = 1
TAG_BYTES = 8
# Version, service, data centre, target, agent, incarnation, serial.
LAYOUT = struct.Struct('!BHHI6sQQ')
SEALED_BYTES = LAYOUT.size + TAG_BYTES


class Token(record.Record):
    r"""Identity of a flow and address of the agent that owns it.

    Parameters
    ==========

    service, data_centre, target : int
        Numbers that the configuration assigned.
    agent : Address
        UDP address of the owning agent.
    incarnation : int
        Identifies one run of the agent process.
    serial : int
        Number of the flow within that incarnation.
    """

    __slots__ = (
        'service', 'data_centre', 'target', 'agent', 'incarnation', 'serial')

    def __init__(
            self, service: int, data_centre: int, target: int,
            agent: address.Address, incarnation: int, serial: int):
        self.service = service
        self.data_centre = data_centre
        self.target = target
        self.agent = agent
        self.incarnation = incarnation
        self.serial = serial


class Sealer:
    r"""Seals tokens with its first key and accepts tokens of all its keys.

    Examples
    ========

    >>> sealer = Sealer([b'new key', b'old key'])
    >>> token = Token(1, 2, 3, address.Address('127.0.0.1', 9), 4, 5)
    >>> sealed = Sealer([b'old key']).seal(token)
    >>> sealer.unseal(sealed) == token
    True
    >>> sealer.unseal(sealed[:-1] + b'x').failure()
    'token has a wrong tag'

    """

    __slots__ = ('keys',)

    def __init__(self, keys):
        self.keys = tuple(keys)

    def seal(self, token):
        r"""Return the encoded token and its tag, ``SEALED_BYTES`` bytes."""
        body = LAYOUT.pack(
            FORMAT_VERSION,
            token.service,
            token.data_centre,
            token.target,
            address.to_bytes(token.agent),
            token.incarnation,
            token.serial,
        )
        return body + _tag(self.keys[0], body)

    def unseal(self, sealed):
        r"""Return the ``Token`` or ``Failure(message)``.

        The token is not wrapped in ``Success``, because this runs for each
        packet.
        """
        if len(sealed) != SEALED_BYTES:
            return result.Failure(
                'token has %d bytes, not %d' % (len(sealed), SEALED_BYTES))
        body = sealed[:LAYOUT.size]
        tag = sealed[LAYOUT.size:]
        for key in self.keys:
            if _tag(key, body) == tag:
                break
        else:
            return result.Failure('token has a wrong tag')
        (version, service, data_centre, target, agent, incarnation,
         serial) = LAYOUT.unpack(body)
        if version != FORMAT_VERSION:
            return result.Failure('token has unknown version %d' % version)
        return Token(
            service, data_centre, target, address.from_bytes(agent),
            incarnation, serial)


def _tag(key, body):
    return hashlib.blake2b(body, digest_size=TAG_BYTES, key=key).digest()


class OpaqueTokens:
    r"""Keeps tokens as sealed bytes, for callers, which have no key."""

    __slots__ = ()

    def seal(self, token):
        r"""Return the sealed token unchanged."""
        return token

    def unseal(self, sealed):
        r"""Return the sealed token unchanged."""
        return sealed


OPAQUE = OpaqueTokens()
