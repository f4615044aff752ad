r"""Progress of the members of a group, and reports of those behind.

Explanation
===========

A learner does not count for the quorum, so until it holds the log the group
tolerates fewer losses. The leader reports once a second what a learner still
lacks, and at its promotion how long it took and how much was sent.
"""

from poplarstep.core import effect

# Interval of the reports about one learner.
REPORT_INTERVAL_MS = 1000


class Progress:
    r"""Replication progress of one other member, as the leader sees it.

    Parameters
    ==========

    match_index : int
        Last index up to which the member's synced log equals the leader's.
    next_index : int
        Index of the next entry to send.
    acknowledged_send_time : int or None
        Send time in ms of the latest message that the member has replied
        to.
    awaited_send_time : int or None
        Send time in ms of the message whose reply is awaited, None once it
        or the reply to a later message has arrived. It is the latest message
        with data, or the first one after the last reply. Replies to earlier
        messages cause no further message; otherwise each duplicated reply
        would cause one.
    data_in_flight : bool
        Entries or a snapshot chunk were sent and the reply is missing.
    snapshot_offset : int
        Offset in bytes of the next snapshot chunk to send.
    snapshot_index : int
        Index of the snapshot that is being sent, or -1.
    sent_messages : int
        Messages with entries or a snapshot chunk that were sent.
    sent_bytes : int
        Bytes of payloads and snapshot chunks that were sent.
    added_at : int
        Time in ms at which this leader began to send to the member.
    report_due : int
        Time in ms of the next report that the member is behind.
    pause_after : int
        Time in ms before which commits are not paused for this member.
    expired_pauses : int
        Pauses of commits in which this member was not promoted.
    """

    __slots__ = (
        'match_index', 'next_index', 'acknowledged_send_time',
        'awaited_send_time', 'data_in_flight', 'snapshot_offset',
        'snapshot_index', 'sent_messages', 'sent_bytes', 'added_at',
        'report_due', 'pause_after', 'expired_pauses')

    def __init__(self, next_index, now):
        self.match_index = 0
        self.next_index = next_index
        self.acknowledged_send_time = None
        self.awaited_send_time = None
        self.data_in_flight = False
        self.snapshot_offset = 0
        self.snapshot_index = -1
        self.sent_messages = 0
        self.sent_bytes = 0
        self.added_at = now
        self.report_due = now + REPORT_INTERVAL_MS
        self.pause_after = 0
        self.expired_pauses = 0

    def note_sent(self, has_data, now):
        r"""Record that a message is sent, with data or empty.

        An empty message does not replace an awaited one: if it did, a member
        whose replies take longer than the heartbeat interval would never
        reply to the awaited message.
        """
        if has_data or self.awaited_send_time is None:
            self.awaited_send_time = now
        self.data_in_flight = self.data_in_flight or has_data

    def accept_reply(self, sent_at):
        r"""Record a reply; return whether it answers the awaited message.

        A reply to a later message counts as well, because the awaited one
        may be lost. Only the first such reply returns true.
        """
        if self.awaited_send_time is None or (
                sent_at < self.awaited_send_time):
            return False
        self.awaited_send_time = None
        self.data_in_flight = False
        return True

    def count_sent(self, size):
        r"""Count a message with entries or a chunk of ``size`` bytes."""
        self.sent_messages += 1
        self.sent_bytes += size


def report_learners(state, now):
    r"""Return the reports that are due about learners of this leader."""
    effects = []
    for member in state.log.members:
        progress = state.progress_by_identity.get(member.identity)
        if member.voter or progress is None or now < progress.report_due:
            continue
        progress.report_due = now + REPORT_INTERVAL_MS
        effects.append(effect.LogEvent('control-host-behind', (
            ('host', member.identity.name),
            ('entries', state.log.last_index - progress.match_index),
            ('bytes', state.log.payload_bytes(progress.match_index + 1)),
        ) + _sent_fields(progress, now)))
    return effects


def promotion_report(member, progress, now):
    r"""Return the report that a learner holds the log and is promoted."""
    return effect.LogEvent('control-host-promoted', (
        ('host', member.identity.name),) + _sent_fields(progress, now))


def _sent_fields(progress, now):
    return (
        ('elapsed_ms', now - progress.added_at),
        ('sent_messages', progress.sent_messages),
        ('sent_bytes', progress.sent_bytes),
    )
