"""Commands that measure speed, memory and spread."""
