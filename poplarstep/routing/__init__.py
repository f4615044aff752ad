r"""Balancing of flows whose packets hold a token that balancers can read.

Explanation
===========

A balancer chooses a target for the packet that opens a flow. The answer
gives the caller a token that names the target, so the balancer forwards
later packets without state of the flow.

The other folder of balancer stages, ``poplarstep.opaque_flows``, is for opaque
flows, whose packets hold no token.
"""

__all__ = ['assembly', 'gate', 'opening', 'state']
