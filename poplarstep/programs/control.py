r"""Builds a control host: storage, replica, state machine and publisher."""

import typing

import msgspec
from returns import result

from poplarstep.configuration import machine as machines
from poplarstep.consensus import bootstrap
from poplarstep.consensus import message as consensus
from poplarstep.consensus import replica as replicas
from poplarstep.consensus import state as consensus_states
from poplarstep.control import application
from poplarstep.control import hosts
from poplarstep.control import intake
from poplarstep.control import message
from poplarstep.control import query
from poplarstep.core import effect
from poplarstep.core import stage
from poplarstep.dissemination import publisher
from poplarstep.dissemination import reporting
from poplarstep.dissemination import subscriber
from poplarstep.edge import clock
from poplarstep.edge import storage as storages
from poplarstep.edge import web
from poplarstep.edge import wire
from poplarstep.language import parser
from poplarstep.language import statement as statements
from poplarstep.programs import node as nodes
from poplarstep.programs import operator_interface
from poplarstep.programs import settings as setting_table
from poplarstep.programs import waiters

# An operator's request that the log has not decided by then is answered
# "unknown"; the tool asks again under the same identity.
OPERATOR_TIMEOUT_MS = 4000


class CommandBody(msgspec.Struct, forbid_unknown_fields=True):
    r"""JSON body of ``POST /command``."""

    client: typing.Annotated[
        str, msgspec.Meta(min_length=1, max_length=100)]
    sequence: typing.Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
    text: str


class QueryBody(msgspec.Struct, forbid_unknown_fields=True):
    r"""JSON body of ``POST /query``."""

    text: str


def build(settings, register_front_end=None):
    r"""Return ``Success(Node)`` of a running control host or ``Failure``.

    Parameters
    ==========

    register_front_end : callable or None
        Takes the node, its ``Waiters`` and a function that returns the
        leader's inbox; adds the operator interface of another front end.
    """
    opened = open_storage(settings)
    if isinstance(opened, result.Failure):
        return opened
    storage = opened.unwrap()
    node = nodes.make_node(settings)
    links = nodes.open_links(node)
    if isinstance(links, result.Failure):
        storage.close()
        return links
    links = links.unwrap()
    replica = make_replica(settings, storage.loaded)
    pipeline, machine, reports, subscribed = make_pipeline(
        settings, replica)
    waiting = waiters.Waiters()
    node.exporter.add_histogram('operator_ms', waiting.answer_ms)
    node.timers.subscribe(
        replicas.TICK.name, replicas.TICK_MS, clock.now_ms())
    nodes.subscribe(node, intake, subscriber, publisher)
    node.exporter.add_counters('consensus', replica.counters)
    node.exporter.add_values(lambda: [
        ('control_version', {}, machine.catalogue.version),
        ('control_targets', {}, len(machine.catalogue.target_by_number)),
        ('control_nodes', {}, len(reports.status_by_node)),
        ('control_gathered_refused', {}, reports.refused),
        ('control_leads', {}, int(replica.role == consensus_states.LEADER)),
    ])
    node.status = lambda: _status(replica, machine)
    node.ready = lambda: leader_inbox(replica, subscribed) is not None
    node.closers.append(storage.close)
    _register_operator_routes(node, waiting)
    operator_interface.register(node, waiting)
    if register_front_end is not None:
        register_front_end(
            node, waiting, lambda: leader_inbox(replica, subscribed))
    finished = nodes.finish(
        node, pipeline,
        make_performers(storage, links, waiting, node.failed.set), links, {})
    if not isinstance(finished, result.Failure):
        node.task.post(replicas.start(replica))
    return finished


class NoStorage:
    r"""Stands in for the data folder of a host that never writes."""

    __slots__ = ('loaded', 'broken')

    def __init__(self):
        self.loaded = storages.PersistentState('', 0, None, None, ())
        self.broken = ''

    def perform(self, item):
        r"""Refuse to store; a host without a disk must promise nothing."""
        return result.Failure('this host has no disk')

    def close(self):
        r"""Do nothing; nothing is open."""


def is_observer(settings):
    r"""Return whether this control host has no disk."""
    return settings['data-folder'] == setting_table.NO_FOLDER


def open_storage(settings):
    r"""Return ``Success(storage)`` or ``Failure(message)``."""
    if is_observer(settings):
        return result.Success(NoStorage())
    return storages.open_folder(settings['data-folder'])


def make_replica(settings, loaded):
    r"""Return the replica state that continues from a data folder."""
    return replicas.make_replica(
        consensus.HostIdentity(settings['node'], loaded.disk),
        nodes.inbox(settings), settings['control-hosts'],
        settings['start'] == 'bootstrap', consensus_states.make_random(),
        clock.now_ms(), loaded.term, loaded.voted_for, loaded.snapshot,
        loaded.entries,
        automatic_membership=settings['membership'] == 'automatic',
        commit_index=loaded.commit_index, observer=is_observer(settings))


