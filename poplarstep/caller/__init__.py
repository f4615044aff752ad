"""Caller library: flows, requests, resends and verdicts."""

__all__ = ['exchange', 'message', 'state']
