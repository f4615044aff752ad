r"""The two deployments of the users, laid out on loopback addresses.

Explanation
===========

Each process has its own address ``127.N.K.I``: ``N`` is the number of the
network, ``K`` the kind of process (1 to 4, see below) and ``I`` its index
plus 1. A target shares the address of its agent; service addresses are of
kind 4.
"""

from poplarstep.core import address
from poplarstep.core import record

CONTROL_PORT = 7000
FRONT_PORT = 7100
BACK_PORT = 7200
AGENT_PORT = 7300
SERVICE_PORT = 5000
HTTP_PORT = 8000
TARGET_PORT = 9000
# Longer than any flow of the demonstration, also on a busy machine. A drain
# ends early when the agent has no flows.
AGENT_DRAIN_MS = 20_000
CLUSTER_KEY = 'loopback-demonstration-key'

CONTROL, BALANCER, AGENT, SERVICE = 1, 2, 3, 4


class ServicePlan(record.Record):
    r"""A service and the properties of its targets.

    Parameters
    ==========

    name : str
        Name of the service.
    target_count : int
        Number of targets.
    slots, connections : int
        Requests that a target runs concurrently, and its connection limit.
    priority : int
        Under overload, flows to services with a higher number are shed
        first.
    service_ms : float
        Time that a target takes for one request.
    cold_ms : int
        For this time after its start a target runs one request at a time
        and fails all others.
    """

    __slots__ = (
        'name', 'target_count', 'slots', 'connections', 'priority',
        'service_ms', 'cold_ms')

    def __init__(
            self, name, target_count, slots, connections, priority,
            service_ms, cold_ms=0):
        self.name = name
        self.target_count = target_count
        self.slots = slots
        self.connections = connections
        self.priority = priority
        self.service_ms = service_ms
        self.cold_ms = cold_ms


class Plan(record.Record):
    r"""Data centres and services of a deployment."""

    __slots__ = ('name', 'data_centres', 'services')

    def __init__(self, name, data_centres, services):
        self.name = name
        self.data_centres = data_centres
        self.services = services


PLAN_BY_NAME = {
    'nile-hood': Plan(
        'nile-hood', ('nasr-city', 'maadi', 'giza'), (
            ServicePlan('dispatch', 7, 1, 2000, 0, 3.0),
            ServicePlan('certs', 3, 1, 2000, 5, 3.0))),
    'gulfline': Plan(
        'gulfline', ('gs-a', 'gs-b', 'gs-c', 'gs-d'), (
            ServicePlan('registry-api', 7, 2, 2000, 0, 3.0),
            ServicePlan('map-files', 4, 2, 2000, 5, 3.0))),
}


class Layout:
    r"""Addresses and command-line flags of the processes of a deployment.

    ``controls`` and ``balancers`` are the numbers of these nodes.
    """

    __slots__ = ('plan', 'network', 'controls', 'balancers', 'folder')

    def __init__(self, plan, network, controls, balancers, folder):
        self.plan = plan
        self.network = network
        self.controls = controls
        self.balancers = balancers
        self.folder = folder

    def process_address(self, kind, index, port):
        r"""Return an address of a process by its kind and index."""
        return address.Address(
            '127.%d.%d.%d' % (self.network, kind, index + 1), port)

    def process_addresses(self, kind, count, port):
        r"""Return the addresses of ``count`` processes of a kind as text."""
        return ','.join(
            str(self.process_address(kind, index, port))
            for index in range(count))

    def service_address(self, name):
        r"""Return the address of a service."""
        names = [item.name for item in self.plan.services]
        return self.process_address(SERVICE, names.index(name), SERVICE_PORT)

    def control_http(self):
        r"""Return the control hosts' HTTP addresses as text."""
        return self.process_addresses(CONTROL, self.controls, HTTP_PORT)

    def control_flags(self, index, start='bootstrap'):
        r"""Return the flags of a control host."""
        seeds = ','.join(
            'control-%d=%s' % (
                item, self.process_address(CONTROL, item, CONTROL_PORT))
            for item in range(self.controls))
        return self._flags('control', 'control-%d' % index, index, CONTROL, {
            'data-folder': '%s/control-%d' % (self.folder, index),
            'control-hosts': seeds,
            'start': start,
        })

    def balancer_flags(self, index):
        r"""Return the flags of a balancer."""
        return self._flags(
            'balancer', 'balancer-%d' % index, index, BALANCER, {
                'cluster-key': CLUSTER_KEY,
                'upstreams': self.process_addresses(
                    CONTROL, self.controls, CONTROL_PORT),
                'front-address': self.process_address(
                    BALANCER, index, FRONT_PORT),
                'back-address': self.process_address(
                    BALANCER, index, BACK_PORT),
            })

    def agent_flags(self, index, service):
        r"""Return the flags of an agent."""
        return self._flags(
            'agent', '%s/%d' % (service.name, index), index, AGENT, {
                'cluster-key': CLUSTER_KEY,
                'upstreams': self.process_addresses(
                    BALANCER, self.balancers, CONTROL_PORT),
                'agent-address': self.process_address(
                    AGENT, index, AGENT_PORT),
                'drain-time': AGENT_DRAIN_MS,
            })

    def target_flags(self, index, service):
        r"""Return the flags of a stand-in target."""
        return [
            '--service', service.name,
            '--address', str(self.process_address(AGENT, index, TARGET_PORT)),
            '--agent', str(self.process_address(AGENT, index, HTTP_PORT)),
            '--service-ms', str(service.service_ms),
            '--cold-ms', str(service.cold_ms),
            '--slots', str(service.slots),
            '--connections', str(service.connections),
            '--journal', '%s/runs-%d' % (self.folder, index)]

    def indexed_targets(self):
        r"""Return ``(index, ServicePlan)`` of every target."""
        targets = []
        for service in self.plan.services:
            for _ in range(service.target_count):
                targets.append((len(targets), service))
        return targets

    def data_centre(self, index):
        r"""Return the data centre of the processes with this index."""
        centres = self.plan.data_centres
        return centres[index % len(centres)]

    def _flags(self, role, node, index, kind, extra):
        values = {
            'role': role,
            'node': node,
            'data-centre': self.data_centre(index),
            'control-address': self.process_address(kind, index, CONTROL_PORT),
            'http-address': self.process_address(kind, index, HTTP_PORT),
            **extra,
        }
        flags = []
        for name, value in values.items():
            flags.extend(['--' + name, str(value)])
        return flags


def make_layout(plan, folder, network=1, controls=3, balancers=3):
    r"""Return the layout of a deployment; node data goes into ``folder``."""
    return Layout(plan, network, controls, balancers, folder)
