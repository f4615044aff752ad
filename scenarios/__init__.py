"""Systems in memory, and the scenarios in which their guarantees hold."""

__all__ = ['changes', 'fabric', 'nodes', 'settings', 'system', 'target']
