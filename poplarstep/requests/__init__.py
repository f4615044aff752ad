"""Agent decisions: ownership of flows and requests, admission."""

__all__ = [
    'admission',
    'announcing',
    'assembly',
    'message',
    'ownership',
    'state',
    'verification',
]
