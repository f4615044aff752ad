r"""Log lines of key=value pairs with node, role and configuration version.

Explanation
===========

A message of the program is ``EVENT key=value ...``; the formatter puts the
facts before it that every line has. A value with blanks, quotes or control
characters is written as a JSON string, so that a line stays one line.
"""

import datetime
import json
import logging as standard_logging
import re

from absl import flags
from absl import logging

PLAIN_PATTERN = re.compile(r'[^\s"=\x00-\x1f\x7f]+')


def pair(key, value):
    r"""Return one ``key=value``.

    Examples
    ========

    >>> pair('leader', 'control-1'), pair('reason', 'disk\nfull')
    ('leader=control-1', 'reason="disk\\nfull"')

    """
    text = str(value)
    if not PLAIN_PATTERN.fullmatch(text):
        text = json.dumps(text)
    return '%s=%s' % (key, text)


class Formatter(standard_logging.Formatter):
    r"""Formatter of a node's log lines.

    Parameters
    ==========

    settings : dict
        Settings of the node.

    Attributes
    ==========

    version : callable
        Returns the version of the configuration that the node holds.
    """

    def __init__(self, settings):
        super().__init__()
        self.settings = settings
        self.version = lambda: 0

    def format(self, entry):
        r"""Return the line of a log record."""
        time = datetime.datetime.fromtimestamp(
            entry.created, datetime.timezone.utc)
        event, _, rest = entry.getMessage().partition(' ')
        return ' '.join(filter(None, [
            time.strftime('time=%Y-%m-%dT%H:%M:%S.%fZ'),
            pair('level', entry.levelname.lower()),
            pair('node', self.settings['node']),
            pair('role', self.settings['role']),
            pair('configuration', self.version()),
            pair('event', event),
            rest.replace('\n', ' ')]))


def configure(settings):
    r"""Send log lines to stderr and return their ``Formatter``."""
    # absl warns on every start when its own flags were not parsed; the
    # settings table stands in for them.
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.set_verbosity(settings['log-level'])
    logging.set_stderrthreshold(settings['log-level'])
    formatter = Formatter(settings)
    logging.get_absl_handler().setFormatter(formatter)
    return formatter
