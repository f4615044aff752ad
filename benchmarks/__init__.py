"""Commands that measure speed, memory use and load distribution."""
