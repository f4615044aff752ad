r"""Faults that the soak injects from outside the processes.

Explanation
===========

A fault is a generator function: what comes before its ``yield`` begins the
fault, what comes after ends it. ``Fault.names`` are the processes whose
service may suffer meanwhile. Faults come in series and overlap.
"""

import resource
import shutil
import signal
import time

from poplarstep.core import record
from poplarstep.core import registry
from soak import proxy as proxies
from soak import system as systems

SHORTEST_S, LONGEST_S = 0.3, 4.0
# Files of a process with a full disk can't grow beyond this.
FULL_DISK_BYTES = 1

# Generator functions ``(system, name)`` by name of the fault.
FAULTS = registry.Registry('fault')
# Kinds of process to which a fault applies.
KINDS_BY_FAULT = {}


class Fault(record.Record):
    r"""One fault of a run.

    Parameters
    ==========

    at_s, for_s : float
        Begin and length, in seconds from the start of the traffic.
    """

    __slots__ = ('at_s', 'for_s', 'kind', 'name')

    def __init__(self, at_s, for_s, kind, name):
        self.at_s = at_s
        self.for_s = for_s
        self.kind = kind
        self.name = name


def fault(name, *kinds):
    r"""Return a decorator that registers a fault for kinds of process."""
    def decorate(function):
        FAULTS.register(name)(function)
        KINDS_BY_FAULT[name] = kinds
        return function
    return decorate


NODES = (systems.CONTROL, systems.BALANCER, systems.AGENT)
ANY = NODES + (systems.TARGET,)


@fault('kill', *ANY)
def kill(system, name):
    r"""Kill a process and start it again."""
    system.kill(name)
    yield
    system.run(name)


@fault('pause', *ANY)
def pause(system, name):
    r"""Stop a process without its knowledge, as a frozen host does."""
    system.signal(name, signal.SIGSTOP)
    yield
    system.signal(name, signal.SIGCONT)


@fault('stop', *ANY)
def stop(system, name):
    r"""Stop a process gracefully and start it again."""
    system.terminate(name)
    yield
    system.run(name)


@fault('full-disk', systems.CONTROL)
def full_disk(system, name):
    r"""Let every write of a control host fail."""
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


def link_fault(name):
    r"""Register a fault of the proxies under the name of its kind."""
    @fault(name, *NODES)
    def begin(system, node):
        system.proxy_by_name[node].set_fault(name)
        yield
        system.proxy_by_name[node].set_fault('')


for link in proxies.LINK_FAULTS.entry_by_name:
    link_fault(link)


def draw(generator, system, count, end_s):
    r"""Return a list of faults, of which two never take one process.

    At most one control host loses its disk, as more than the group bears
    would lose what was acknowledged.
    """
    drawn = []
    busy_until = {}
    names = sorted(FAULTS.entry_by_name)
    while len(drawn) < count:
        kind = generator.choice(names)
        at_s = round(generator.uniform(0, end_s), 2)
        for_s = round(generator.uniform(SHORTEST_S, LONGEST_S), 2)
        name = generator.choice(sorted(
            item.name for item in system.process_by_name.values()
            if item.kind in KINDS_BY_FAULT[kind]))
        if kind == 'lost-disk' and any(
                item.kind == kind for item in drawn):
            names.remove(kind)
            continue
        spans = busy_until.setdefault(name, [])
        if any(begin < at_s + for_s + 1 and at_s < end + 1
               for begin, end in spans):
            continue
        spans.append((at_s, at_s + for_s))
        drawn.append(Fault(at_s, for_s, kind, name))
    return sorted(drawn, key=lambda item: item.at_s)


class Disturbance(record.Record):
    r"""When a fault took a process, by the clock; times in seconds."""

    __slots__ = ('name', 'kind', 'began_at', 'ended_at')

    def __init__(self, name, kind, began_at, ended_at):
        self.name = name
        self.kind = kind
        self.began_at = began_at
        self.ended_at = ended_at


def carry_out(system, item, sleep, disturbances):
    r"""Begin a fault, wait, end it, and note when it was."""
    began_at = time.monotonic()
    steps = FAULTS.entry_by_name[item.kind](system, item.name)
    next(steps)
    sleep(item.for_s)
    next(steps, None)
    disturbances.append(Disturbance(
        item.name, item.kind, began_at, time.monotonic()))
