r"""Randomized fault soak of the real programs on loopback."""
