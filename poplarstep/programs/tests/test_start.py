"""Tests of what a node imports before it serves."""

import subprocess
import sys

import pytest

# Libraries of the command-line tools, the reports and operators' statements.
LATE_LIBRARIES = ('click', 'lark', 'matplotlib', 'requests', 'tabulate')


@pytest.mark.parametrize('program', ['control', 'flow_agent', 'flow_balancer'])
def test_nodes_start_without_libraries_they_may_not_need(program):
    """Guards against slow imports, which lengthen every restart."""
    completed = subprocess.run(
        [sys.executable, '-c',
         'import sys\n'
         'import poplarstep.programs.serving\n'
         'import poplarstep.programs.%s\n'
         'print(*sys.modules)' % program],
        capture_output=True, check=True, text=True)
    assert not set(LATE_LIBRARIES) & set(completed.stdout.split())


def test_garbage_is_collected_after_the_start():
    """Guards against a launcher whose process never collects garbage."""
    completed = subprocess.run(
        [sys.executable, '-c',
         'import gc\n'
         'gc.disable()\n'
         'from poplarstep.programs import serving\n'
         'serving.enable_garbage_collection()\n'
         'print(gc.isenabled(), gc.get_freeze_count() > 1000)'],
        capture_output=True, check=True, text=True)
    assert completed.stdout.split() == ['True', 'True']
