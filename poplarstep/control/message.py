r"""Messages between the operator interfaces and a control host's stages."""

from poplarstep.configuration import command
from poplarstep.core import record


class OperatorCommand(record.Record):
    r"""A statement that changes the configuration or the control hosts.

    ``key`` identifies the waiting operator on this control host. ``client``
    and ``sequence`` identify the command on all control hosts.
    """

    __slots__ = ('key', 'client', 'sequence', 'statement')

    def __init__(self, key: int, client: str, sequence: int, statement):
        self.key = key
        self.client = client
        self.sequence = sequence
        self.statement = statement


class IdempotentCommand(record.Record):
    r"""A command that has the same effect however often it is applied.

    It needs no client and sequence. ``body`` is a command of the state
    machine that states the result, such as ``SetDataCentre``.
    """

    __slots__ = ('key', 'body')

    def __init__(self, key: int, body):
        self.key = key
        self.body = body


class ReadConfiguration(record.Record):
    r"""A request for the latest ``ReplaceConfiguration.document``."""

    __slots__ = ('key',)

    def __init__(self, key: int):
        self.key = key


class ConfigurationReply(record.Record):
    r"""Effect: answer a ``ReadConfiguration``.

    ``current`` is true if this host is the leader and holds its lease;
    otherwise the document may be older than the acknowledged one.
    ``document`` is empty before the first ``ReplaceConfiguration``.
    """

    __slots__ = ('key', 'document', 'current')

    def __init__(self, key: int, document: bytes, current: bool):
        self.key = key
        self.document = document
        self.current = current


class OperatorQuery(record.Record):
    r"""A statement that reads the state of the control plane."""

    __slots__ = ('key', 'statement')

    def __init__(self, key: int, statement):
        self.key = key
        self.statement = statement


class CommandReply(record.Record):
    r"""Effect: send the operator the outcome of a command.

    ``leader`` is the name of the leader if this host knows another leader,
    else it is empty.
    """

    __slots__ = ('key', 'outcome', 'leader')

    def __init__(self, key: int, outcome: command.Outcome, leader: str):
        self.key = key
        self.outcome = outcome
        self.leader = leader


class QueryReply(record.Record):
    r"""Effect: send the operator the rows that answer a query.

    ``current`` is true if this host is the leader and holds its lease;
    otherwise the rows may be out of date.
    """

    __slots__ = ('key', 'columns', 'rows', 'current', 'leader', 'version')

    def __init__(
            self, key: int, columns: tuple, rows: tuple, current: bool,
            leader: str, version: int):
        self.key = key
        self.columns = columns
        self.rows = rows
        self.current = current
        self.leader = leader
        self.version = version
