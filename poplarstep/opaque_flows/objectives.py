r"""Use of a route's latency objective, by balancers and agents."""

# Part of a route's latency objective that a new flow may spend in queues.
# Without this bound an overloaded target would answer all requests late.
QUEUE_FRACTION = 0.5
