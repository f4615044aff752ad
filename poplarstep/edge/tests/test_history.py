"""Tests of the history file."""

import hypothesis
from hypothesis import strategies
import pytest

from poplarstep.edge import history
from poplarstep.reports import sample

SAMPLES = tuple(
    sample.Sample('gs-a-%d' % number, 'certs', number * 1000, 10, 9)
    for number in range(3))
LINES = history.encode(SAMPLES)

counters = strategies.integers(0, 2**62)
sample_lists = strategies.lists(strategies.builds(
    lambda node, time_ms, good, bad: sample.Sample(
        node, 'certs', time_ms, good + bad, good, 'latency'),
    strategies.text(), counters, counters, counters), max_size=5)


@hypothesis.given(sample_lists, strategies.integers(0, 2000))
def test_truncation_loses_only_the_last_line(drawn, size):
    """Guards against an incomplete line that hides earlier samples."""
    data = history.encode(drawn)[:size]
    found = history.decode(data)
    whole = data.count(b'\n')
    assert found.samples[:whole] == tuple(drawn[:whole])
    # A line that lacks only its line feed still holds its sample.
    assert len(found.samples) + found.torn_lines == whole + (
        not data.endswith(b'\n') and data != b'')
    assert found.malformed_lines == 0


@pytest.mark.parametrize('data, counts', [
    (b'', (0, 0, 0)),
    (LINES, (3, 0, 0)),
    (LINES + b'{"node"', (3, 1, 0)),
    (b'{"node"\n' + LINES, (3, 0, 1)),
    (LINES + b'\xff\x00\n' + LINES, (6, 0, 1)),
    (LINES.replace(b'"good":9', b'"good":11', 1), (2, 0, 1)),
    (LINES.replace(b'"total":10', b'"total":"10"', 1), (2, 0, 1)),
    (LINES.replace(b',"kind":"availability"', b''), (3, 0, 0)),
    (b'[' * 100000, (0, 1, 0)),
])
def test_skipped_lines_are_counted(data, counts):
    """Guards against damaged lines that are skipped uncounted."""
    found = history.decode(data)
    assert counts == (
        len(found.samples), found.torn_lines, found.malformed_lines)


def test_append_after_a_torn_line(tmp_path):
    """Guards against an incomplete line that corrupts the next sample."""
    path = tmp_path / 'history.jsonl'
    history.append(path, SAMPLES[:2]).unwrap()
    path.write_bytes(path.read_bytes()[:-5])
    history.append(path, SAMPLES[2:]).unwrap()
    found = history.read(path).unwrap()
    assert found == history.History((SAMPLES[0], SAMPLES[2]), 0, 1)


def test_trim_keeps_newer_samples(tmp_path):
    """Guards against a trim that drops samples inside the window."""
    path = tmp_path / 'history.jsonl'
    assert history.trim(path, 0).unwrap() == 0
    history.append(path, SAMPLES).unwrap()
    assert history.trim(path, 1000).unwrap() == 1
    assert history.read(path).unwrap().samples == SAMPLES[1:]
    assert [entry.name for entry in tmp_path.iterdir()] == ['history.jsonl']


@pytest.mark.parametrize('action', [
    history.read,
    lambda path: history.append(path, SAMPLES),
    lambda path: history.trim(path, 0),
])
def test_unusable_file_is_a_failure(action, tmp_path):
    """Guards against an exception in the task that keeps the history."""
    assert str(tmp_path) in action(tmp_path).failure()
