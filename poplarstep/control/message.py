r"""Messages between operators and the stages of a control host."""

from poplarstep.configuration import command
from poplarstep.core import record


class OperatorCommand(record.Record):
    r"""A statement that changes something.

    ``key`` identifies the waiting operator on this control host; ``client``
    and ``sequence`` identify the command everywhere.
    """

    __slots__ = ('key', 'client', 'sequence', 'statement')

    def __init__(self, key: int, client: str, sequence: int, statement):
        self.key = key
        self.client = client
        self.sequence = sequence
        self.statement = statement


class Order(record.Record):
    r"""A command that has the same effect however often it is applied.

    It needs no identity: ``body`` is a command of the state machine that
    names the state it wants.
    """

    __slots__ = ('key', 'body')

    def __init__(self, key: int, body):
        self.key = key
        self.body = body


class ReadConfiguration(record.Record):
    r"""A read of the whole configuration in the operator's own form."""

    __slots__ = ('key',)

    def __init__(self, key: int):
        self.key = key


class ConfigurationReply(record.Record):
    r"""Effect: tell the operator the whole configuration.

    ``current`` says whether this host leads under its lease; otherwise the
    document may be older than what was acknowledged. ``document`` is empty
    before the first configuration.
    """

    __slots__ = ('key', 'document', 'current')

    def __init__(self, key: int, document: bytes, current: bool):
        self.key = key
        self.document = document
        self.current = current


class OperatorQuery(record.Record):
    r"""A statement that only reads."""

    __slots__ = ('key', 'statement')

    def __init__(self, key: int, statement):
        self.key = key
        self.statement = statement


class CommandReply(record.Record):
    r"""Effect: tell the operator the outcome of a command.

    ``leader`` names the leader when this control host is not the one.
    """

    __slots__ = ('key', 'outcome', 'leader')

    def __init__(self, key: int, outcome: command.Outcome, leader: str):
        self.key = key
        self.outcome = outcome
        self.leader = leader


class QueryReply(record.Record):
    r"""Effect: tell the operator the rows of a query.

    ``current`` says whether the leader answered under its lease; an answer
    that is not current may be out of date.
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
