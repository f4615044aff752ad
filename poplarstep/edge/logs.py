r"""Log lines of key=value pairs with node, role and configuration version.

Explanation
===========

The code logs ``EVENT key=value ...``; the formatter prepends the pairs that
every line has. A value with blanks, equals signs, quotes or control
characters is written as a JSON string, so that it cannot break the line.
"""

import datetime
import json
import logging as standard_logging
import re
import sys

from absl import flags
from absl import logging

LIMIT_WINDOW_MS = 1000
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
        Returns the version of the node's configuration.
    """

    __slots__ = ('settings', 'version')

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


class Limiter:
    r"""Limits the log lines of each event to a number per second.

    The first line of the next second says how many lines were left out, so
    that a count of lines can be corrected.

    Examples
    ========

    >>> limiter = Limiter(lines_per_second=2)
    >>> [limiter.admit('refused', now=0) for _ in range(4)]
    [0, 0, None, None]
    >>> limiter.admit('refused', now=1000)
    2

    """

    __slots__ = ('lines_per_second', 'window_by_event')

    def __init__(self, lines_per_second):
        self.lines_per_second = lines_per_second
        self.window_by_event = {}

    def admit(self, event, now):
        r"""Return how many lines were left out before this one, or None.

        None means that this line is left out too. ``now`` is in ms.
        """
        # Start in ms, lines written, lines left out.
        window = self.window_by_event.get(event)
        if window is None or now - window[0] >= LIMIT_WINDOW_MS:
            left_out = window[2] if window else 0
            self.window_by_event[event] = [now, 1, 0]
            return left_out
        if window[1] < self.lines_per_second:
            window[1] += 1
            return 0
        window[2] += 1
        return None


def configure(settings):
    r"""Send log lines to stdout and return their ``Formatter``."""
    # absl warns at every start if its flags were not parsed; the settings
    # of the node are used instead of flags.
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.set_verbosity(settings['log-level'])
    # Otherwise each line would go to stderr as well.
    logging.set_stderrthreshold('fatal')
    formatter = Formatter(settings)
    handler = logging.get_absl_handler()
    handler.python_handler.stream = sys.stdout
    handler.setFormatter(formatter)
    return formatter
