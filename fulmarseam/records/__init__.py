"""Records that let a request run at most once.

Each region has a record group of two entries. An entry claims a request at
the primary before it dispatches it; the primary answers once the backup has
the claim, too. `RecordServer` serves a group and `RecordClient` calls it::

    verdict = await client.claim(key, fingerprint, attempt, timeout_s=5.0)
    if verdict.verdict is wire.Verdict.FRESH:
        ...  # dispatch, then
        await client.finish(key, attempt, answer)
"""

from fulmarseam.records._replication import Inbox
from fulmarseam.records._replication import Intake
from fulmarseam.records._replication import Outbox
from fulmarseam.records._runtime import RecordServer
from fulmarseam.records._runtime_client import RecordClient
from fulmarseam.records._storage import Journal
from fulmarseam.records._storage import JournalEntry
from fulmarseam.records._storage import JournalFailedError
from fulmarseam.records._table import Decision
from fulmarseam.records._table import MAX_STORED_BODY_BYTES
from fulmarseam.records._table import parse_key
from fulmarseam.records._table import RecordKey
from fulmarseam.records._table import RecordTable

__all__ = [
    'Decision',
    'Inbox',
    'Intake',
    'Journal',
    'JournalEntry',
    'JournalFailedError',
    'MAX_STORED_BODY_BYTES',
    'Outbox',
    'RecordClient',
    'RecordServer',
    'RecordKey',
    'RecordTable',
    'parse_key',
]
