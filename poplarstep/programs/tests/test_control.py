"""Tests of what a control host does when its disk fails."""

import errno

import pytest

from poplarstep.consensus import message as consensus
from poplarstep.core import effect
from poplarstep.edge import storage
from poplarstep.programs import control

VOTE = consensus.SaveVote(3, None)


class Sink:
    r"""Takes what the performers send or answer."""

    def send(self, item):
        raise AssertionError(item)

    reply = send


@pytest.mark.parametrize('number, ends', [
    pytest.param(errno.ENOSPC, False, id='full disk'),
    pytest.param(errno.EDQUOT, False, id='quota'),
    pytest.param(errno.EFBIG, False, id='limit of file sizes'),
    pytest.param(errno.EIO, True, id='what was written is in doubt'),
])
def test_process_ends_when_its_folder_is_in_doubt(
        monkeypatch, tmp_path, number, ends):
    """Guards against a host that runs on and refuses every later write."""
    opened = storage.open_folder(str(tmp_path / 'data')).unwrap()
    ended = []
    performers = control.make_performers(
        opened, Sink(), Sink(), lambda: ended.append(True))

    def fail(*arguments):
        raise OSError(number, 'failed')

    with monkeypatch.context() as patched:
        patched.setattr(storage.frame, 'replace_file', fail)
        returned = performers[consensus.SaveVote](VOTE)
    assert isinstance(returned, effect.Abort)
    assert bool(ended) == ends
    assert (performers[consensus.SaveVote](VOTE) == ()) == (not ends)
    opened.close()
