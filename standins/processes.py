r"""Starts, signals and stops the processes of a deployment.

Explanation
===========

Processes are named ``control-I``, ``balancer-I``, ``agent-I`` and
``target-I``, by kind and index.
"""

import json
import signal
import subprocess
import sys
import time
import urllib.error
import urllib.request

from poplarstep.language import parser
from poplarstep.programs import tool
from standins import deployment

STOP_TIMEOUT_S = 30
POLL_PERIOD_S = 0.1


class Processes:
    r"""Child processes of a deployment and their command lines, by name."""

    __slots__ = (
        'layout', 'child_by_name', 'command_by_name', 'log', 'session')

    def __init__(self, layout, log):
        self.layout = layout
        self.child_by_name = {}
        self.command_by_name = {}
        self.log = log
        self.session = tool.make_session(
            layout.control_http().split(','), timeout_s=10)

    def start_node(self, name, flags):
        r"""Start a node of poplarstep with command-line flags."""
        self._start(name, 'poplarstep.programs.daemon', ['run'] + flags)

    def start_control(self, index, start='bootstrap'):
        r"""Start a control host."""
        self.start_node(
            'control-%d' % index, self.layout.control_flags(index, start))

    def start_balancer(self, index):
        r"""Start a balancer."""
        self.start_node(
            'balancer-%d' % index, self.layout.balancer_flags(index))

    def start_agent(self, index, service):
        r"""Start an agent."""
        self.start_node(
            'agent-%d' % index, self.layout.agent_flags(index, service))

    def start_target(self, index, service, *extra_flags):
        r"""Start a stand-in target."""
        self._start(
            'target-%d' % index, 'standins.target',
            self.layout.target_flags(index, service) + list(extra_flags))

    def start_all(self):
        r"""Start every process of the deployment."""
        for index in range(self.layout.controls):
            self.start_control(index)
        for index in range(self.layout.balancers):
            self.start_balancer(index)
        for index, service in self.layout.indexed_targets():
            self.start_agent(index, service)
            self.start_target(index, service)

    def _start(self, name, module, flags):
        self.command_by_name[name] = [sys.executable, '-m', module] + flags
        self.start_again(name)

    def start_again(self, name):
        r"""Start an ended process with the same command line as before."""
        self.child_by_name[name] = subprocess.Popen(
            self.command_by_name[name], stdout=self.log, stderr=self.log)

    def signal(self, name, signal_number):
        r"""Send a signal to a process."""
        self.child_by_name[name].send_signal(signal_number)

    def kill(self, name):
        r"""Kill a process and wait for its end."""
        child = self.child_by_name.pop(name)
        child.kill()
        child.wait()

    def terminate(self, name):
        r"""Stop a process with SIGTERM and return its exit code."""
        child = self.child_by_name.pop(name)
        child.send_signal(signal.SIGTERM)
        return child.wait(timeout=STOP_TIMEOUT_S)

    def kill_all(self):
        r"""Kill every process that this object started."""
        for name in list(self.child_by_name):
            self.kill(name)

    def run(self, text):
        r"""Run a statement of the operators' language; return its answer."""
        return tool.run_statement(self.session, parser.parse(text).unwrap())

    def create_services(self):
        r"""Create the services of the plan."""
        for service in self.layout.plan.services:
            answer = self.run('create service %s address %s priority %d' % (
                service.name, self.layout.service_address(service.name),
                service.priority))
            if answer.code:
                raise RuntimeError('create service %s: %s' % (
                    service.name, answer.rows))

    def wait_selectable(self, count, timeout_s=30):
        r"""Wait until the deployment can open flows at ``count`` targets.

        The control hosts show them as selectable, every balancer has the
        current configuration and a confirmed lease, and every agent accepts
        flows, which it refuses for a while after its start.
        """
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            rows = self.run('show targets').rows
            selectable = [row for row in rows if row[4] == 'selectable']
            if len(selectable) >= count and self._balancers_ready() and (
                    self._agents_accept()):
                return
            time.sleep(POLL_PERIOD_S)
        raise TimeoutError('%d of %d targets are selectable' % (
            len(selectable), count))

    def status(self, address):
        r"""Return the ``/status`` of a node, or None without an answer."""
        return _get_json(address, '/status')

    def leader(self):
        r"""Return the name of the control leader, or None."""
        rows = self.run('show control').rows
        return next((row[0] for row in rows if row[2] == 'leader'), None)

    def target_load(self, index):
        r"""Return the ``/load`` of a target, or None without an answer."""
        return _get_json(self.layout.process_address(
            deployment.AGENT, index, deployment.TARGET_PORT), '/load')

    def executed_requests(self):
        r"""Return ``(idempotency key, payload)`` of each executed request."""
        executed = []
        for index, _ in self.layout.indexed_targets():
            with open('%s/runs-%d' % (self.layout.folder, index),
                      'rb') as journal:
                executed.extend(
                    tuple(line.split(b' ', 1))
                    for line in journal.read().splitlines())
        return executed

    def _agents_accept(self):
        statuses = [
            self.status(self.layout.process_address(
                deployment.AGENT, index, deployment.HTTP_PORT))
            for index, _ in self.layout.indexed_targets()]
        return all(
            status is not None and status['accepting']
            for status in statuses)

    def _balancers_ready(self):
        version = self.run('show version').rows[0][0]
        for index in range(self.layout.balancers):
            status = self.status(self.layout.process_address(
                deployment.BALANCER, index, deployment.HTTP_PORT))
            if status is None or status['version'] < version or (
                    not status['confirmed']):
                return False
        return True


def _get_json(address, path):
    r"""Return the JSON of an HTTP resource, or None without an answer."""
    try:
        with urllib.request.urlopen(
                'http://%s%s' % (address, path), timeout=2) as reply:
            return json.load(reply)
    except (urllib.error.URLError, OSError):
        return None


def make_processes(layout, log):
    r"""Return a ``Processes`` that has started none."""
    return Processes(layout, log)
