"""The daemon, the operators' tool and their settings."""

__all__ = ['daemon', 'settings', 'tool']
