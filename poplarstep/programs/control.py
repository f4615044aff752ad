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
from poplarstep.edge import json_body
from poplarstep.edge import storage as storages
from poplarstep.edge import web
from poplarstep.edge import wire
from poplarstep.language import statement as statements
from poplarstep.programs import node as nodes
from poplarstep.programs import operator_interface
from poplarstep.programs import pending_requests
from poplarstep.programs import settings as setting_table

# A command without an outcome after this time is answered with the status
# "unknown"; the tool resends it with the same client and sequence.
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
        Registers the operator interface of another front end. It is called
        with the node, its ``PendingRequests`` and a function that returns
        the leader's inbox.
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
    pipeline, machine, reports, subscriber_state = make_pipeline(
        settings, replica)
    pending = pending_requests.PendingRequests()
    node.exporter.add_histogram('operator_ms', pending.answer_ms)
    node.timers.subscribe(
        replicas.TICK.name, replicas.TICK_MS, clock.now_ms())
    nodes.schedule_ticks(node, intake, subscriber, publisher)
    node.exporter.add_counters('consensus', replica.counters)
    node.exporter.add_values(lambda: [
        ('control_version', {}, machine.catalogue.version),
        ('control_targets', {}, len(machine.catalogue.target_by_number)),
        ('control_nodes', {}, len(reports.status_by_node)),
        ('control_gathered_refused', {}, reports.refused),
        ('control_leads', {}, int(replica.role == consensus_states.LEADER)),
    ] + log_values(replica, storage))
    node.status = lambda: _status(replica, machine)
    node.ready = lambda: leader_inbox(replica, subscriber_state) is not None
    node.closers.append(storage.close)
    _register_operator_routes(node, pending)
    operator_interface.register(node, pending)
    if register_front_end is not None:
        register_front_end(
            node, pending, lambda: leader_inbox(replica, subscriber_state))
    started = nodes.start(
        node, pipeline,
        make_performers(storage, links, pending, node.failed.set), links, {})
    if not isinstance(started, result.Failure):
        node.task.post(replicas.start(replica))
    return started


class NoStorage:
    r"""Storage of a control host without a disk; refuses every write."""

    __slots__ = ('loaded', 'broken')

    def __init__(self):
        self.loaded = storages.PersistentState('', 0, None, None, ())
        self.broken = ''

    def perform(self, item):
        r"""Return a failure; the host may not vote or acknowledge entries."""
        return result.Failure('this host has no disk')

    def folder_bytes(self):
        r"""Return 0; there is no folder."""
        return 0

    def close(self):
        r"""Do nothing; there is no open file."""


def is_observer(settings):
    r"""Return whether this control host has no disk."""
    return settings['data-folder'] == setting_table.NO_FOLDER


def open_storage(settings):
    r"""Return ``Success(storage)`` or ``Failure(message)``."""
    if is_observer(settings):
        return result.Success(NoStorage())
    return storages.open_folder(settings['data-folder'])


def make_replica(settings, persistent_state):
    r"""Return the replica state restored from that of a data folder."""
    return replicas.make_replica(
        consensus.HostIdentity(settings['node'], persistent_state.disk),
        nodes.inbox(settings), settings['control-hosts'],
        settings['start'] == 'bootstrap', consensus_states.make_random(),
        clock.now_ms(), persistent_state.term, persistent_state.voted_for,
        persistent_state.snapshot, persistent_state.entries,
        automatic_membership=settings['membership'] == 'automatic',
        commit_index=persistent_state.commit_index,
        observer=is_observer(settings))


def make_pipeline(settings, replica):
    r"""Return the pipeline of a control host and states of its stages.

    Returns
    =======

    tuple
        ``(Pipeline, Machine, Reports, SubscriberState)``.
    """
    machine = machines.Machine()
    reports = reporting.Reports()
    command_codec = wire.make_command_codec()

    def read_allowed(now):
        return replicas.read_allowed(replica, now)

    subscriber_state = make_subscriber(settings, replica, machine, reports)
    publisher_state = publisher.make_publisher(
        machine.catalogue, reports,
        lambda now: publisher.LEASE_MS if read_allowed(now)
        else subscriber.lease_left(subscriber_state, now),
        lambda: leader_inbox(replica, subscriber_state),
        publisher.RELAY_HOLD_MS if replica.observer else publisher.HOLD_MS,
        lambda: control_inboxes(replica, subscriber_state))
    pipeline = stage.Pipeline([
        (query.QUERY, query.make_query_state(
            machine, reports, read_allowed,
            lambda: consensus_states.leader_name(replica),
            lambda: control_rows(replica))),
        (hosts.HOSTS, hosts.make_hosts(replica, machine)),
        (intake.INTAKE, intake.make_intake(
            machine, reports, read_allowed, command_codec.encode)),
        (replicas.REPLICA, replica),
        (application.APPLY, application.make_application(
            machine, command_codec.decode, command_codec.encode,
            command_codec.decode)),
        (subscriber.SUBSCRIBER, subscriber_state),
        (publisher.PUBLISHER, publisher_state),
    ])
    return pipeline, machine, reports, subscriber_state


