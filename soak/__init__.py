r"""Randomized fault-injection soak of the real programs on loopback."""
