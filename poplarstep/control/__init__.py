"""Stages of a control host around the replicated log."""

__all__ = ['application', 'intake', 'message', 'query']
