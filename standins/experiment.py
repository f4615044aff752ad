r"""Drives a deployment at a rate, applies a script, and reports.

Explanation
===========

Flows arrive independently of what became of earlier ones. A request
succeeds when it is answered before its deadline; the flows of a data centre
that was taken out are given up and counted apart.
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
SECONDS_AFTER = 1.0
OUT_PATTERN = re.compile(r'take data-centre (\S+) (out|in)')
PACKETS_AT_AGENT = 'front_received'


class Mix:
    r"""How flows arrive: rate in 1/s, shares by service, and their shape."""

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


def load(demonstration, recorder, mix, seconds, seed):
    r"""Start flows for some seconds and wait for their end."""
    generator = random.Random(seed)
    client = callers.Client(seed)
    client.start()
    group = pool.Group()
    for service, tally in demonstration.tally_by_service.items():
        tally.observe = (
            lambda what, at, elapsed_ms=None, service=service:
            recorder.observe(service, what, at, elapsed_ms))
    names = list(mix.share_by_service)
    shares = list(mix.share_by_service.values())
    due = clock.now_ms()
    end = due + seconds * clock.MILLISECONDS_PER_SECOND
    while due < end:
        due += (generator.expovariate(mix.rate)
                * clock.MILLISECONDS_PER_SECOND)
        gevent.sleep(
            max(0, due - clock.now_ms()) / clock.MILLISECONDS_PER_SECOND)
        name = generator.choices(names, shares)[0]
        group.add(gevent.spawn(
            callers.run_flow, client, demonstration.tally_by_service[name],
            demonstration.layout.service_address(name), mix.requests,
            mix.idempotent, mix.deadline_ms, mix.pause_s))
    group.join()


def sample_forever(demonstration, recorder):
    r"""Sample the packets that the agents have received."""
    places = [
        (index, demonstration.layout.place(
            deployment.AGENT, index, deployment.HTTP_PORT))
        for index, _ in demonstration.layout.target_places()]

    def read():
        counts = {}
        for index, place in places:
            status = demonstration.processes.status(place)
            if status is not None:
                counts[index] = next(
                    row[2] for row in status['values']
                    if row[0] == PACKETS_AT_AGENT)
        return counts

    while True:
        counts = gevent.get_hub().threadpool.apply(read)
        recorder.sample(clock.now_ms(), counts)
        gevent.sleep(SAMPLE_PERIOD_S)


def data_centres_out(layout, events, samples):
    r"""Return the time to the last packet of each data centre taken out."""
    found = []
    for position, event in enumerate(events):
        match = OUT_PATTERN.match(event.text)
        if match is None or match[2] == 'in' or event.outcome != 'applied':
            continue
        until = next((
            later.started for later in events[position + 1:]
            if later.text.startswith('take data-centre %s in' % match[1])),
            samples[-1][0])
        agents = [index for index, _ in layout.target_places()
                  if layout.data_centre(index) == match[1]]
        found.append({
            'data_centre': match[1],
            'command_ms': event.ended - event.started,
            'last_packet_ms': recorders.last_packet_ms(
                samples, agents, event.ended, until)})
    return found


def run(demonstration, mix, seconds, warm_up, steps, seed):
    r"""Run an experiment; return its ``Recorder`` and the events.

    The script and the record start after ``warm_up`` seconds under load.
    """
    recorder = recorders.Recorder(
        clock.now_ms() + warm_up * clock.MILLISECONDS_PER_SECOND)
    events = []
    sampler = gevent.spawn(sample_forever, demonstration, recorder)
    loading = gevent.spawn(
        load, demonstration, recorder, mix, warm_up + seconds, seed)
    gevent.sleep(warm_up)
    playing = scripts.play(steps, demonstration.processes, events)
    loading.get()
    playing.join()
    gevent.sleep(SECONDS_AFTER)
    sampler.kill()
    return recorder, events


def summary(demonstration, recorder, events):
    r"""Return the results as a dictionary of JSON types."""
    layout = demonstration.layout
    load_by_agent = recorders.load_by_second(
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
            '%s/%d' % (service.name, index): load_by_agent.get(index, [])
            for index, service in layout.target_places()},
    }


def show(found):
    r"""Print the tables of a summary."""
    kinds = (recorders.ANSWERED, recorders.FAILED, recorders.GIVEN_UP,
             recorders.REFUSED, recorders.BROKEN)
    click.echo(tabulate.tabulate([
        (item['service'], '-' if item['success'] is None
         else '%.4f%%' % (100 * item['success']), item['median_ms'],
         item['p99_ms'], item['largest_ms'],
         *(item['counts'].get(kind, 0) for kind in kinds))
        for item in found['totals']],
        headers=('service', 'success', 'median ms', 'p99 ms', 'largest ms',
                 *kinds), disable_numparse=True))
    for title in ('events', 'data_centres_out'):
        if found[title]:
            click.echo('\n' + tabulate.tabulate(found[title], headers='keys'))


def write(folder, found, drawn):
    r"""Write result.json, plot.svg and plot.png into a folder."""
    os.makedirs(folder, exist_ok=True)
    with open(os.path.join(folder, 'result.json'), 'w') as file:
        json.dump(found, file, indent=1)
    for name in ('plot.svg', 'plot.png'):
        drawn.savefig(os.path.join(folder, name))


def _shares(context, parameter, text):
    pairs = [item.partition('=') for item in text.split(',') if item]
    try:
        return {name: float(share) for name, _, share in pairs}
    except ValueError:
        raise click.BadParameter('%r is not SERVICE=SHARE,...' % text)


def _steps(context, parameter, text):
    parsed = scripts.parse(text.replace(';', '\n'))
    if isinstance(parsed, result.Failure):
        raise click.BadParameter(parsed.failure())
    return parsed.unwrap()


@click.command()
@click.option('--deployment', 'name', default='gulfline',
              type=click.Choice(sorted(deployment.PLAN_BY_NAME)))
@click.option('--seconds', default=20, help='how long flows arrive')
@click.option('--warm-up', default=0,
              help='seconds under load before the record and the script')
@click.option('--rate', default=100.0, help='new flows per second')
@click.option('--mix', 'shares', default='', callback=_shares,
              help='SERVICE=SHARE,... (default: equal shares)')
@click.option('--requests', default=5, help='requests of a flow')
@click.option('--pause', default=0.2, help='seconds after each request')
@click.option('--deadline', default=2000, help='ms for each request')
@click.option('--idempotent/--once', default=False)
@click.option('--script', 'steps', default='', callback=_steps,
              help='SECONDS ACTION;... as in standins/script.py')
@click.option('--network', default=1, help='second part of the addresses')
@click.option('--seed', default=1)
@click.option('--out', default='out/experiment', help='folder for results')
@click.option('--log', 'log_path', default=os.devnull)
def main(name, seconds, warm_up, rate, shares, requests, pause, deadline,
         idempotent, steps, network, seed, out, log_path):
    r"""Measure a deployment on loopback under a script of changes."""
    plan = deployment.PLAN_BY_NAME[name]
    mix = Mix(rate, shares or {item.name: 1 for item in plan.services},
              requests, pause, deadline, idempotent)
    with tempfile.TemporaryDirectory() as folder, \
            open(log_path, 'wb') as log:
        demonstration = demo.make_demonstration(plan, folder, log, network)
        try:
            demo.start(demonstration)
            recorder, events = run(
                demonstration, mix, seconds, warm_up, steps, seed)
        finally:
            demonstration.processes.kill_all()
    found = summary(demonstration, recorder, events)
    show(found)
    write(out, found, experiment_plot.draw(
        recorder, events, found['packets_by_target']))
    wrong = sum(item['counts'].get(recorders.BROKEN, 0)
                for item in found['totals'])
    sys.exit(1 if wrong else 0)


if __name__ == '__main__':
    main()
