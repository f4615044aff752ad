r"""Base class of messages and of state: plain classes with slots."""

import functools


@functools.cache
def field_names(record_class):
    r"""Return the field names of a record class in declaration order.

    A slot with a leading underscore holds a derived value, such as a cached
    encoding, and is not a field.

    Examples
    ========

    >>> class Pair(Record):
    ...     __slots__ = ('left', 'right')
    >>> field_names(Pair)
    ('left', 'right')

    """
    names = []
    for ancestor in reversed(record_class.__mro__):
        names.extend(ancestor.__dict__.get('__slots__', ()))
    return tuple(name for name in names if not name.startswith('_'))


def wire_name(record_class):
    r"""Return the name of a record class outside the process.

    The codec writes it as the kind of a record in messages and files, and
    log lines hold it. A renamed class keeps its earlier name as the class
    attribute ``WIRE_NAME``, which subclasses do not inherit.

    Examples
    ========

    >>> class Pair(Record):
    ...     __slots__ = ()
    ...     WIRE_NAME = 'Couple'
    >>> class Triple(Pair):
    ...     __slots__ = ()
    >>> wire_name(Pair), wire_name(Triple)
    ('Couple', 'Triple')

    """
    return record_class.__dict__.get('WIRE_NAME', record_class.__name__)


class Record:
    r"""Plain class with slots that compares by value.

    Explanation
    ===========

    A subclass lists its fields in ``__slots__`` and takes them in the same
    order in ``__init__``. The annotations of ``__init__`` are the types
    that the codec checks when it decodes a message.

    Examples
    ========

    >>> class Point(Record):
    ...     __slots__ = ('x', 'y')
    ...
    ...     def __init__(self, x: int, y: int):
    ...         self.x = x
    ...         self.y = y
    >>> Point(1, 2) == Point(1, 2)
    True
    >>> Point(1, 2).replace(y=3)
    Point(x=1, y=3)

    """

    __slots__ = ()

    def values(self):
        r"""Return the field values in declaration order."""
        return tuple(
            getattr(self, name) for name in field_names(type(self))
        )

    def replace(self, **changes):
        r"""Return a copy with some fields changed."""
        names = field_names(type(self))
        unknown = set(changes) - set(names)
        if unknown:
            raise TypeError(
                '%s has no field %s'
                % (type(self).__name__, ', '.join(sorted(unknown))))
        return type(self)(*(
            changes.get(name, getattr(self, name)) for name in names
        ))

    def __eq__(self, other):
        if type(self) is not type(other):
            return NotImplemented
        return self.values() == other.values()

    def __hash__(self):
        return hash((type(self), self.values()))

    def __repr__(self):
        pairs = zip(field_names(type(self)), self.values())
        return '%s(%s)' % (
            type(self).__name__,
            ', '.join('%s=%r' % pair for pair in pairs),
        )
