"""Tests of the kinds, the type tags of encoded records."""

import msgspec
import pytest

from poplarstep.core import record
from poplarstep.edge import codec
from poplarstep.edge import link
from poplarstep.edge import storage
from poplarstep.edge import wire
from poplarstep.flow import token

CODECS = (
    # codec, kinds (msgspec tags) of the records that it encodes
    (wire.make_control_codec(), (
        'Announcement', 'AppendEntries', 'AppendReply', 'Change',
        'DataCentre', 'Hello', 'HelloReply', 'HostIdentity',
        'InstallSnapshot', 'LogEntry', 'Member', 'Policy', 'Poll', 'Removal',
        'RequestVote', 'Route', 'Service', 'Share', 'Snapshot',
        'SnapshotReply', 'Standing', 'Target', 'Update', 'VoteReply')),
    (wire.make_flow_codec(), (
        'Carry', 'Find', 'FlowQuery', 'FlowStarted', 'FlowSurvey',
        'FlowUncertain', 'Held', 'KnownFlow', 'KnownFlows', 'Load',
        'LoadReport', 'NotTaken', 'Offer', 'OfferWithdrawn', 'Stray',
        'SurveyReply', 'SurveyedFlow')),
    (wire.make_command_codec(), (
        'Announce', 'Announcement', 'ChangeService', 'Command',
        'CreateService', 'DataCentre', 'DrainTarget', 'ExpireTargets',
        'Expiry', 'MachineSnapshot', 'Outcome', 'Policy', 'RemoveService',
        'Removed', 'ReplaceConfiguration', 'Route', 'Service', 'ServiceShare',
        'Session', 'SetDataCentre', 'Share', 'Snapshot', 'Target',
        'WantedRoute', 'WantedService')),
    (codec.make_data_path_codec(token.OPAQUE), (
        'Answer', 'Cancel', 'Close', 'Forwarded', 'Load', 'Open',
        'OpenOutcome', 'Opened', 'Refused', 'Request', 'ReturnPath')),
    (codec.Codec([link.Envelope]), ('Envelope',)),
    (storage.Storage('', None, 1).codec, (
        'AppendLog', 'DiskIdentity', 'HostIdentity', 'LogEntry', 'Member',
        'SaveSnapshot', 'SaveVote', 'Snapshot', 'TruncateLog')),
)


@pytest.mark.parametrize('used, kinds', CODECS)
def test_kinds_are_fixed(used, kinds):
    """Guards against a renamed class that changes the wire or the disk."""
    written = [
        struct.__struct_config__.tag for struct in used.plan_by_struct]
    assert sorted(written) == sorted(kinds)


class Pair(record.Record):
    r"""A renamed class."""

    __slots__ = ('left', 'right')
    WIRE_NAME = 'Couple'

    def __init__(self, left: int, right: int):
        self.left = left
        self.right = right


class Triple(Pair):
    r"""A subclass of a renamed class."""

    __slots__ = ('last',)

    def __init__(self, left: int, right: int, last: int):
        super().__init__(left, right)
        self.last = last


@pytest.mark.parametrize('item, array', [
    (Pair(1, 2), ['Couple', 1, 2]),
    (Triple(1, 2, 3), ['Triple', 1, 2, 3]),
])
def test_renamed_class_keeps_its_kind(item, array):
    """Guards against ``WIRE_NAME`` that is ignored or inherited."""
    used = codec.Codec([Pair, Triple])
    data = used.encode(item)
    assert msgspec.msgpack.decode(data[1:]) == array
    assert used.decode(data).unwrap() == item
