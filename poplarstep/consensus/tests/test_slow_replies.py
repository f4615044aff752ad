"""Tests of replies that take longer than the heartbeat interval."""

import pytest

from poplarstep.consensus import progress as progresses


@pytest.mark.parametrize('sent, replies, accepted', [
    # Data, then heartbeats; the reply to the data arrives after them.
    (((0, True), (150, False), (300, False)), (0,), [True]),
    # The data is lost, and a later heartbeat is replied to.
    (((0, True), (150, False)), (150,), [True]),
    # Duplicated replies, and replies to the heartbeats in between.
    (((0, True), (150, False)), (0, 0, 150), [True, False, False]),
    # Data after a heartbeat; only the reply to the data counts.
    (((0, False), (50, True)), (0, 50), [False, True]),
    # Heartbeats without data.
    (((0, False), (150, False), (300, False)), (0, 150, 300),
     [True, False, False]),
])
def test_one_reply_to_the_awaited_message_counts(sent, replies, accepted):
    """Guards against a member that is sent nothing because it is far away.

    A heartbeat replaced the awaited message. With replies slower than the
    heartbeats, no reply answered the latest message. Duplicated replies must
    still cause one further message only.
    """
    progress = progresses.Progress(1, 0)
    for sent_at, has_data in sent:
        progress.note_sent(has_data, sent_at)
    assert [progress.accept_reply(item) for item in replies] == accepted
    assert progress.data_in_flight is not any(accepted)
