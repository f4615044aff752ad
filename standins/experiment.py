r"""Measures a deployment under load while a script changes it.

Explanation
===========

The load is an open loop: flows arrive at a given rate, whatever the outcome
of earlier flows. A request succeeds when it is answered before its deadline.
Flows that end because their data centre was taken out are given up; they
are counted separately.
"""

import json
import os
import random
import re
import sys
import tempfile

import click
import gevent
from gevent import pool
from returns import result
import tabulate

from poplarstep.edge import clock
from standins import callers
from standins import demo
from standins import deployment
from standins import experiment_plot
from standins import recorder as recorders
from standins import script as scripts

SAMPLE_PERIOD_S = 0.2
# Time for the last samples after the end of all flows.
SETTLE_S = 1.0
DATA_CENTRE_STATEMENT = re.compile(r'take data-centre (\S+) (out|in)')
RECEIVED_COUNTER = 'front_received'


class Workload:
    r"""Arrival rate of flows, their services and their requests.

    Parameters
    ==========

    rate : float
        New flows per second; the times between them are exponential.
    share_by_service : dict
        Weight of each service in the choice of the next flow's service.
    requests, pause_s : int, float
        Requests of a flow, and the pause after each.
    deadline_ms : int
        Time limit for opening a flow and for each request.
    idempotent : bool
        Whether the requests are marked as idempotent.
    """

    __slots__ = (
        'rate', 'share_by_service', 'requests', 'pause_s', 'deadline_ms',
        'idempotent')

    def __init__(self, rate, share_by_service, requests, pause_s,
                 deadline_ms, idempotent):
        self.rate = rate
        self.share_by_service = share_by_service
        self.requests = requests
        self.pause_s = pause_s
        self.deadline_ms = deadline_ms
        self.idempotent = idempotent


def generate_load(demonstration, recorder, workload, seconds, seed):
    r"""Start flows for ``seconds`` and wait for their end."""
    generator = random.Random(seed)
    client = callers.Client(seed)
    client.start()
    group = pool.Group()
    for service, tally in demonstration.tally_by_service.items():
        tally.observe = (
            lambda outcome, started_at, latency_ms=None, service=service:
            recorder.observe(service, outcome, started_at, latency_ms))
    names = list(workload.share_by_service)
    shares = list(workload.share_by_service.values())
    start_at = clock.now_ms()
    end = start_at + seconds * clock.MILLISECONDS_PER_SECOND
    while start_at < end:
        start_at += (generator.expovariate(workload.rate)
                     * clock.MILLISECONDS_PER_SECOND)
        gevent.sleep(
            max(0, start_at - clock.now_ms()) / clock.MILLISECONDS_PER_SECOND)
        name = generator.choices(names, shares)[0]
        group.add(gevent.spawn(
            callers.run_flow, client, demonstration.tally_by_service[name],
            demonstration.layout.service_address(name), workload.requests,
            workload.idempotent, workload.deadline_ms, workload.pause_s))
    group.join()


def sample_periodically(demonstration, recorder):
    r"""Sample the number of packets received by each agent until killed."""
    addresses = [
        (index, demonstration.layout.process_address(
            deployment.AGENT, index, deployment.HTTP_PORT))
        for index, _ in demonstration.layout.indexed_targets()]

    def read():
        counts = {}
        for index, address in addresses:
            status = demonstration.processes.status(address)
            if status is not None:
                counts[index] = next(
                    row[2] for row in status['values']
                    if row[0] == RECEIVED_COUNTER)
        return counts

    while True:
        counts = gevent.get_hub().threadpool.apply(read)
        recorder.sample(clock.now_ms(), counts)
        gevent.sleep(SAMPLE_PERIOD_S)


def data_centres_out(layout, events, samples):
    r"""Return the time to the last packet of each data centre taken out.

    The time counts from the outcome of the command, up to the command that
    puts the data centre back in or the last sample.
    """
    measured = []
    for position, event in enumerate(events):
        match = DATA_CENTRE_STATEMENT.match(event.text)
        if match is None or match[2] == 'in' or event.outcome != 'applied':
            continue
        until = next((
            later.started for later in events[position + 1:]
            if later.text.startswith('take data-centre %s in' % match[1])),
            samples[-1][0])
        agents = [index for index, _ in layout.indexed_targets()
                  if layout.data_centre(index) == match[1]]
        measured.append({
            'data_centre': match[1],
            'command_ms': event.ended - event.started,
            'last_packet_ms': recorders.last_packet_ms(
                samples, agents, event.ended, until)})
    return measured


def run(demonstration, workload, seconds, warm_up, steps, seed):
    r"""Run an experiment; return its ``Recorder`` and the events.

    The script and the record start after ``warm_up`` seconds under load.
    """
    recorder = recorders.Recorder(
        clock.now_ms() + warm_up * clock.MILLISECONDS_PER_SECOND)
    events = []
    sampler = gevent.spawn(sample_periodically, demonstration, recorder)
    loading = gevent.spawn(
        generate_load, demonstration, recorder, workload, warm_up + seconds,
        seed)
    gevent.sleep(warm_up)
    playing = scripts.play(steps, demonstration.processes, events)
    loading.get()
    playing.join()
    gevent.sleep(SETTLE_S)
    sampler.kill()
    return recorder, events


