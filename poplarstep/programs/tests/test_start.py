"""Tests of what a node imports before it serves."""

import subprocess
import sys

import pytest

# Libraries of the command-line tools and of reports.
TOOLS = ('click', 'matplotlib', 'requests', 'tabulate')


@pytest.mark.parametrize('program', ['control', 'flow_agent', 'flow_balancer'])
def test_nodes_start_without_the_libraries_of_tools(program):
    """Guards against a longer gap in service at every restart."""
    listed = subprocess.run(
        [sys.executable, '-c',
         'import sys\n'
         'import poplarstep.programs.serving\n'
         'import poplarstep.programs.%s\n'
         'print(*sys.modules)' % program],
        capture_output=True, check=True, text=True)
    assert not set(TOOLS) & set(listed.stdout.split())
