r"""Registries that decorators fill, for behaviour that varies."""

from returns import result


class Registry:
    r"""Named set of implementations, filled by a decorator.

    ``subject`` names the kind of entry in error messages.

    Examples
    ========

    >>> SHAPES = Registry('shape')
    >>> @SHAPES.register('square')
    ... def area(side):
    ...     return side * side
    >>> SHAPES.find('square').unwrap()(3)
    9
    >>> SHAPES.find('circle').failure()
    "unknown shape 'circle'; known: square"

    """

    __slots__ = ('subject', 'entry_by_name')

    def __init__(self, subject):
        self.subject = subject
        self.entry_by_name = {}

    def register(self, name):
        r"""Return a decorator that registers its argument under a name.

        Raises
        ======

        ValueError
            If the name is already taken.
        """
        def decorate(entry):
            if name in self.entry_by_name:
                raise ValueError(
                    '%s %r is already registered' % (self.subject, name))
            self.entry_by_name[name] = entry
            return entry
        return decorate

    def find(self, name):
        r"""Return ``Success(entry)`` or ``Failure(message)``."""
        if name in self.entry_by_name:
            return result.Success(self.entry_by_name[name])
        return result.Failure('unknown %s %r; known: %s' % (
            self.subject, name, ', '.join(self.names())))

    def names(self):
        r"""Return the registered names, sorted."""
        return sorted(self.entry_by_name)
