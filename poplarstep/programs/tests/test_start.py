"""Tests of what a node imports before it serves."""

import subprocess
import sys

import pytest

# Libraries that only the command-line tools and the reports use.
TOOL_LIBRARIES = ('click', 'matplotlib', 'requests', 'tabulate')


@pytest.mark.parametrize('program', ['control', 'flow_agent', 'flow_balancer'])
def test_nodes_start_without_the_libraries_of_tools(program):
    """Guards against slow imports, which lengthen every restart."""
    completed = subprocess.run(
        [sys.executable, '-c',
         'import sys\n'
         'import poplarstep.programs.serving\n'
         'import poplarstep.programs.%s\n'
         'print(*sys.modules)' % program],
        capture_output=True, check=True, text=True)
    assert not set(TOOL_LIBRARIES) & set(completed.stdout.split())
