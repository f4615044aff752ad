r"""Codecs of control messages, of flow messages and of the log."""

from poplarstep.configuration import command
from poplarstep.configuration import machine
from poplarstep.consensus import peer
from poplarstep.dissemination import message as dissemination
from poplarstep.edge import codec
from poplarstep.opaque_flows import message as opaque_flows


# Most control messages are shorter and fit into one packet as they are.
COMPRESS_FROM_BYTES = 1024


def make_control_codec():
    r"""Return the codec of all control messages between processes."""
    return codec.Codec(
        (dissemination.Poll, dissemination.Update) + peer.PEER_MESSAGES,
        compress_from_bytes=COMPRESS_FROM_BYTES)


def make_flow_codec():
    r"""Return the codec of the messages about opaque flows."""
    return codec.Codec(opaque_flows.TO_AGENT + opaque_flows.TO_BALANCER)


def make_command_codec():
    r"""Return the codec of commands in the log and of snapshots."""
    return codec.Codec([command.Command, machine.MachineSnapshot])
