r"""``poplarstepd``: runs one node of any role."""

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
    r"""Add a click option for each row of the settings table."""
    for setting in reversed(settings.TABLE):
        help_text = setting.help
        if setting.unit:
            help_text += ' [%s]' % setting.unit
        if setting.default is not None:
            help_text += ' (default: %s)' % setting.default
        function = click.option(
            setting.flag, setting.name.replace('-', '_'), metavar='TEXT',
            help=help_text)(function)
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
    checked = _read(flags)
    for name, value in sorted(checked.items()):
        printed = '(secret)' if name == 'cluster-key' else value
        click.echo('%s = %s' % (name, printed))


@main.command()
@_with_settings
def run(**flags):
    r"""Run one node until SIGTERM."""
    checked = _read(flags)
    serving.serve(checked, BUILDERS.entry_by_name[checked['role']])


def _read(flags):
    r"""Return the checked settings, or print all faults and exit."""
    flag_by_name = {
        name.replace('_', '-'): value for name, value in flags.items()}
    checked = settings.read_settings(flag_by_name, dict(os.environ))
    if isinstance(checked, result.Failure):
        for fault in checked.failure():
            click.echo(fault, err=True)
        sys.exit(EXIT_BAD_SETTINGS)
    return checked.unwrap()


if __name__ == '__main__':
    main()