def summary(demonstration, recorder, events):
    r"""Return the results as a dictionary that JSON can encode."""
    layout = demonstration.layout
    packets_by_agent = recorders.packets_by_second(
        recorder.samples, recorder.started)
    return {
        'deployment': layout.plan.name,
        'events': [
            {'text': event.text, 'outcome': event.outcome,
             'started_ms': event.started - recorder.started,
             'ended_ms': event.ended - recorder.started}
            for event in events],
        'totals': recorders.totals(recorder),
        'data_centres_out': data_centres_out(
            layout, events, recorder.samples),
        'reasons': {
            name: dict(tally.reasons) for name, tally
            in demonstration.tally_by_service.items()},
        'seconds': recorders.rows(recorder),
        'packets_by_target': {
            '%s/%d' % (service.name, index): packets_by_agent.get(index, [])
            for index, service in layout.indexed_targets()},
    }


def show(results):
    r"""Print a summary as tables."""
    outcomes = (recorders.ANSWERED, recorders.FAILED, recorders.GIVEN_UP,
                recorders.REFUSED, recorders.BROKEN)
    click.echo(tabulate.tabulate([
        (item['service'], '-' if item['success'] is None
         else '%.4f%%' % (100 * item['success']), item['median_ms'],
         item['p99_ms'], item['largest_ms'],
         *(item['counts'].get(outcome, 0) for outcome in outcomes))
        for item in results['totals']],
        headers=('service', 'success', 'median ms', 'p99 ms', 'largest ms',
                 *outcomes), disable_numparse=True))
    for title in ('events', 'data_centres_out'):
        if results[title]:
            click.echo('\n' + tabulate.tabulate(
                results[title], headers='keys'))


def write(folder, results, plot):
    r"""Write result.json, plot.svg and plot.png into a folder."""
    os.makedirs(folder, exist_ok=True)
    with open(os.path.join(folder, 'result.json'), 'w') as file:
        json.dump(results, file, indent=1)
    for name in ('plot.svg', 'plot.png'):
        plot.savefig(os.path.join(folder, name))


def _parse_shares(context, parameter, text):
    pairs = [item.partition('=') for item in text.split(',') if item]
    try:
        return {name: float(share) for name, _, share in pairs}
    except ValueError:
        raise click.BadParameter(
            '%r is not of the form SERVICE=SHARE,...' % text)


def _parse_steps(context, parameter, text):
    parsed = scripts.parse(text.replace(';', '\n'))
    if isinstance(parsed, result.Failure):
        raise click.BadParameter(parsed.failure())
    return parsed.unwrap()


@click.command()
@click.option('--deployment', 'name', default='gulfline',
              type=click.Choice(sorted(deployment.PLAN_BY_NAME)))
@click.option('--seconds', default=20,
              help='seconds during which flows arrive')
@click.option('--warm-up', default=0,
              help='seconds under load before the record and the script')
@click.option('--rate', default=100.0, help='new flows per second')
@click.option('--mix', 'shares', default='', callback=_parse_shares,
              help='SERVICE=SHARE,... (default: equal shares)')
@click.option('--requests', default=5, help='requests per flow')
@click.option('--pause', default=0.2, help='seconds after each request')
@click.option('--deadline', default=2000,
              help='time limit in ms of each request')
@click.option('--idempotent/--once', default=False)
@click.option('--script', 'steps', default='', callback=_parse_steps,
              help='SECONDS ACTION;... as in standins/script.py')
@click.option('--network', default=1, help='second octet of the addresses')
@click.option('--seed', default=1)
@click.option('--out', default='out/experiment', help='folder for results')
@click.option('--log', 'log_path', default=os.devnull)
def main(name, seconds, warm_up, rate, shares, requests, pause, deadline,
         idempotent, steps, network, seed, out, log_path):
    r"""Measure a deployment on loopback under a script of changes."""
    plan = deployment.PLAN_BY_NAME[name]
    workload = Workload(
        rate, shares or {item.name: 1 for item in plan.services}, requests,
        pause, deadline, idempotent)
    with tempfile.TemporaryDirectory() as folder, \
            open(log_path, 'wb') as log:
        demonstration = demo.make_demonstration(plan, folder, log, network)
        try:
            demo.start(demonstration)
            recorder, events = run(
                demonstration, workload, seconds, warm_up, steps, seed)
        finally:
            demonstration.processes.kill_all()
    results = summary(demonstration, recorder, events)
    show(results)
    write(out, results, experiment_plot.draw(
        recorder, events, results['packets_by_target']))
    broken = sum(item['counts'].get(recorders.BROKEN, 0)
                 for item in results['totals'])
    sys.exit(1 if broken else 0)


if __name__ == '__main__':
    main()
