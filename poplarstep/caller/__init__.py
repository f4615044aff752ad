"""Client library: flows, requests, resends and retries."""

__all__ = ['exchange', 'message', 'state']
