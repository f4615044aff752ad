"""Stand-ins for the fabric, callers and targets; used by tests and demo."""
