r"""``poplarstepd``: runs one node."""

import os
import sys

import click
from returns import result

import poplarstep
from poplarstep.core import registry
from poplarstep.programs import agent
from poplarstep.programs import balancer
from poplarstep.programs import control
from poplarstep.programs import flow_agent
from poplarstep.programs import flow_balancer
from poplarstep.programs import serving
from poplarstep.programs import settings
from poplarstep.programs import settings_page

EXIT_BAD_SETTINGS = 2

BUILDERS = registry.Registry('role')
BUILDERS.register('control')(control.build)
BUILDERS.register('balancer')(balancer.build)
BUILDERS.register('agent')(agent.build)
BUILDERS.register('flow-balancer')(flow_balancer.build)
BUILDERS.register('flow-agent')(flow_agent.build)


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
    serving.serve(read, BUILDERS.entry_by_name[read['role']])


def _read(flags):
    by_name = {
        name.replace('_', '-'): value for name, value in flags.items()}
    read = settings.read_settings(by_name, dict(os.environ))
    if isinstance(read, result.Failure):
        for fault in read.failure():
            click.echo(fault, err=True)
        sys.exit(EXIT_BAD_SETTINGS)
    return read.unwrap()


if __name__ == '__main__':
    main()
