r"""What a node has gathered from the nodes below it.

Explanation
===========

Announcements are kept until the catalogue shows them; positions are passed
on once for each time that a node is heard. Both are bounded by the number
of nodes below this one.
"""

from poplarstep.dissemination import message

# A node that was not heard of for this long is no longer listed.
POSITION_RETENTION_MS = 60_000


class Gathering:
    r"""Announcements and positions of the nodes below a publisher."""

    __slots__ = (
        'announcement_by_name', 'position_by_node', 'heard_by_node')

    def __init__(self):
        self.announcement_by_name = {}
        self.position_by_node = {}
        self.heard_by_node = {}


def take_in(gathering, poll, now):
    r"""Record what a poll reports."""
    for announcement in poll.announcements:
        known = gathering.announcement_by_name.get(announcement.name)
        if known is None or order(known) < order(announcement):
            gathering.announcement_by_name[announcement.name] = announcement
    for position in poll.positions:
        heard = now - position.age_ms
        if heard >= gathering.heard_by_node.get(position.node, heard):
            gathering.position_by_node[position.node] = position
            gathering.heard_by_node[position.node] = heard


def order(facts):
    r"""Return the key by which later facts of a target replace earlier."""
    return facts.incarnation, facts.revision


def unconfirmed(gathering, catalogue):
    r"""Return announcements that the catalogue doesn't show; drop others."""
    for name, announcement in list(gathering.announcement_by_name.items()):
        shown = catalogue.target_by_name.get(name)
        if shown is not None and order(shown) >= order(announcement):
            del gathering.announcement_by_name[name]
    return tuple(gathering.announcement_by_name.values())


def positions_heard_since(gathering, since, now):
    r"""Return the positions of nodes heard after a time, with their age."""
    return tuple(
        position.replace(age_ms=max(0, now - heard))
        for node, position in gathering.position_by_node.items()
        if (heard := gathering.heard_by_node[node]) > since)


def forget_silent(gathering, now):
    r"""Drop the positions of nodes that were silent for too long."""
    for node, heard in list(gathering.heard_by_node.items()):
        if now - heard > POSITION_RETENTION_MS:
            del gathering.heard_by_node[node]
            del gathering.position_by_node[node]


def own_position(node, role, version, incarnation):
    r"""Return the position of this node, heard just now."""
    return message.Position(node, role, version, incarnation, 0)
