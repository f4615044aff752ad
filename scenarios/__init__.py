"""Whole systems in memory, and the scenarios that they have to survive."""

__all__ = ['changes', 'fabric', 'nodes', 'settings', 'system', 'target']
