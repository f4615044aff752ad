"""Distribution of the configuration to all nodes, and their reports back.

Each node is a subscriber that polls an upstream: agents poll relays (the
balancers), relays poll other relays or control hosts, and control hosts poll
the leader. The publisher of the upstream answers with changes and a lease.
While its lease holds, a node knows that its configuration is current. Polls
carry announcements of targets and statuses of nodes to the leader.
"""

__all__ = [
    'message', 'publisher', 'reporting', 'simulation', 'subscriber',
    'upstream']
