"""Operators' query and command language."""

__all__ = [
    'completion',
    'parser',
    'statement',
    'value',
]
