"""Text language in which operators query and change the load balancer."""

__all__ = [
    'completion',
    'parser',
    'statement',
    'value',
]
