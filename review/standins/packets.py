"""Packets of the platform, as clients and servers write and check them."""

import socket
import struct
import zlib

HEAD = struct.Struct('>HIIB3s4sH4sHII')
SYN, ACK, FIN, RST, BOUNCED = 8, 4, 128, 16, 2
MAXIMUM_DATA = 1200
MODULUS = 2**32
KEY = b'known to clients and servers only'


class Packet:
    """One packet; addresses are (ip, port) pairs."""

    __slots__ = ('source', 'destination', 'flags', 'seq', 'ack', 'data',
                 'genuine', 'raw', 'echo', 'pad')

    def __init__(self, source, destination, flags, seq, ack, data=b''):
        self.source = source
        self.destination = destination
        self.flags = flags
        self.seq = seq
        self.ack = ack
        self.data = data
        self.genuine = True
        self.raw = b''
        self.echo = 0
        self.pad = bytes(3)


def _checksum(source, destination, flags, seq, ack, data):
    head = HEAD.pack(
        len(data), 0, 0, flags & ~BOUNCED, bytes(3),
        socket.inet_aton(destination[0]), destination[1],
        socket.inet_aton(source[0]), source[1], seq, ack)
    return zlib.crc32(KEY + head + data) or 1


def encode(packet):
    """Return a packet as bytes, with the checksum of its writer."""
    total = _checksum(packet.source, packet.destination, packet.flags,
                      packet.seq, packet.ack, packet.data)
    return HEAD.pack(
        len(packet.data), packet.echo, total, packet.flags, packet.pad,
        socket.inet_aton(packet.destination[0]), packet.destination[1],
        socket.inet_aton(packet.source[0]), packet.source[1],
        packet.seq, packet.ack) + packet.data


def decode(raw):
    """Return a packet; ``genuine`` tells whether an end wrote it so."""
    if len(raw) < HEAD.size:
        return None
    (length, echo, total, flags, pad, destination, dport, source, sport, seq,
     ack) = HEAD.unpack_from(raw)
    data = raw[HEAD.size:]
    packet = Packet((socket.inet_ntoa(source), sport),
                    (socket.inet_ntoa(destination), dport),
                    flags, seq, ack, data)
    packet.echo, packet.pad, packet.raw = echo, pad, raw
    packet.genuine = len(data) == length and total == _checksum(
        packet.source, packet.destination, flags, seq, ack, data)
    return packet


def bounced(raw):
    """Return a packet that a server sends back: BOUNCED set, pad 0."""
    head = bytearray(raw[:HEAD.size])
    head[10] |= BOUNCED
    head[11:14] = bytes(3)
    return bytes(head) + raw[HEAD.size:]
