"""Agent decisions: ownership of flows and requests, admission."""

__all__ = ['admission', 'message', 'ownership', 'state', 'verification']