def make_pipeline(settings, replica):
    r"""Return the pipeline of a control host and the states to watch.

    Returns
    =======

    tuple
        ``(Pipeline, Machine, Reports, SubscriberState)``.
    """
    machine = machines.Machine()
    reports = reporting.Reports()
    commands = wire.make_command_codec()

    def current(now):
        return replicas.read_allowed(replica, now)

    subscribed = make_subscriber(settings, replica, machine, reports)
    published = publisher.make_publisher(
        machine.catalogue, reports,
        lambda now: publisher.LEASE_MS if current(now)
        else subscriber.lease_left(subscribed, now),
        lambda: leader_inbox(replica, subscribed),
        publisher.RELAY_HOLD_MS if replica.observer else publisher.HOLD_MS,
        lambda: control_inboxes(replica, subscribed))
    pipeline = stage.Pipeline([
        (query.QUERY, query.make_query_state(
            machine, reports, current,
            lambda: consensus_states.leader_name(replica),
            lambda: control_rows(replica))),
        (hosts.HOSTS, hosts.make_hosts(replica, machine)),
        (intake.INTAKE, intake.make_intake(
            machine, reports, current, commands.encode)),
        (replicas.REPLICA, replica),
        (application.APPLY, application.make_application(
            machine, commands.decode, commands.encode, commands.decode)),
        (subscriber.SUBSCRIBER, subscribed),
        (publisher.PUBLISHER, published),
    ])
    return pipeline, machine, reports, subscribed


def make_subscriber(settings, replica, machine, reports):
    r"""Return the state by which a control host gets its lease.

    A member gets the configuration from the log; a host without a disk gets
    it from the members, as any other node does.
    """
    if not replica.observer:
        return subscriber.make_follower(
            settings['node'], nodes.new_incarnation(), machine.catalogue,
            lambda: other_leader_inbox(replica), reports)
    own = nodes.inbox(settings)
    seeds = tuple(
        seed.address for seed in settings['control-hosts']
        if seed.address != own)
    return subscriber.make_observer(
        settings['node'], nodes.new_incarnation(), machine.catalogue,
        seeds or (own,),
        lambda now: bootstrap.known_addresses(replica, now), reports)


def leader_inbox(replica, subscribed):
    r"""Return the inbox of the leader, or None while there is none."""
    if replica.observer:
        return subscribed.leader
    for member in replica.log.members:
        if member.identity == replica.leader:
            return member.address
    return None


def control_inboxes(replica, subscribed):
    r"""Return the inboxes of the members, as far as this host knows."""
    if replica.observer:
        return subscribed.control_hosts
    return tuple(member.address for member in replica.log.members)


def other_leader_inbox(replica):
    r"""Return the inbox of the leader if it is another host, or None."""
    if replica.leader == replica.identity:
        return None
    return leader_inbox(replica, None)


def control_rows(replica):
    r"""Return the rows of ``show control``."""
    rows = []
    for member in replica.log.members:
        progress = replica.progress_by_identity.get(member.identity)
        leads = member.identity == replica.leader
        rows.append((
            member.identity.name, str(member.address),
            'leader' if leads else 'follower' if member.voter else 'learner',
            member.voter, progress.match_index if progress else None))
    return rows


def make_performers(storage, links, waiting, end):
    r"""Return the functions that carry out a control host's effects.

    Parameters
    ==========

    end : callable
        Ends the process. A folder that is in doubt after an error can only
        be trusted again when it is read anew.
    """
    def store(item):
        stored = storage.perform(item)
        if isinstance(stored, result.Failure):
            if storage.broken:
                end()
            return effect.Abort(consensus.StorageFailed(stored.failure()))
        return ()

    performers = {
        item: store for item in consensus.STORAGE_EFFECTS}
    performers.update({
        consensus.Stored: lambda item: [item],
        consensus.Proposed: lambda item: (),
        consensus.LeadershipChanged: lambda item: (),
        consensus.LeaseExtended: lambda item: (),
        effect.SendControl: links.send,
        message.CommandReply: waiting.reply,
        message.QueryReply: waiting.reply,
        message.ConfigurationReply: waiting.reply,
    })
    return performers


def _register_operator_routes(node, waiting):
    @node.routes.route('POST', '/command')
    def command_page(body):
        asked = msgspec.json.decode(body, type=CommandBody)
        parsed = parser.parse(asked.text)
        if isinstance(parsed, result.Failure):
            return web.json_reply({'error': parsed.failure()}, 400)
        statement = parsed.unwrap()
        if not statements.is_command(statement):
            return web.json_reply({'error': 'not a command'}, 400)
        reply = waiting.ask(node.task, lambda key: message.OperatorCommand(
            key, asked.client, asked.sequence, statement),
            OPERATOR_TIMEOUT_MS)
        if reply is None:
            return web.json_reply({
                'status': 'unknown', 'version': 0, 'leader': '',
                'reason': 'no outcome within %d ms' % OPERATOR_TIMEOUT_MS})
        return web.json_reply({
            'status': reply.outcome.status,
            'version': reply.outcome.version,
            'reason': reply.outcome.reason,
            'leader': reply.leader})

    @node.routes.route('POST', '/query')
    def query_page(body):
        asked = msgspec.json.decode(body, type=QueryBody)
        parsed = parser.parse(asked.text)
        if isinstance(parsed, result.Failure):
            return web.json_reply({'error': parsed.failure()}, 400)
        if type(parsed.unwrap()) not in query.ANSWERS.handler_by_type:
            return web.json_reply({
                'error': 'a control host does not answer this statement'
            }, 400)
        reply = waiting.ask(node.task, lambda key: message.OperatorQuery(
            key, parsed.unwrap()), OPERATOR_TIMEOUT_MS)
        if reply is None:
            return web.json_reply({'error': 'no answer in time'}, 503)
        return web.json_reply({
            'columns': reply.columns, 'rows': reply.rows,
            'current': reply.current, 'leader': reply.leader,
            'version': reply.version})


def _status(replica, machine):
    return {
        'version': machine.catalogue.version,
        'control_role': replica.role,
        'leader': consensus_states.leader_name(replica),
        'term': replica.term,
        'commit_index': replica.commit_index,
    }
