r"""Faults that the soak injects from outside the processes.

Explanation
===========

A fault is a generator function: the code before its ``yield`` begins the
fault, the code after it ends the fault. Faults on different processes may
overlap in time.
"""

import resource
import shutil
import signal
import time

import gevent

from poplarstep.core import record
from poplarstep.core import registry
from soak import proxy as proxies
from soak import system as systems

# Range of the random durations of faults.
MIN_FAULT_S, MAX_FAULT_S = 0.3, 4.0
# Time between the restarts of two pairs of agents.
ROLL_INTERVAL_S = 0.5
# File size limit in bytes (RLIMIT_FSIZE) that simulates a full disk.
FULL_DISK_BYTES = 1

# Generator functions ``(system, name)`` by name of the fault.
FAULTS = registry.Registry('fault')
# Kinds of process that a fault can act on, by name of the fault.
KINDS_BY_FAULT = {}


class Fault(record.Record):
    r"""One scheduled fault.

    Parameters
    ==========

    start_s : float
        Seconds from the start of the traffic.
    duration_s : float
        Time that the fault is in force.
    kind : str
        Name of the fault in ``FAULTS``.
    process_name : str
        Process that the fault acts on.
    """

    __slots__ = ('start_s', 'duration_s', 'kind', 'process_name')

    def __init__(self, start_s, duration_s, kind, process_name):
        self.start_s = start_s
        self.duration_s = duration_s
        self.kind = kind
        self.process_name = process_name


def fault(name, *kinds):
    r"""Return a decorator that registers a fault for kinds of process."""
    def decorate(function):
        FAULTS.register(name)(function)
        KINDS_BY_FAULT[name] = kinds
        return function
    return decorate


NODE_KINDS = (systems.CONTROL, systems.BALANCER, systems.AGENT)
ALL_KINDS = NODE_KINDS + (systems.TARGET,)


@fault('kill', *ALL_KINDS)
def kill(system, name):
    r"""Kill a process and start it again."""
    system.kill(name)
    yield
    system.run(name)


@fault('pause', *ALL_KINDS)
def pause(system, name):
    r"""Suspend a process with SIGSTOP, as a frozen host does."""
    system.signal(name, signal.SIGSTOP)
    yield
    system.signal(name, signal.SIGCONT)


@fault('stop', *ALL_KINDS)
def stop(system, name):
    r"""Stop a process gracefully and start it again."""
    system.terminate(name)
    yield
    system.run(name)


@fault('full-disk', systems.CONTROL)
def full_disk(system, name):
    r"""Make every file write of a control host fail."""
    child = system.process_by_name[name].child
    if child is None:
        yield
        return
    _, hard = resource.prlimit(child.pid, resource.RLIMIT_FSIZE)
    resource.prlimit(
        child.pid, resource.RLIMIT_FSIZE, (FULL_DISK_BYTES, hard))
    yield
    if child.poll() is None:
        resource.prlimit(child.pid, resource.RLIMIT_FSIZE, (hard, hard))


@fault('lost-disk', systems.CONTROL)
def lost_disk(system, name):
    r"""Kill a control host and start it with an empty data folder."""
    system.kill(name)
    shutil.rmtree(system.folder / name, ignore_errors=True)
    yield
    system.run(name)


def register_link_fault(name):
    r"""Register a link fault of the proxies as a fault of the soak."""
    @fault(name, *NODE_KINDS)
    def impair_link(system, node):
        system.proxy_by_name[node].set_fault(name)
        yield
        system.proxy_by_name[node].set_fault('')


for link_fault_name in proxies.LINK_FAULTS.entry_by_name:
    register_link_fault(link_fault_name)


def roll_agents(system, sleep, injected_faults):
    r"""Restart all agents, two at a time."""
    names = system.names(systems.AGENT)
    for position in range(0, len(names), 2):
        began_at = time.monotonic()
        pair = names[position:position + 2]
        gevent.joinall([
            gevent.spawn(system.terminate, name) for name in pair])
        for name in pair:
            system.run(name)
        injected_faults.extend(
            InjectedFault(name, 'rolling', began_at, time.monotonic())
            for name in pair)
        sleep(ROLL_INTERVAL_S)


def draw(generator, system, count, end_s):
    r"""Return random faults in order of their start.

    Faults on the same process are at least 1 s apart. At most one control
    host loses its disk: a group of three control hosts may lose acknowledged
    entries when a second host loses its disk.
    """
    drawn = []
    spans_by_process = {}
    names = sorted(FAULTS.entry_by_name)
    while len(drawn) < count:
        kind = generator.choice(names)
        start_s = round(generator.uniform(0, end_s), 2)
        duration_s = round(generator.uniform(MIN_FAULT_S, MAX_FAULT_S), 2)
        process_name = generator.choice(sorted(
            item.name for item in system.process_by_name.values()
            if item.kind in KINDS_BY_FAULT[kind]))
        if kind == 'lost-disk' and any(
                item.kind == kind for item in drawn):
            names.remove(kind)
            continue
        spans = spans_by_process.setdefault(process_name, [])
        if any(begin < start_s + duration_s + 1 and start_s < end + 1
               for begin, end in spans):
            continue
        spans.append((start_s, start_s + duration_s))
        drawn.append(Fault(start_s, duration_s, kind, process_name))
    return sorted(drawn, key=lambda item: item.start_s)


class InjectedFault(record.Record):
    r"""A fault and when it was in force.

    Times are in seconds of the monotonic clock.
    """

    __slots__ = ('process_name', 'kind', 'began_at', 'ended_at')

    def __init__(self, process_name, kind, began_at, ended_at):
        self.process_name = process_name
        self.kind = kind
        self.began_at = began_at
        self.ended_at = ended_at


def inject(system, item, sleep, injected_faults):
    r"""Begin a fault, wait, end it, and append its ``InjectedFault``."""
    began_at = time.monotonic()
    steps = FAULTS.entry_by_name[item.kind](system, item.process_name)
    next(steps)
    sleep(item.duration_s)
    next(steps, None)
    injected_faults.append(InjectedFault(
        item.process_name, item.kind, began_at, time.monotonic()))
