"""Helpers to embed in callers and targets.

A caller looks up its entries, keeps the answer for its lifetime, and sends
each call to the next entry only when it is known not to have run. A target
announces itself, renews, and leaves::

    async with client.Caller(['127.0.0.1:8001'], 'ost') as caller:
        request = client.Request('GET', 'katalog.example', '/list')
        result = await caller.call(request, deadline_ms=2000)
"""

from fulmarseam.client._announcer import Announcer
from fulmarseam.client._caller import Attempt
from fulmarseam.client._caller import call_repeatedly
from fulmarseam.client._caller import Caller
from fulmarseam.client._caller import read_outcome
from fulmarseam.client._caller import Result
from fulmarseam.client._exchange import ExchangeError
from fulmarseam.client._exchange import HttpClient
from fulmarseam.client._exchange import Reply
from fulmarseam.client._exchange import Request
from fulmarseam.client._lookup import LookupAnswer
from fulmarseam.client._lookup import LookupEntry
from fulmarseam.client._lookup import RecordHome

__all__ = [
    'Announcer',
    'Attempt',
    'Caller',
    'ExchangeError',
    'HttpClient',
    'LookupAnswer',
    'LookupEntry',
    'RecordHome',
    'Reply',
    'Request',
    'Result',
    'call_repeatedly',
    'read_outcome',
]
