"""Tests of objectives and their text format."""

import hypothesis
from hypothesis import strategies
import pytest
from returns import result

from poplarstep.reports import objective


@pytest.mark.parametrize('text, expected', [
    ('dispatch availability 99.9% 30d',
     objective.Objective('dispatch', 'availability', 0.999, None, 30)),
    (' registry-api  latency 99% under 50ms 30d ',
     objective.Objective('registry-api', 'latency', 0.99, 50, 30)),
    ('availability latency 0.5% under 1h 1d',
     objective.Objective('availability', 'latency', 0.005, 3600000, 1)),
])
def test_accepted_forms(text, expected):
    """Guards against a share or threshold that is read in a wrong unit."""
    assert objective.parse(text) == result.Success(expected)


@pytest.mark.parametrize('text, message', [
    ('', 'found the end, allowed: a name'),
    ('dispatch', 'found the end, allowed: availability, latency'),
    ('dispatch uptime 99% 30d',
     "found 'uptime', allowed: availability, latency"),
    ('dispatch availability 100% 30d', "found '100%', allowed: a share"),
    ('dispatch availability 0% 30d', 'above 0% and below 100%'),
    ('dispatch availability 0.999 30d', "found '0.999', allowed: a share"),
    ('dispatch availability 99.1234567% 30d', 'at most 6 decimals'),
    ('dispatch availability 99% 0d', "found '0d', allowed: 1d-90d"),
    ('dispatch availability 99% 91d', "found '91d', allowed: 1d-90d"),
    ('dispatch availability 99% under 50ms 30d',
     "found 'under', allowed: 1d-90d"),
    ('dispatch latency 99% 30d', "found '30d', allowed: under"),
    ('dispatch latency 99% under 0ms 30d', 'above 0'),
    ('dispatch latency 99% under 50 30d', "found '50', allowed: a duration"),
    ('dispatch availability 99% 30d 1', "found '1', allowed: the end"),
    ('dis_patch availability 99% 30d', "found 'dis_patch', allowed: a name"),
])
def test_invalid_objectives(text, message):
    """Guards against an invalid objective that is accepted."""
    assert message in objective.parse(text).failure()


@hypothesis.given(
    strategies.integers(1, 10**8 - 1), strategies.integers(1, 90),
    strategies.none() | strategies.integers(1, 86400000))
def test_format_and_parse_are_inverse(share_units, days, threshold_ms):
    """Guards against a share that changes when it is saved as text."""
    generated = objective.Objective(
        'certs', 'latency' if threshold_ms else 'availability',
        share_units / 10**8, threshold_ms, days)
    text = objective.format_objective(generated)
    assert objective.parse(text) == result.Success(generated)
    assert generated.error_budget() > 0


@hypothesis.given(strategies.text())
def test_any_text_gives_a_result(text):
    """Guards against an exception that ends the process."""
    assert isinstance(
        objective.parse_list(text), (result.Success, result.Failure))


@pytest.mark.parametrize('text, expected', [
    ('# goals\n\ncerts availability 99% 7d # weekly\n'
     'certs latency 95% under 1s 7d', 2),
    ('certs availability 99% 7d\ncerts availability 98% 7d',
     "line 2: service 'certs' already has an objective of kind"),
    ('certs availability 99% 7d\n\ncerts latency', 'line 3: found the end'),
])
def test_lists(text, expected):
    """Guards against two objectives that share their samples."""
    outcome = objective.parse_list(text)
    if isinstance(expected, int):
        assert len(outcome.unwrap()) == expected
    else:
        assert expected in outcome.failure()
