"""Tests of what an experiment counts."""

import pytest

from standins import recorder
from standins import script

COUNTS = (
    # Observed, success: what was given up is excepted, a failed open is not.
    ({'answered': 999, 'failed': 1}, 0.999),
    ({'answered': 3, 'refused': 1}, 0.75),
    ({'answered': 4, 'given up': 4, 'broken': 1}, 1.0),
    ({'given up': 4}, None),
)


@pytest.mark.parametrize('counts, expected', COUNTS)
def test_success_counts_what_the_goal_counts(counts, expected):
    """Guards against a success rate that counts flows given up."""
    assert recorder.success(counts) == expected


def test_seconds_start_after_the_warm_up():
    """Guards against a warm-up that is counted."""
    kept = recorder.Recorder(started=1000)
    kept.observe('certs', recorder.FAILED, 999)
    kept.observe('certs', recorder.ANSWERED, 1000, 5)
    kept.observe('certs', recorder.ANSWERED, 2500, 7)
    assert [(row['second'], row['counts'], row['p99_ms'])
            for row in recorder.rows(kept)] == [
        (0, {'answered': 1}, 5), (1, {'answered': 1}, 7)]
    assert recorder.totals(kept)[0]['success'] == 1.0


SAMPLES = [(0, {1: 5, 2: 1}), (100, {1: 7, 2: 2}), (200, {1: 7, 2: 3}),
           (300, {1: 8, 2: 4})]
LAST = (
    # Agents, since, until, ms to the last packet.
    ([1], 0, 250, 100), ([1], 0, 300, 300), ([1], 150, 250, None),
    ([1, 2], 0, 250, 200), ([], 0, 300, None),
)


@pytest.mark.parametrize('agents, since, until, expected', LAST)
def test_last_packet_is_not_missed(agents, since, until, expected):
    # R4 is measured by it; an early answer would hide a late packet.
    assert recorder.last_packet_ms(
        SAMPLES, agents, since, until) == expected


BAD_SCRIPTS = ('kill balancer-0', '1 kill', '1 kill a b', '1 take x out',
               '-1 kill a', '1')


@pytest.mark.parametrize('text', BAD_SCRIPTS)
def test_wrong_scripts_name_the_line(text):
    # A step that is dropped silently would make a measurement void.
    assert script.parse('# ok\n%s' % text).failure().startswith('line 2: ')
