"""Replicated state machine of services, data centres and targets."""

__all__ = ['catalogue', 'command', 'machine', 'model', 'replacement']
