r"""Starts, signals and stops the processes of a deployment."""

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
POLL_S = 0.1


class Processes:
    r"""Child processes of a deployment, by name."""

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
        r"""Start a node of poplarstep."""
        self._start(name, 'poplarstep.programs.daemon', ['run'] + flags)

    def start_control(self, index, start='bootstrap'):
        r"""Start a control host."""
        self.start_node(
            'control-%d' % index, self.layout.control(index, start))

    def start_balancer(self, index):
        r"""Start a balancer."""
        self.start_node('balancer-%d' % index, self.layout.balancer(index))

    def start_agent(self, index, service):
        r"""Start an agent."""
        self.start_node('agent-%d' % index, self.layout.agent(index, service))

    def start_target(self, index, service, *more):
        r"""Start a stand-in target."""
        self._start(
            'target-%d' % index, 'standins.target',
            self.layout.target(index, service) + list(more))

    def start_all(self):
        r"""Start every process of the deployment."""
        for index in range(self.layout.controls):
            self.start_control(index)
        for index in range(self.layout.balancers):
            self.start_balancer(index)
        for index, service in self.layout.target_places():
            self.start_agent(index, service)
            self.start_target(index, service)

    def _start(self, name, module, flags):
        self.command_by_name[name] = [sys.executable, '-m', module] + flags
        self.start_again(name)

    def start_again(self, name):
        r"""Start a process that has ended with the same command."""
        self.child_by_name[name] = subprocess.Popen(
            self.command_by_name[name], stdout=self.log, stderr=self.log)

    def signal(self, name, number):
        r"""Send a signal to one process."""
        self.child_by_name[name].send_signal(number)

    def kill(self, name):
        r"""Kill one process and wait for its end."""
        child = self.child_by_name.pop(name)
        child.kill()
        child.wait()

    def stop(self, name):
        r"""Stop one process gracefully and return its exit code."""
        child = self.child_by_name.pop(name)
        child.send_signal(signal.SIGTERM)
        return child.wait(timeout=STOP_TIMEOUT_S)

    def kill_all(self):
        r"""Kill every process that this object started."""
        for name in list(self.child_by_name):
            self.kill(name)

    def run(self, text):
        r"""Run one statement of the operators' language."""
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
        r"""Wait until this many targets are selectable everywhere.

        It also waits until their agents accept flows: for a while after its
        start an agent refuses them.
        """
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            rows = self.run('show targets').rows
            ready = [row for row in rows if row[4] == 'selectable']
            if len(ready) >= count and self._balancers_ready() and (
                    self._agents_accept()):
                return
            time.sleep(POLL_S)
        raise TimeoutError('%d of %d targets are selectable' % (
            len(ready), count))

    def status(self, place):
        r"""Return the ``/status`` of a node, or None."""
        return _get(place, '/status')

    def leader(self):
        r"""Return the name of the control leader, or None."""
        rows = self.run('show control').rows
        return next((row[0] for row in rows if row[2] == 'leader'), None)

    def target_load(self, index):
        r"""Return the ``/load`` of a stand-in target."""
        return _get(self.layout.place(
            deployment.AGENT, index, deployment.TARGET_PORT), '/load')

    def runs(self):
        r"""Return ``(key, payload)`` of every run at any target."""
        found = []
        for index, _ in self.layout.target_places():
            with open('%s/runs-%d' % (self.layout.folder, index),
                      'rb') as journal:
                found.extend(
                    tuple(line.split(b' ', 1))
                    for line in journal.read().splitlines())
        return found

    def _agents_accept(self):
        statuses = [
            self.status(self.layout.place(
                deployment.AGENT, index, deployment.HTTP_PORT))
            for index, _ in self.layout.target_places()]
        return all(
            status is not None and status['accepting']
            for status in statuses)

    def _balancers_ready(self):
        version = self.run('show version').rows[0][0]
        for index in range(self.layout.balancers):
            status = self.status(self.layout.place(
                deployment.BALANCER, index, deployment.HTTP_PORT))
            if status is None or status['version'] < version or (
                    not status['confirmed']):
                return False
        return True


def _get(place, path):
    r"""Return the JSON of an HTTP resource, or None."""
    try:
        with urllib.request.urlopen(
                'http://%s%s' % (place, path), timeout=2) as reply:
            return json.load(reply)
    except (urllib.error.URLError, OSError):
        return None


def make_processes(layout, log):
    r"""Return a deployment without processes."""
    return Processes(layout, log)
