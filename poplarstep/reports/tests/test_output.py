"""Tests of the table, the dictionaries and the plot."""

import json
import math
import xml.etree.ElementTree

import pytest

from poplarstep.reports import burn
from poplarstep.reports import objective
from poplarstep.reports import plot
from poplarstep.reports import sample
from poplarstep.reports import table

OBJECTIVE = objective.parse('certs latency 99% under 200ms 30d').unwrap()
SAMPLES = [
    sample.Sample(
        'a', 'certs', step * 30000, step * 100, step * 80, 'latency')
    for step in range(121)]
REPORTS = burn.burn_over_time(
    SAMPLES, OBJECTIVE, 1800000, 3600000, step_ms=300000)


def test_table_shows_missing_data():
    """Guards against missing data that is shown as a low burn rate."""
    lines = table.render(REPORTS[-1:]).splitlines()
    assert len(lines) == 5
    assert 'certs' in lines[2] and 'latency 99% under 200ms 30d' in lines[2]
    assert '20.00' in lines[2] and lines[2].endswith('page')
    assert 'data missing (16% present)' in lines[3]
    assert 'data missing (1% present)' in lines[4]


def test_dictionary_survives_json():
    """Guards against values that JSON cannot hold."""
    found = table.dictionary(REPORTS[-1])
    assert json.loads(json.dumps(found, allow_nan=False)) == found
    assert found['state'] == 'page'
    assert found['budget_left'] is None
    assert found['rules'][0]['long']['burn_rate'] == 20.0
    assert found['rules'][2]['long']['burn_rate'] is None


def test_lines_have_gaps_where_data_is_missing():
    """Guards against a line that connects points across missing data."""
    points = plot.points_of_rules(REPORTS)[('1h / 5m, page at 14.4', 14.4)]
    assert math.isnan(points[0][1])
    assert points[-1] == (3600000, 20.0)


@pytest.mark.parametrize('reports', [REPORTS, REPORTS[:1]])
def test_svg_is_the_same_each_time(reports, tmp_path):
    """Guards against plots that differ although the data is the same."""
    for name in ('one.svg', 'two.SVG'):
        plot.save(reports, tmp_path / name).unwrap()
    data = (tmp_path / 'one.svg').read_bytes()
    assert data == (tmp_path / 'two.SVG').read_bytes()
    assert xml.etree.ElementTree.fromstring(data).tag.endswith('svg')


def test_png_is_written(tmp_path):
    """Guards against a format that the backend cannot write."""
    path = tmp_path / 'burn.png'
    plot.save(REPORTS, path).unwrap()
    assert path.read_bytes().startswith(b'\x89PNG')


@pytest.mark.parametrize('reports, name, message', [
    ([], 'burn.svg', 'no reports'),
    (REPORTS, 'burn.gif', "unknown plot format '.gif'; known: .png, .svg"),
    (REPORTS, 'absent/burn.svg', 'cannot be written'),
    (REPORTS + [REPORTS[0].replace(
        objective=OBJECTIVE.replace(required_share=0.9))],
     'burn.svg', 'one objective'),
])
def test_plots_that_cannot_be_written(reports, name, message, tmp_path):
    """Guards against an exception and a plot of several objectives."""
    assert message in plot.save(reports, tmp_path / name).failure()
