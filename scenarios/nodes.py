r"""Builders of the nodes of the model, from the pipelines of the programs."""

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


class Publication:
    r"""A control host that applies commands without a log."""

    __slots__ = ('machine', 'reports')

    def __init__(self):
        self.machine = machines.Machine()
        self.reports = reporting.Reports()


@INTAKE.handles(timer.Tick)
def intake(state, event, now):
    r"""Apply the announcements that the configuration doesn't show."""
    news = reporting.missing_announcements(
        state.reports, state.machine.catalogue)
    if not news:
        return []
    version = state.machine.catalogue.version
    machines.apply_command(state.machine, command.Command(
        '', 0, version, command.Announce(news)))
    if state.machine.catalogue.version == version:
        return []
    return [effect.Requeue(dissemination.CatalogueChanged(
        state.machine.catalogue.version))]


def timers_of(modules, now):
    r"""Return a timer queue to which modules are subscribed."""
    timers = timer.TimerQueue()
    for module in modules:
        timers.subscribe(module.TICK, module.TICK_PERIOD_MS, now)
    return timers


def control_decoder(source, body, now):
    r"""Return a control message as the link delivers it."""
    return effect.Received(source, body)


def send_from(driver, source):
    r"""Return a performer that sends ``SendPacket`` from an address."""
    return lambda node, item: driver.send(
        source, item.destination, item.packet)


def send_control_from(driver, source):
    r"""Return a performer that sends ``SendControl`` from an address."""
    return lambda node, item: driver.send(
        source, item.destination, item.message)


def egress_from(driver, source):
    r"""Return a performer that sends answers by way of the fabric."""
    return lambda node, item: driver.send(source, item.path.fabric, (
        fabric.Framed(item.path.caller, item.path.service, item.packet)))


def add_publisher(driver):
    r"""Add the control node; return its ``Publication``."""
    published = Publication()
    state = publisher.make_publisher(
        published.machine.catalogue, published.reports,
        lambda now: publisher.LEASE_MS, lambda: settings.CONTROL)
    timers = timers_of([publisher], driver.now)
    timers.subscribe(INTAKE_TICK, INTAKE_PERIOD_MS, driver.now)
    driver.add(simulation.Node(
        'control', {settings.CONTROL: control_decoder},
        stage.Pipeline([(publisher.PUBLISHER, state), (INTAKE, published)]),
        timers, {
            effect.SendControl: send_control_from(
                driver, settings.CONTROL)}))
    return published


def add_balancer(
        driver, name, number, incarnation, offset_ms, changes):
    r"""Add a balancer; return its ``BalancerState``."""
    ip = settings.balancer_ip(number)
    front = address.Address(ip, settings.FRONT_PORT)
    back = address.Address(ip, settings.BACK_PORT)
    inbox = address.Address(ip, settings.CONTROL_PORT)
    now = driver.now + offset_ms
    pipeline, _, state = balancer_assembly.make_pipeline(
        settings.for_balancer(name, **changes), incarnation,
        random.Random(driver.random.random()), now)

    def ingress(source, framed, now):
        return packet.Ingress(
            packet.ReturnPath(source, framed.caller, framed.service),
            framed.packet, now)

    driver.add(simulation.Node(
        name, {
            front: ingress,
            back: lambda source, body, now: opening.OutcomeArrived(body),
            inbox: control_decoder,
        }, pipeline, timers_of(balancer_assembly.TICKING, now), {
            effect.SendPacket: send_from(driver, back),
            packet.Egress: egress_from(driver, front),
            effect.SendControl: send_control_from(driver, inbox),
        }, offset_ms))
    return state


def add_agent(driver, name, host, data_centre, incarnation, target, changes):
    r"""Add the agent of a target; return its two states."""
    ip = settings.agent_ip(host)
    place = address.Address(ip, settings.FRONT_PORT)
    inbox = address.Address(ip, settings.CONTROL_PORT)
    pipeline, agent, admitted = agent_assembly.make_pipeline(
        settings.for_agent(name, data_centre, place, **changes), incarnation)
    driver.add(simulation.Node(
        name, {
            place: lambda source, body, now: message.Arrival(
                source, body, now),
            inbox: control_decoder,
        }, pipeline, timers_of(agent_assembly.TICKING, driver.now), {
            effect.SendPacket: send_from(driver, place),
            packet.Egress: egress_from(driver, place),
            effect.SendControl: send_control_from(driver, inbox),
            message.CallTarget: target.call,
            message.CancelCall: target.cancel,
        }))
    return agent, admitted


def add_callers(driver, tell):
    r"""Add the process of the callers; ``tell`` takes what it is told."""
    state = caller_states.make_caller_state()

    def perform(node, item):
        tell(item)

    driver.add(simulation.Node(
        'callers', {settings.CALLER: lambda source, body, now: body},
        stage.Pipeline([(exchange.CALLER, state)]),
        timers_of([exchange], driver.now), {
            effect.SendPacket: send_from(driver, settings.CALLER),
            caller_message.FlowStarted: perform,
            caller_message.FlowFailed: perform,
            caller_message.Outcome: perform,
        }))
    return state
