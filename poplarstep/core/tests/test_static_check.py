"""Tests of the check of attributes and arguments in ``scripts/lint``.

They guard against a configuration or a plugin that silences real faults.
"""

import pathlib
import subprocess
import sys

import pytest

CONFIGURATION = pathlib.Path(__file__).parents[3] / 'pyproject.toml'
SOURCE = '''
class Flow:
    __slots__ = ('answered', 'tie')

    def __init__(self, answered):
        self.answered = answered


class Counters:
    __slots__ = ('offers', 'taken')

    def __init__(self):
        for name in self.__slots__:
            setattr(self, name, 0)


class Table:
    def __init__(self):
        self.flow_by_key: dict[bytes, Flow] = {}


def unannotated(table: Table):
    counters = Counters()
    for flow in table.flow_by_key.values():
        %s
'''


@pytest.mark.parametrize('line, reported', [
    pytest.param('flow.answered', None, id='attribute'),
    pytest.param('flow.tie', None, id='slot that no method sets'),
    pytest.param('counters.taken += 1', None, id='counter'),
    pytest.param('Flow(answered=True)', None, id='argument'),
    pytest.param(
        'flow.confirmed', '"Flow" has no attribute "confirmed"',
        id='attribute that no flow has'),
    pytest.param(
        'flow.confirmed = 1', '"Flow" has no attribute "confirmed"',
        id='assignment to no slot'),
    pytest.param(
        'counters.found += 1', '"Counters" has no attribute "found"',
        id='no counter'),
    pytest.param(
        'Flow(True, 1)', 'Too many arguments', id='too many arguments'),
    pytest.param('Flow()', 'Missing positional argument', id='no argument'),
    pytest.param(
        'Flow(tie=1)', 'Unexpected keyword argument', id='unknown argument'),
    pytest.param(
        'print(flows)', 'Name "flows" is not defined', id='unknown name'),
])
def test_line_is_reported(tmp_path, line, reported):
    path = tmp_path / 'sample.py'
    path.write_text(SOURCE % line)
    run = subprocess.run(
        [sys.executable, '-m', 'mypy', '--config-file', str(CONFIGURATION),
         str(path)], cwd=tmp_path, capture_output=True, text=True)
    assert not run.stderr
    if reported is None:
        assert run.returncode == 0, run.stdout
    else:
        assert run.returncode == 1 and reported in run.stdout, run.stdout
