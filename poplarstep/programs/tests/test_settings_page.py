"""Tests of the settings page and the settings files of deployments."""

import pathlib

import pytest
from returns import result

from poplarstep.programs import settings
from poplarstep.programs import settings_page

ROOT = pathlib.Path(__file__).parents[3]
FILES = sorted((ROOT / 'deployments').glob('*/*.env'))


def test_page_is_up_to_date():
    # Otherwise operators read other values than processes use.
    page = (ROOT / 'docs' / 'settings.md').read_text()
    assert page == settings_page.render()


def test_each_role_of_both_deployments_has_a_file():
    """Guards against a role without a settings file."""
    assert [str(item.relative_to(ROOT / 'deployments')) for item in FILES] \
        == ['%s/%s.env' % (name, role) for name in ('gulfline', 'nile-hood')
            for role in sorted(settings.ROLES)]


@pytest.mark.parametrize('path', FILES, ids=lambda item: item.stem)
def test_files_of_the_deployments_pass_the_check(path):
    # A file with an outdated setting name would prevent a restart.
    lines = [line for line in path.read_text().splitlines()
             if line and not line.startswith('#')]
    environment = dict(line.split('=', 1) for line in lines)
    assert len(environment) == len(lines)
    outcome = settings.read_settings({}, environment)
    assert isinstance(outcome, result.Success), outcome
    assert outcome.unwrap()['role'] == path.stem
