r"""Balancing of opaque flows, whose packets only their two ends can read.

Explanation
===========

A balancer can't put a token into such a packet and can't read which request
it carries. It offers the opening packet of a flow to one agent after the
other until one accepts it, and sends the later packets of the flow to the
same agent. The agent beside each target decides whether the target may get
a new flow.

The other folder of balancer stages, ``poplarstep.routing``, is for flows
whose packets hold a token that names the target.
"""

__all__ = ['agent', 'balancer', 'message', 'placement', 'segment']
