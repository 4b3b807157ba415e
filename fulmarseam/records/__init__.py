"""Records that let a request run at most once.

Each region has a record group of two replicas, a primary and a backup entry.
An entry claims a request at the primary before dispatching it; the primary
answers once the backup has stored the claim, too. `RecordServer` serves the
replicas of one entry and `RecordClient` calls the primary::

    verdict = await client.claim(key, fingerprint, attempt, timeout_s=5.0)
    if verdict.verdict is wire.Verdict.FRESH:
        ...  # dispatch, then
        await client.finish(key, attempt, answer)
"""

from fulmarseam.records._replication import ReceivedChanges
from fulmarseam.records._replication import StreamReceiver
from fulmarseam.records._replication import StreamSender
from fulmarseam.records._runtime import RecordServer
from fulmarseam.records._runtime_client import RecordClient
from fulmarseam.records._storage import Journal
from fulmarseam.records._storage import JournalEntry
from fulmarseam.records._storage import JournalFailedError
from fulmarseam.records._table import ClaimDecision
from fulmarseam.records._table import MAX_STORED_BODY_BYTES
from fulmarseam.records._table import parse_key
from fulmarseam.records._table import RecordKey
from fulmarseam.records._table import RecordTable

__all__ = [
    'ClaimDecision',
    'StreamReceiver',
    'ReceivedChanges',
    'Journal',
    'JournalEntry',
    'JournalFailedError',
    'MAX_STORED_BODY_BYTES',
    'StreamSender',
    'RecordClient',
    'RecordServer',
    'RecordKey',
    'RecordTable',
    'parse_key',
]
