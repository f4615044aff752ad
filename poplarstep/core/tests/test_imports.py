"""Test that only the folders edge and programs do input and output.

The other modules decide, and must run without sockets and threads.
"""

import ast
import pathlib

import pytest

import poplarstep

ROOT = pathlib.Path(poplarstep.__file__).parent
EXEMPT_FOLDERS = {'edge', 'programs', 'tests'}
FORBIDDEN = {
    'aioprometheus', 'gevent', 'geventhttpclient', 'msgspec', 'pynng',
    'requests', 'select', 'socket', 'threading',
}
DECISION_MODULES = sorted(
    path.relative_to(ROOT).as_posix() for path in ROOT.rglob('*.py')
    if not EXEMPT_FOLDERS & set(path.relative_to(ROOT).parts))


def imported_names(source):
    """Return the full names that a module's source imports."""
    names = []
    for node in ast.walk(ast.parse(source)):
        if isinstance(node, ast.Import):
            names.extend(alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            names.extend(
                '%s.%s' % (node.module, alias.name) for alias in node.names)
    return names


def is_forbidden(name):
    """Return whether a decision module may not import a name."""
    return name.split('.')[0] in FORBIDDEN or (
        name.startswith(('poplarstep.edge', 'poplarstep.programs')))


@pytest.mark.parametrize('module', DECISION_MODULES)
def test_decision_module_imports_no_input_or_output(module):
    """Guards against decisions that cannot run without sockets."""
    names = imported_names((ROOT / module).read_text())
    assert [name for name in names if is_forbidden(name)] == []


@pytest.mark.parametrize('source, forbidden', [
    ('import gevent', True),
    ('from gevent import queue', True),
    ('from poplarstep import edge', True),
    ('from poplarstep.edge import codec', True),
    ('from poplarstep.requests import message', False),
])
def test_check_finds_forbidden_imports(source, forbidden):
    """Guards against an import check that misses a form of import."""
    assert any(map(is_forbidden, imported_names(source))) is forbidden
