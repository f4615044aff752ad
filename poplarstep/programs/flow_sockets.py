r"""Decoders and performers that both ends of opaque flows use."""

from returns import result

from poplarstep.core import address
from poplarstep.opaque_flows import message


def make_node_decoder(flow_codec, expected):
    r"""Return the decoder of other nodes' messages about flows.

    ``expected`` holds the types of message that the socket accepts.
    """
    def decode(source, data):
        item = flow_codec.read(data)
        if type(item) is result.Failure:
            return item
        if type(item) not in expected:
            return result.Failure(
                '%s is not expected on this socket' % type(item).__name__)
        return message.FromNode(address.Address(*source), item)
    return decode


def make_reset_performer(packet_format, front):
    r"""Return the performer of ``ResetFlow`` on a socket to callers."""
    def reset_flow(item):
        front.send(
            packet_format.caller_address(item.flow),
            packet_format.make_reset(item.flow, max(0, item.acknowledged)))

    return reset_flow
