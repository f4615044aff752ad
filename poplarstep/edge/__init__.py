"""Tasks that own sockets, files and clocks, and the codec they use."""

__all__ = ['clock', 'codec', 'proxy_header']
