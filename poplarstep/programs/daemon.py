r"""``poplarstepd``: runs one node."""

import os
import signal
import sys

from absl import logging
import click
import gevent
from gevent import event as gevent_event
from returns import result

import poplarstep
from poplarstep.core import registry
from poplarstep.edge import clock
from poplarstep.edge import logs
from poplarstep.programs import agent
from poplarstep.programs import balancer
from poplarstep.programs import control
from poplarstep.programs import node as nodes
from poplarstep.programs import settings
from poplarstep.programs import settings_page

EXIT_BAD_SETTINGS = 2
EXIT_CANNOT_START = 3
EXIT_CUT = 4
EXIT_FAILED = 5
LEAVE_CHECK_S = 0.05

BUILDERS = registry.Registry('role')
BUILDERS.register('control')(control.build)
BUILDERS.register('balancer')(balancer.build)
BUILDERS.register('agent')(agent.build)


def _with_settings(function):
    r"""Add one click option for each row of the settings table."""
    for item in reversed(settings.TABLE):
        text = item.help
        if item.unit:
            text += ' [%s]' % item.unit
        if item.default is not None:
            text += ' (default: %s)' % item.default
        function = click.option(
            item.flag, item.name.replace('-', '_'), metavar='TEXT',
            help=text)(function)
    return function


@click.group()
def main():
    r"""Run a node of poplarstep."""


@main.command()
def version():
    r"""Print the version."""
    click.echo(poplarstep.__version__)


@main.command('settings-page')
def print_settings_page():
    r"""Print docs/settings.md."""
    click.echo(settings_page.render(), nl=False)


@main.command('check-settings')
@_with_settings
def check_settings(**flags):
    r"""Check flags and environment and print the result."""
    read = _read(flags)
    for name, value in sorted(read.items()):
        shown = '(secret)' if name == 'cluster-key' else value
        click.echo('%s = %s' % (name, shown))


@main.command()
@_with_settings
def run(**flags):
    r"""Run one node until SIGTERM."""
    read = _read(flags)
    formatter = logs.configure(read)
    built = BUILDERS.entry_by_name[read['role']](read)
    if isinstance(built, result.Failure):
        click.echo('cannot start: %s' % built.failure(), err=True)
        sys.exit(EXIT_CANNOT_START)
    node = built.unwrap()
    formatter.version = lambda: node.status()['version']
    _serve(node)


def _read(flags):
    by_name = {
        name.replace('_', '-'): value for name, value in flags.items()}
    read = settings.read_settings(by_name, dict(os.environ))
    if isinstance(read, result.Failure):
        for fault in read.failure():
            click.echo(fault, err=True)
        sys.exit(EXIT_BAD_SETTINGS)
    return read.unwrap()


def _serve(node):
    r"""Wait for SIGTERM, then drain; a second SIGTERM ends at once."""
    logging.info('node-started data_centre=%s',
                 node.settings['data-centre'])
    asked = gevent_event.Event()
    asked_again = gevent_event.Event()

    def on_signal():
        (asked_again if asked.is_set() else asked).set()

    gevent.signal_handler(signal.SIGTERM, on_signal)
    gevent.signal_handler(signal.SIGINT, on_signal)
    gevent.wait([asked, node.failed], count=1)
    if node.failed.is_set():
        _fail(node)
    cut = _drain(node, asked_again)
    nodes.close(node)
    logging.info('node-stopped requests_cut=%d at_once=%s', cut,
                 'yes' if asked_again.is_set() else 'no')
    sys.exit(EXIT_CUT if cut else 0)


def _fail(node):
    r"""End a process of which a part has ended; nothing can be drained."""
    logging.error('node-failed exit_code=%d', EXIT_FAILED)
    logging.flush()
    os._exit(EXIT_FAILED)


def _drain(node, asked_again):
    r"""Return the number of requests that were cut."""
    logging.info('node-draining drain_time_ms=%d',
                 node.settings['drain-time'])
    node.ready = lambda: False
    drain = node.leave()
    deadline = clock.now_ms() + node.settings['drain-time']
    while clock.now_ms() < deadline and not drain.idle():
        if asked_again.wait(LEAVE_CHECK_S):
            break
        if node.failed.is_set():
            _fail(node)
    return drain.unfinished()


if __name__ == '__main__':
    main()
