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
