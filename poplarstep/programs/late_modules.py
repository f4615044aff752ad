r"""Modules that are imported at the start but not used by every node.

Explanation
===========

``defer`` registers the modules of a table without running them, and the first
access to an attribute of a module runs it. The importers of a module in the
table use it inside functions only. A node imports no submodule of a package
in the table before the package has run.

``importlib.util.LazyLoader`` is not used: with Python 3.11 the second import
of a module runs it.
"""

import importlib.util
import sys
import types

# For each module: who imports it at the start, and what for.
DEFERRED = {
    'asyncio': 'pynng, for asynchronous calls',
    'calendar': 'email, to parse dates',
    'csv': 'absl.flags, to parse lists',
    'getpass': 'absl.logging, to name log files',
    'hashlib': 'poplarstep, for flow tokens and the choice of an upstream',
    'shutil': 'absl.flags, for the width of a terminal',
    'sniffio': 'pynng, for asynchronous calls',
    'ssl': 'http.client, for HTTPS connections',
    'statistics': 'poplarstep, for medians of reports and service times',
    'tempfile': 'absl.logging and importlib.resources, for files',
    'timeit': 'absl.logging, to limit log lines by time',
}


class DeferredModule(types.ModuleType):
    r"""Module that runs at the first access to one of its attributes."""

    def __getattr__(self, name):
        # From here on it is an ordinary module.
        self.__class__ = types.ModuleType
        self.__spec__.loader.exec_module(self)
        return getattr(self, name)


def defer():
    r"""Register the modules of the table that are not imported yet."""
    for name in DEFERRED:
        if name not in sys.modules:
            module = importlib.util.module_from_spec(
                importlib.util.find_spec(name))
            module.__class__ = DeferredModule
            sys.modules[name] = module
