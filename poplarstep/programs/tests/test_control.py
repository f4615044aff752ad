"""Tests of a control host whose disk fails."""

import errno

import pytest

from poplarstep.consensus import message as consensus
from poplarstep.core import effect
from poplarstep.edge import storage
from poplarstep.programs import control

VOTE = consensus.SaveVote(3, None)


class Unused:
    r"""Stub of links and pending requests that fails when it is used."""

    def send(self, item):
        raise AssertionError(item)

    reply = send


@pytest.mark.parametrize('error_number, terminates', [
    pytest.param(errno.ENOSPC, False, id='full disk'),
    pytest.param(errno.EDQUOT, False, id='quota'),
    pytest.param(errno.EFBIG, False, id='file size limit'),
    pytest.param(errno.EIO, True, id='I/O error'),
])
def test_process_ends_after_a_lasting_storage_failure(
        monkeypatch, tmp_path, error_number, terminates):
    """Guards against a host that stays up though every later write fails."""
    data_folder = storage.open_folder(str(tmp_path / 'data')).unwrap()
    terminations = []
    performers = control.make_performers(
        data_folder, Unused(), Unused(), lambda: terminations.append(True))

    def fail(*arguments):
        raise OSError(error_number, 'failed')

    with monkeypatch.context() as patched:
        patched.setattr(storage.frame, 'replace_file', fail)
        returned = performers[consensus.SaveVote](VOTE)
    assert isinstance(returned, effect.Abort)
    assert bool(terminations) == terminates
    assert (performers[consensus.SaveVote](VOTE) == ()) == (not terminates)
    data_folder.close()
