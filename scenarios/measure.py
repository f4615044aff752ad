r"""Measures the memory of an agent's flows and the time of its expiry tick.

Explanation
===========

The agent's state and stage run without sockets.
"""

import time
import tracemalloc

import click

from poplarstep.configuration import catalogue
from poplarstep.core import address
from poplarstep.core import timer
from poplarstep.requests import expiry
from poplarstep.requests import ownership
from poplarstep.requests import state as states

IDLE_MS = 3_600_000


def make_agent_with_flows(count):
    r"""Return the state of an agent with ``count`` open flows."""
    agent = states.make_agent_state(
        'agent', 'maadi', address.Address('10.2.0.1', 1), 1,
        catalogue.Catalogue())
    for serial in range(count):
        caller = address.Address(
            '10.5.%d.%d' % (serial // 250 % 250, serial % 250), serial % 60000)
        agent.flow_by_serial[serial] = states.Flow(serial, caller, serial)
        agent.serial_by_opener[caller, serial] = serial
    return agent


def tick_ms(agent, now):
    r"""Return the time of one expiry tick in ms."""
    started = time.perf_counter()
    ownership.REQUESTS.process(agent, timer.Tick(expiry.TICK), now)
    return (time.perf_counter() - started) * 1000


@click.command()
@click.option('--flows', default=300_000)
def main(flows):
    r"""Print the bytes per flow and the times of expiry ticks."""
    agent = make_agent_with_flows(flows)
    click.echo('tick, no flow expires: %.3f ms' % tick_ms(agent, flows))
    click.echo('tick, all flows expire: %.1f ms, %d flows left' % (
        tick_ms(agent, flows + 2 * IDLE_MS), len(agent.flow_by_serial)))
    del agent
    tracemalloc.start()
    agent = make_agent_with_flows(flows)
    traced_bytes, _ = tracemalloc.get_traced_memory()
    click.echo('state: %.0f bytes per flow with %d flows' % (
        traced_bytes / len(agent.flow_by_serial), flows))


if __name__ == '__main__':
    main()
