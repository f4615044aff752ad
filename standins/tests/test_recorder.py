"""Tests of the statistics of an experiment and of its scripts."""

import pytest

from standins import recorder
from standins import script

COUNTS = (
    # Counts, success: flows given up do not count, failed opens do.
    ({'answered': 999, 'failed': 1}, 0.999),
    ({'answered': 3, 'refused': 1}, 0.75),
    ({'answered': 4, 'given up': 4, 'broken': 1}, 1.0),
    ({'given up': 4}, None),
)


@pytest.mark.parametrize('counts, expected', COUNTS)
def test_success_leaves_out_flows_given_up(counts, expected):
    """Guards against a success rate that counts flows given up."""
    assert recorder.success(counts) == expected


def test_seconds_start_after_the_warm_up():
    """Guards against counting what started during the warm-up."""
    records = recorder.Recorder(started=1000)
    records.observe('certs', recorder.FAILED, 999)
    records.observe('certs', recorder.ANSWERED, 1000, 5)
    records.observe('certs', recorder.ANSWERED, 2500, 7)
    assert [(row['second'], row['counts'], row['p99_ms'])
            for row in recorder.rows(records)] == [
        (0, {'answered': 1}, 5), (1, {'answered': 1}, 7)]
    assert recorder.totals(records)[0]['success'] == 1.0


SAMPLES = [(0, {1: 5, 2: 1}), (100, {1: 7, 2: 2}), (200, {1: 7, 2: 3}),
           (300, {1: 8, 2: 4})]
LAST_PACKETS = (
    # Agents, since, until, ms to the last packet.
    ([1], 0, 250, 100), ([1], 0, 300, 300), ([1], 150, 250, None),
    ([1, 2], 0, 250, 200), ([], 0, 300, None),
)


@pytest.mark.parametrize('agents, since, until, expected', LAST_PACKETS)
def test_last_packet_is_not_missed(agents, since, until, expected):
    # Guards against a late packet that is overlooked: the time until a data
    # centre that is taken out receives no more packets is measured by it.
    assert recorder.last_packet_ms(
        SAMPLES, agents, since, until) == expected


INVALID_SCRIPTS = ('kill balancer-0', '1 kill', '1 kill a b', '1 take x out',
                   '-1 kill a', '1')


@pytest.mark.parametrize('text', INVALID_SCRIPTS)
def test_invalid_scripts_name_the_line(text):
    # Guards against steps that are dropped silently.
    assert script.parse('# ok\n%s' % text).failure().startswith('line 2: ')
