r"""Plugin of mypy: a slot is an attribute of its class.

mypy learns the attributes of a class from assignments to ``self`` in its
methods. Counters are set in a loop over ``__slots__``, and some slots are set
by the function that builds the object; mypy would report each use of these.
They become attributes of an unchecked type. A name that is no slot is still
reported.
"""

from mypy import nodes
from mypy import plugin as plugins
from mypy.plugins import common
from mypy import types


def statements(block):
    r"""Yield the statements of a block and of the blocks in it."""
    for statement in block.body:
        yield statement
        for name in ('body', 'else_body', 'finally_body'):
            inner = getattr(statement, name, None)
            for part in inner if isinstance(inner, list) else [inner]:
                if isinstance(part, nodes.Block):
                    yield from statements(part)


def assigned_names(definition):
    r"""Return the attributes that the methods of a class assign."""
    names = set()
    for statement in statements(definition.defs):
        if not isinstance(statement, nodes.AssignmentStmt):
            continue
        targets = list(statement.lvalues)
        while targets:
            target = targets.pop()
            if isinstance(target, nodes.TupleExpr):
                targets.extend(target.items)
            elif (isinstance(target, nodes.MemberExpr)
                    and isinstance(target.expr, nodes.NameExpr)
                    and target.expr.name == 'self'):
                names.add(target.name)
    return names


def slots(definition):
    r"""Return the names in the ``__slots__`` of a class."""
    for statement in definition.defs.body:
        if (isinstance(statement, nodes.AssignmentStmt)
                and isinstance(statement.lvalues[0], nodes.NameExpr)
                and statement.lvalues[0].name == '__slots__'
                and isinstance(statement.rvalue, nodes.TupleExpr)):
            return [item.value for item in statement.rvalue.items
                    if isinstance(item, nodes.StrExpr)]
    return []


def declare_slots(context):
    r"""Declare the slots that no method of the class assigns."""
    names = slots(context.cls)
    if not names:
        return
    assigned = assigned_names(context.cls)
    for name in names:
        if name not in assigned:
            common.add_attribute_to_class(
                context.api, context.cls, name,
                types.AnyType(types.TypeOfAny.explicit))


class SlotsPlugin(plugins.Plugin):
    r"""Declares the slots of each class."""

    def get_customize_class_mro_hook(self, fullname):
        r"""Return the function that mypy calls for a class."""
        return declare_slots


def plugin(version):
    r"""Return the plugin class, as mypy asks for it by this name."""
    return SlotsPlugin
