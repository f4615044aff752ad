"""Agent decisions: ownership of flows and requests, admission."""

__all__ = [
    'admission',
    'announcing',
    'answers',
    'assembly',
    'expiry',
    'message',
    'ownership',
    'state',
    'verification',
]
