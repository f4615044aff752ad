"""Tests of the operators' tool."""

import json

from click import testing
import pytest

from poplarstep.programs import burn
from poplarstep.programs import survey
from poplarstep.programs import tool

APPLIED = {'status': 'applied', 'version': 4, 'reason': '', 'leader': ''}
REFUSED = {'status': 'refused', 'version': 4, 'reason': 'stale',
           'leader': ''}
NOT_LEADER = {'status': 'not-taken', 'version': 4, 'reason': 'not-leader',
              'leader': 'control-1'}
NOT_ANSWERED = {'status': 'not-taken', 'version': 4,
                'reason': 'host-not-answered-yet', 'leader': ''}
UNKNOWN = {'status': 'unknown', 'version': 4, 'reason': 'leadership was '
           'lost', 'leader': ''}
FULL = {'status': 'not-taken', 'version': 4, 'reason': 'in-flight-full',
        'leader': ''}
SHOWN = {'columns': ['version'], 'rows': [[4]], 'current': True,
         'leader': 'c', 'version': 4}
STALE = {**SHOWN, 'current': False}
STATUS = {
    'node': 'certs/1', 'role': 'agent', 'flows': 3, 'values': [
        ['agent_refused_not_run', {}, 2],
        ['requests_total', {'service': 'certs'}, 10],
        ['requests_good', {'service': 'certs'}, 9],
        ['requests_late', {'service': 'certs'}, 1]]}
COMMAND = 'take data-centre gs-a out'

# Statement, successive replies (None: no reply; the last one repeats), exit
# code, text in the output.
CASES = (
    (COMMAND, [APPLIED], 0, 'applied'),
    (COMMAND, [REFUSED], 1, 'stale'),
    (COMMAND, [NOT_LEADER, None, APPLIED], 0, 'applied'),
    (COMMAND, [NOT_ANSWERED, None, APPLIED], 0, 'applied'),
    (COMMAND, [NOT_ANSWERED, FULL], 1, 'in-flight-full'),
    (COMMAND, [{'error': 'not a command'}], 2, 'not a command'),
    (COMMAND, [UNKNOWN], 3, '--client me --sequence 7'),
    (COMMAND, [NOT_LEADER], 1, 'no control host accepted'),
    (COMMAND, [FULL], 1, 'in-flight-full'),
    (COMMAND, [UNKNOWN, FULL], 3, '--client me --sequence 7'),
    (COMMAND, [UNKNOWN, FULL, REFUSED], 1, 'stale'),
    (COMMAND, [None], 4, 'no control host'),
    ('take data-centre', [], 2, 'line 1'),
    ('show version', [SHOWN], 0, '4'),
    ('show version', [STALE], 3, '4'),
    ('show version', [None], 4, 'no control host'),
    ('wait version 4 for 1s', [None], 4, 'no control host'),
    ('show flows', [], 0, '"rows": [["certs/1", "agent", "flows", 3]]'),
    ('show refusals', [], 0, 'agent_refused_not_run'),
    ('show burn', [], 2, 'needs --history'),
)


@pytest.mark.parametrize('text, replies, code, shown', CASES)
def test_exit_codes_tell_outcomes_apart(
        monkeypatch, text, replies, code, shown):
    # A script decides by the exit code whether to send a command again.
    remaining = list(replies)
    sent = []

    def post(control, path, body):
        sent.append(json.loads(body))
        return remaining.pop(0) if len(remaining) > 1 else remaining[0]

    monkeypatch.setattr(tool, '_post', post)
    monkeypatch.setattr(survey, 'read_status', lambda address: STATUS)
    outcome = testing.CliRunner().invoke(tool.main, [
        '--control', '127.0.0.1:1', '--nodes', '127.0.0.1:2', '--timeout',
        '0.3', '--client', 'me', '--sequence', '7', '--output', 'json',
        text])
    assert outcome.exit_code == code, outcome.output
    assert shown in outcome.output
    if sent and text == COMMAND:
        # With another client or sequence a resend could be applied twice.
        assert {(item['client'], item['sequence']) for item in sent} == {
            ('me', 7)}


def test_burn_says_that_data_are_missing(monkeypatch, tmp_path):
    """Guards against a burn rate that ignores missing samples."""
    monkeypatch.setattr(survey, 'read_status', lambda address: STATUS)
    history = str(tmp_path / 'history')
    objectives = tmp_path / 'objectives'
    objectives.write_text('certs availability 99.9% 30d\n')
    run = testing.CliRunner().invoke
    collected = run(burn.main, [
        'collect', '--nodes', '127.0.0.1:2', '--history', history,
        '--count', '2', '--period', '0.01'])
    assert collected.exit_code == 0, collected.output
    report = ['report', '--history', history, '--objectives',
              str(objectives)]
    found = run(burn.main, report + [
        '--output', 'json', '--plot', str(tmp_path / 'burn.svg')])
    assert found.exit_code == 0, found.output
    assert json.loads(found.output)[0]['state'] == 'data missing'
    assert b'<svg' in (tmp_path / 'burn.svg').read_bytes()[:400]
    assert 'data missing' in run(burn.main, report).output
