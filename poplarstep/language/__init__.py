"""Operators' query and command language."""

__all__ = [
    'parser',
    'statement',
    'value',
]
