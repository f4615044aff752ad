r"""Counters of a replica."""


class Counters:
    r"""Counts for metrics, read at scrape time.

    ``foreign_messages`` counts messages of another group or for another
    disk identity. The bytes are those of payloads and of snapshot chunks,
    resent ones included. ``commit_pauses_expired`` counts the pauses in which
    the learner did not become a voter, and ``commit_pause_ms`` is the sum of
    all pauses.
    """

    __slots__ = (
        'elections', 'terms_led', 'foreign_messages', 'storage_failures',
        'snapshots_sent', 'snapshots_installed', 'entries_sent',
        'entry_bytes_sent', 'snapshot_bytes_sent', 'commit_pauses',
        'commit_pauses_expired', 'commit_pause_ms')

    def __init__(self):
        for name in self.__slots__:
            setattr(self, name, 0)
