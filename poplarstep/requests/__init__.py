"""Decisions of an agent, the process beside each target.

The agent owns the flows and requests of its target, limits how many
requests run, and reports the target to the control plane.
"""

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
