r"""Sizes, addresses and settings of the systems in memory."""

from poplarstep.core import address

CONTROL = address.Address('10.0.0.1', 3)
CALLER = address.Address('10.5.0.1', 9)
DATA_CENTRES = ('nasr-city', 'maadi', 'giza')
# Addresses that the fabric owns; each service has the index of one of them.
SERVICE_ADDRESSES = tuple(
    address.Address('10.4.0.%d' % number, 53) for number in range(1, 9))
FRONT_PORT = 1
BACK_PORT = 2
CONTROL_PORT = 3
DRAIN_DEADLINE_MS = 20_000


def balancer_ip(number):
    r"""Return the IP address of a balancer."""
    return '10.1.0.%d' % number


def agent_ip(number):
    r"""Return the IP address of the host of an agent and its target."""
    return '10.2.0.%d' % number


def for_balancer(name, **overrides):
    r"""Return the settings of a balancer."""
    return {
        'node': name, 'upstreams': (CONTROL,),
        'without-control': 'refuse', 'selector': 'two-choices-aged',
        'opens-per-second': 1000, **overrides,
    }


def for_agent(name, data_centre, agent_address, **overrides):
    r"""Return the settings of an agent at an ``Address``."""
    return {
        'node': name, 'data-centre': data_centre,
        'agent-address': agent_address, 'upstreams': (CONTROL,),
        'flow-idle': 60_000, 'answer-bytes': 64 * 1024, 'queue-length': 64,
        **overrides,
    }
