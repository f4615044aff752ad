"""The programs: the daemon with its five roles, the tools, their settings.

A role's module opens the sockets, builds the pipeline and maps each type of
effect to the function that performs it.
"""

__all__ = ['daemon', 'settings', 'tool']
