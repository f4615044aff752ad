r"""Builds the nodes of a system in memory.

Explanation
===========

Balancers, agents and callers run the same pipelines as the programs. The
control host applies commands at once, without consensus, and its stage
``INTAKE`` applies the announcements of targets. A *performer* is a function
that carries out one type of effect.
"""

import random

from poplarstep.caller import exchange
from poplarstep.caller import message as caller_message
from poplarstep.caller import state as caller_states
from poplarstep.configuration import command
from poplarstep.configuration import machine as machines
from poplarstep.core import address
from poplarstep.core import effect
from poplarstep.core import simulation
from poplarstep.core import stage
from poplarstep.core import timer
from poplarstep.dissemination import message as dissemination
from poplarstep.dissemination import publisher
from poplarstep.dissemination import reporting
from poplarstep.flow import packet
from poplarstep.requests import assembly as agent_assembly
from poplarstep.requests import message
from poplarstep.routing import assembly as balancer_assembly
from poplarstep.routing import opening
from scenarios import fabric
from scenarios import settings

INTAKE = stage.Stage('intake')
INTAKE_TICK = 'intake'
INTAKE_PERIOD_MS = 50


class ControlHost:
    r"""State of a control host that applies commands without a log."""

    __slots__ = ('machine', 'reports')

    def __init__(self):
        self.machine = machines.Machine()
        self.reports = reporting.Reports()


@INTAKE.handles(timer.Tick)
def intake(state, event, now):
    r"""Apply the announcements that the configuration lacks."""
    announcements = reporting.missing_announcements(
        state.reports, state.machine.catalogue)
    if not announcements:
        return []
    version = state.machine.catalogue.version
    machines.apply_command(state.machine, command.Command(
        '', 0, version, command.Announce(announcements)))
    if state.machine.catalogue.version == version:
        return []
    return [effect.Requeue(dissemination.CatalogueChanged(
        state.machine.catalogue.version))]


def make_timers(modules, now):
    r"""Return a timer queue with the ticks of the modules."""
    timers = timer.TimerQueue()
    for module in modules:
        timers.subscribe(module.TICK, module.TICK_PERIOD_MS, now)
    return timers


def decode_control(source, payload, now):
    r"""Return a control message as the control link delivers it."""
    return effect.Received(source, payload)


def send_from(driver, source):
    r"""Return a performer that sends ``SendPacket`` from an address."""
    return lambda node, item: driver.send(
        source, item.destination, item.packet)


def send_control_from(driver, source):
    r"""Return a performer that sends ``SendControl`` from an address."""
    return lambda node, item: driver.send(
        source, item.destination, item.message)


def send_answers_from(driver, source):
    r"""Return a performer that sends answers to the fabric."""
    return lambda node, item: driver.send(source, item.path.fabric, (
        fabric.Framed(item.path.caller, item.path.service, item.packet)))


def add_publisher(driver):
    r"""Add the control host; return its ``ControlHost``."""
    control = ControlHost()
    state = publisher.make_publisher(
        control.machine.catalogue, control.reports,
        lambda now: publisher.LEASE_MS, lambda: settings.CONTROL)
    timers = make_timers([publisher], driver.now)
    timers.subscribe(INTAKE_TICK, INTAKE_PERIOD_MS, driver.now)
    driver.add(simulation.Node(
        'control', {settings.CONTROL: decode_control},
        stage.Pipeline([(publisher.PUBLISHER, state), (INTAKE, control)]),
        timers, {
            effect.SendControl: send_control_from(
                driver, settings.CONTROL)}))
    return control


def add_balancer(
        driver, name, number, incarnation, offset_ms, overrides):
    r"""Add a balancer; return its ``BalancerState``.

    ``offset_ms`` is how far its clock is ahead; ``overrides`` are settings.
    """
    ip = settings.balancer_ip(number)
    front = address.Address(ip, settings.FRONT_PORT)
    back = address.Address(ip, settings.BACK_PORT)
    control_address = address.Address(ip, settings.CONTROL_PORT)
    now = driver.now + offset_ms
    pipeline, _, state = balancer_assembly.make_pipeline(
        settings.for_balancer(name, **overrides), incarnation,
        random.Random(driver.random.random()), now)

    def ingress(source, framed, now):
        return packet.Ingress(
            packet.ReturnPath(source, framed.caller, framed.service),
            framed.packet, now)

    driver.add(simulation.Node(
        name, {
            front: ingress,
            back: lambda source, payload, now: opening.OutcomeArrived(payload),
            control_address: decode_control,
        }, pipeline, make_timers(balancer_assembly.TICKING, now), {
            effect.SendPacket: send_from(driver, back),
            packet.Egress: send_answers_from(driver, front),
            effect.SendControl: send_control_from(driver, control_address),
        }, offset_ms))
    return state


def add_agent(driver, name, host, data_centre, incarnation, target, overrides):
    r"""Add the agent of a target; return its agent and admission states."""
    ip = settings.agent_ip(host)
    agent_address = address.Address(ip, settings.FRONT_PORT)
    control_address = address.Address(ip, settings.CONTROL_PORT)
    pipeline, agent, admission = agent_assembly.make_pipeline(
        settings.for_agent(name, data_centre, agent_address, **overrides),
        incarnation)
    driver.add(simulation.Node(
        name, {
            agent_address: lambda source, payload, now: message.Arrival(
                source, payload, now),
            control_address: decode_control,
        }, pipeline, make_timers(agent_assembly.TICKING, driver.now), {
            effect.SendPacket: send_from(driver, agent_address),
            packet.Egress: send_answers_from(driver, agent_address),
            effect.SendControl: send_control_from(driver, control_address),
            message.CallTarget: target.call,
            message.CancelCall: target.cancel,
        }))
    return agent, admission


def add_callers(driver, record):
    r"""Add the callers' process; ``record`` gets its messages to callers."""
    state = caller_states.make_caller_state()

    def perform(node, item):
        record(item)

    driver.add(simulation.Node(
        'callers', {settings.CALLER: lambda source, payload, now: payload},
        stage.Pipeline([(exchange.CALLER, state)]),
        make_timers([exchange], driver.now), {
            effect.SendPacket: send_from(driver, settings.CALLER),
            caller_message.FlowStarted: perform,
            caller_message.FlowFailed: perform,
            caller_message.Outcome: perform,
        }))
    return state
