"""Packets of the data path and the tokens that identify flows."""

__all__ = ['packet', 'token']
