r"""The result of a statement in the operators' tool, and exit codes."""

EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_UNKNOWN = 3
EXIT_UNREACHABLE = 4


class Answer:
    r"""Result of one statement.

    Parameters
    ==========

    code : int
        Exit code; 0 after success.
    columns, rows : sequence
        Printed as a table.
    value : dict or list
        Printed as JSON.
    """

    __slots__ = ('code', 'columns', 'rows', 'value')

    def __init__(self, code, columns, rows, value):
        self.code = code
        self.columns = columns
        self.rows = rows
        self.value = value


def failure(code, text):
    r"""Return the answer of a statement that could not be run."""
    return Answer(code, ('error',), [(text,)], {'error': text})
