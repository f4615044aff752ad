r"""Measures memory, processor time and control bytes of idle nodes.

Explanation
===========

A deployment on loopback runs without traffic for some seconds, while the
resource use of each process is measured. The row ``imports only`` shows the
memory of a Python process that has only imported the node program.
"""

import json
import statistics
import subprocess
import sys
import tempfile
import time

import click
import psutil
import tabulate

from standins import deployment
from standins import processes as processes_module

KINDS = (
    ('control', deployment.CONTROL),
    ('balancer', deployment.BALANCER),
    ('agent', deployment.AGENT),
)
BYTE_METRICS = ('control_link_received_bytes', 'control_link_sent_bytes')


class Reading:
    r"""Resource use of a process: memory and control traffic in bytes."""

    __slots__ = ('memory', 'cpu_s', 'control_bytes')

    def __init__(self, memory, cpu_s, control_bytes):
        self.memory = memory
        self.cpu_s = cpu_s
        self.control_bytes = control_bytes


def read(processes, name, http_address):
    r"""Return the ``Reading`` of one process."""
    process = psutil.Process(processes.child_by_name[name].pid)
    times = process.cpu_times()
    values = {
        row[0]: row[2] for row in processes.status(http_address)['values']}
    return Reading(
        process.memory_full_info().uss, times.user + times.system,
        sum(values[item] for item in BYTE_METRICS))


def interpreter_memory():
    r"""Return the memory of a process after its imports, in bytes."""
    code = (
        'import poplarstep.programs.daemon, psutil;'
        'print(psutil.Process().memory_full_info().uss)')
    return int(subprocess.run(
        [sys.executable, '-c', code], capture_output=True, check=True,
        text=True).stdout)


def measure(name, network, wait_s):
    r"""Return one row for each role."""
    with tempfile.TemporaryDirectory() as folder, \
            open('/dev/null', 'wb') as log:
        layout = deployment.make_layout(
            deployment.PLAN_BY_NAME[name], folder, network)
        processes = processes_module.make_processes(layout, log)
        try:
            processes.start_all()
            processes.create_services()
            processes.wait_selectable(len(layout.indexed_targets()))
            before = _read_all(processes, layout)
            time.sleep(wait_s)
            after = _read_all(processes, layout)
        finally:
            processes.kill_all()
    return [_row(role, before, after, wait_s) for role, _ in KINDS]


def _read_all(processes, layout):
    readings = {}
    for name in processes.child_by_name:
        role, _, index = name.partition('-')
        for kind_name, kind in KINDS:
            if role == kind_name:
                readings[name] = read(processes, name, layout.process_address(
                    kind, int(index), deployment.HTTP_PORT))
    return readings


def _row(role, before, after, wait_s):
    names = [name for name in after if name.startswith(role)]

    def rate(field):
        return statistics.mean(
            getattr(after[name], field) - getattr(before[name], field)
            for name in names) / wait_s

    return (
        role, len(names),
        round(statistics.mean(after[name].memory for name in names) / 1e6,
              1),
        round(100 * rate('cpu_s'), 2),
        round(rate('control_bytes')))


@click.command()
@click.option('--deployment', 'name', default='gulfline',
              type=click.Choice(sorted(deployment.PLAN_BY_NAME)))
@click.option('--network', default=12)
@click.option('--seconds', default=15.0)
@click.option('--output', type=click.Choice(['table', 'json']),
              default='table')
def main(name, network, seconds, output):
    r"""Measure idle nodes of each role in a deployment."""
    rows = measure(name, network, seconds)
    rows.append(('imports only', 1, round(interpreter_memory() / 1e6, 1),
                 None, None))
    columns = ('role', 'processes', 'memory MB', 'core %',
               'control bytes/s')
    if output == 'json':
        click.echo(json.dumps([dict(zip(columns, row)) for row in rows]))
    else:
        click.echo(tabulate.tabulate(rows, headers=columns))


if __name__ == '__main__':
    main()