def make_subscriber(settings, replica, machine, reports):
    r"""Return the subscriber state, which holds a control host's lease.

    A member applies the configuration from its own log. A host without a
    disk is an observer: it subscribes to the members as other nodes do.
    """
    if not replica.observer:
        return subscriber.make_follower(
            settings['node'], nodes.new_incarnation(), machine.catalogue,
            lambda: other_leader_inbox(replica), reports)
    own_inbox = nodes.inbox(settings)
    seed_inboxes = tuple(
        seed.address for seed in settings['control-hosts']
        if seed.address != own_inbox)
    return subscriber.make_observer(
        settings['node'], nodes.new_incarnation(), machine.catalogue,
        seed_inboxes or (own_inbox,),
        lambda now: bootstrap.known_addresses(replica, now), reports)


def leader_inbox(replica, subscriber_state):
    r"""Return the leader's inbox, or None while the leader is not known."""
    if replica.observer:
        return subscriber_state.leader
    for member in replica.log.members:
        if member.identity == replica.leader:
            return member.address
    return None


def control_inboxes(replica, subscriber_state):
    r"""Return the inboxes of the members that this host knows."""
    if replica.observer:
        return subscriber_state.control_hosts
    return tuple(member.address for member in replica.log.members)


def other_leader_inbox(replica):
    r"""Return the leader's inbox; None if it is unknown or this host leads."""
    if replica.leader == replica.identity:
        return None
    return leader_inbox(replica, None)


def control_rows(replica):
    r"""Return one row for each member, for ``show control``."""
    rows = []
    for member in replica.log.members:
        progress = replica.progress_by_identity.get(member.identity)
        leads = member.identity == replica.leader
        rows.append((
            member.identity.name, str(member.address),
            'leader' if leads else 'follower' if member.voter else 'learner',
            member.voter, progress.match_index if progress else None))
    return rows


def log_values(replica, storage):
    r"""Return the sizes of the log and of the data folder for /metrics."""
    log = replica.log
    return [
        ('control_log_entries', {}, len(log.entries)),
        ('control_log_bytes', {}, log.payload_bytes(log.base_index + 1)),
        ('control_snapshot_bytes', {}, len(
            log.snapshot.state if log.snapshot else b'')),
        ('control_data_folder_bytes', {}, storage.folder_bytes()),
    ]


def make_performers(storage, links, pending, terminate):
    r"""Return the performers of a control host, by type of effect.

    Parameters
    ==========

    terminate : callable
        Ends the process after a write whose effect on the data folder is
        unknown; the next start reads the folder again.
    """
    def store(item):
        stored = storage.perform(item)
        if isinstance(stored, result.Failure):
            if storage.broken:
                terminate()
            return effect.Abort(consensus.StorageFailed(stored.failure()))
        return ()

    performers = {
        effect_type: store for effect_type in consensus.STORAGE_EFFECTS}
    performers.update({
        consensus.Stored: lambda item: [item],
        consensus.Proposed: lambda item: (),
        consensus.LeadershipChanged: lambda item: (),
        consensus.LeaseExtended: lambda item: (),
        effect.SendControl: links.send,
        message.CommandReply: pending.reply,
        message.QueryReply: pending.reply,
        message.ConfigurationReply: pending.reply,
    })
    return performers


def _parse(text):
    r"""Parse a statement of an operator.

    The parser is imported with the first statement: the import takes a
    fifth of the start of a control host, for which all nodes wait after a
    power loss.
    """
    from poplarstep.language import parser
    return parser.parse(text)


def _register_operator_routes(node, pending):
    @node.routes.route('POST', '/command')
    def run_command(body):
        decoded = json_body.decode(body, CommandBody, 'command')
        if isinstance(decoded, result.Failure):
            return web.json_reply({'error': decoded.failure()}, 400)
        request = decoded.unwrap()
        parsed = _parse(request.text)
        if isinstance(parsed, result.Failure):
            return web.json_reply({'error': parsed.failure()}, 400)
        statement = parsed.unwrap()
        if not statements.is_command(statement):
            return web.json_reply({'error': 'not a command'}, 400)
        reply = pending.ask(node.task, lambda key: message.OperatorCommand(
            key, request.client, request.sequence, statement),
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
    def run_query(body):
        decoded = json_body.decode(body, QueryBody, 'query')
        if isinstance(decoded, result.Failure):
            return web.json_reply({'error': decoded.failure()}, 400)
        request = decoded.unwrap()
        parsed = _parse(request.text)
        if isinstance(parsed, result.Failure):
            return web.json_reply({'error': parsed.failure()}, 400)
        if type(parsed.unwrap()) not in query.ANSWERS.handler_by_type:
            return web.json_reply({
                'error': 'a control host does not answer this statement'
            }, 400)
        reply = pending.ask(node.task, lambda key: message.OperatorQuery(
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
