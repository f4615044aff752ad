"""Tasks that own sockets, files and clocks, and the codec they use."""

__all__ = [
    'clock',
    'codec',
    'datagrams',
    'frame',
    'history',
    'journal',
    'link',
    'logs',
    'metrics',
    'proxy_header',
    'storage',
    'target_client',
    'task',
    'web',
    'wire',
]
