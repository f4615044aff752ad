"""Layer-4 load balancer and library of coordination components."""

__all__ = ['__version__']

__version__ = '0.1.0'
