r"""Runs a deployment on loopback and prints the outcomes of its flows."""

import itertools
import os
import sys
import tempfile
import time

import click
from gevent import pool
import tabulate

from standins import callers
from standins import deployment
from standins import fabric as fabrics
from standins import processes as processes_module
from standins import script

DEADLINE_MS = 15_000


class Demonstration:
    r"""Processes, fabric and callers of one run."""

    __slots__ = ('layout', 'processes', 'fabric', 'tally_by_service')

    def __init__(self, layout, processes, fabric):
        self.layout = layout
        self.processes = processes
        self.fabric = fabric
        self.tally_by_service = {
            item.name: callers.Tally() for item in layout.plan.services}


def make_demonstration(plan, folder, log, network):
    r"""Return a demonstration whose processes have not been started."""
    layout = deployment.make_layout(plan, folder, network)
    balancers = [
        layout.process_address(
            deployment.BALANCER, index, deployment.FRONT_PORT)
        for index in range(layout.balancers)]
    return Demonstration(
        layout, processes_module.make_processes(layout, log),
        fabrics.make_fabric(balancers, seed=1))


def start(demonstration):
    r"""Start all processes; return when balancers can select every target."""
    demonstration.processes.start_all()
    demonstration.processes.create_services()
    demonstration.processes.wait_selectable(
        len(demonstration.layout.indexed_targets()))
    for service in demonstration.layout.plan.services:
        demonstration.fabric.serve(
            demonstration.layout.service_address(service.name))


def run_flows(demonstration, flows, concurrency, requests_per_flow,
              pause_s=0.0):
    r"""Run flows to the services in rotation and wait for their end."""
    client = callers.Client(seed=2)
    client.start()
    workers = pool.Pool(concurrency)
    services = itertools.cycle(demonstration.layout.plan.services)
    for _ in range(flows):
        name = next(services).name
        workers.spawn(
            callers.run_flow, client, demonstration.tally_by_service[name],
            demonstration.layout.service_address(name), requests_per_flow,
            False, DEADLINE_MS, pause_s)
    workers.join()


def report(demonstration):
    r"""Print the tables; return the number of broken flows and wrong answers.

    Flows that ended because operators took their data centre out are "given
    up" and are not broken.
    """
    rows = [
        (name, tally.opened, tally.completed, tally.given_up, tally.broken,
         tally.refused, tally.answered, tally.mismatched)
        for name, tally in demonstration.tally_by_service.items()]
    click.echo(tabulate.tabulate(rows, headers=(
        'service', 'opened', 'completed', 'given up', 'broken', 'refused',
        'answers', 'wrong answers')))
    click.echo()
    click.echo(tabulate.tabulate(
        [(str(balancer), count) for balancer, count
         in demonstration.fabric.count_by_balancer.items()],
        headers=('balancer', 'packets')))
    click.echo()
    click.echo(tabulate.tabulate(
        [_target_row(demonstration, index, service) for index, service
         in demonstration.layout.indexed_targets()],
        headers=('target', 'flows opened', 'answered')))
    tallies = demonstration.tally_by_service.values()
    return sum(tally.broken + tally.mismatched for tally in tallies)


def _target_row(demonstration, index, service):
    status = demonstration.processes.status(
        demonstration.layout.process_address(
            deployment.AGENT, index, deployment.HTTP_PORT))
    name = '%s/%d' % (service.name, index)
    if status is None:
        return name, None, None
    count_by_name = {row[0]: row[2] for row in status['values']}
    return (
        name, count_by_name['agent_opened'],
        count_by_name['agent_answered'])


def fault_steps(kill, data_centre_out, after_s):
    r"""Return the script steps for the command-line options.

    All steps start ``after_s`` seconds after the start of the load.
    """
    actions = []
    if kill:
        actions.append('kill %s' % kill)
    if data_centre_out:
        actions.append('take data-centre %s out' % data_centre_out)
    return [script.Step(round(after_s * 1000), text) for text in actions]


@click.command()
@click.option('--deployment', 'name', default='nile-hood',
              type=click.Choice(sorted(deployment.PLAN_BY_NAME)))
@click.option('--flows', default=10_000)
@click.option('--concurrency', default=64)
@click.option('--requests', 'requests_per_flow', default=1)
@click.option('--kill', help='kill this process while flows run, for '
              'example balancer-0, control-0 or agent-0')
@click.option('--data-centre-out', help='take this data centre out while '
              'flows run')
@click.option('--after', default=2.0, help='seconds until these changes')
@click.option('--network', default=1, help='second octet of the addresses')
@click.option('--log', 'log_path', default=os.devnull)
def main(name, flows, concurrency, requests_per_flow, kill, data_centre_out,
         after, network, log_path):
    r"""Run a whole deployment on loopback."""
    with tempfile.TemporaryDirectory() as folder, \
            open(log_path, 'wb') as log:
        demonstration = make_demonstration(
            deployment.PLAN_BY_NAME[name], folder, log, network)
        try:
            started = time.monotonic()
            start(demonstration)
            click.echo('started in %.1f s' % (time.monotonic() - started))
            events = []
            script.play(
                fault_steps(kill, data_centre_out, after),
                demonstration.processes, events)
            load_started = time.monotonic()
            run_flows(demonstration, flows, concurrency, requests_per_flow)
            click.echo('%d flows in %.1f s' % (
                flows, time.monotonic() - load_started))
            for event in events:
                click.echo('%s: %s' % (event.text, event.outcome))
            failures = report(demonstration)
        finally:
            demonstration.processes.kill_all()
    sys.exit(1 if failures else 0)


if __name__ == '__main__':
    main()
