"""Lookup of the entries to use, cached for its TTL."""

import asyncio
from collections.abc import Sequence
import time
import urllib.parse

import msgspec

from fulmarseam import errors
from fulmarseam import ids
from fulmarseam.client import _exchange

LOOKUP_TIMEOUT_S = 1.0


class LookupEntry(msgspec.Struct, frozen=True, kw_only=True):
    """An entry listed in a lookup answer.

    `address` is where callers send requests.
    """

    entry: ids.EntryId
    address: str
    api: str = ''
    region: ids.RegionName = ids.RegionName('')
    failure_domain: ids.DomainName = ids.DomainName('')


class RecordHome(msgspec.Struct, frozen=True, kw_only=True):
    """The region that stores records of new request ids, with generation."""

    home: ids.RegionName
    generation: int


class LookupAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """The entries to use, best first, and the home of new request ids."""

    entries: list[LookupEntry]
    ttl_ms: int
    record_home: RecordHome | None = None


class Lookup:
    """Looks up the entries to use and caches the answer for its TTL.

    When no entry answers, the last answer stays in use.
    """

    def __init__(
        self,
        apis: Sequence[str],
        region: str,
        http_client: _exchange.HttpClient,
        address: str | None = None,
    ) -> None:
        self._apis = list(apis)
        self._address = address
        self._region = region
        self._http_client = http_client
        self._answer: LookupAnswer | None = None
        self._expires_at = 0.0
        self._lock = asyncio.Lock()

    async def get(self) -> LookupAnswer:
        """Return the cached answer; refresh it when it has expired.

        Raises `errors.FulmarseamError` when no entry has ever answered.
        """
        if self._answer is not None and time.monotonic() < self._expires_at:
            return self._answer
        async with self._lock:
            if time.monotonic() >= self._expires_at:
                await self._refresh()
        if self._answer is None:
            raise errors.FulmarseamError(
                errors.ErrorKind.UNAVAILABLE, 'no entry answered the lookup'
            )
        return self._answer

    async def _refresh(self) -> None:
        parameters = {'region': self._region}
        if self._address is not None:
            parameters['address'] = self._address
        query = urllib.parse.urlencode(parameters)
        request = _exchange.Request('GET', 'lookup', f'/v1/lookup?{query}')
        for api in list(self._apis):
            sent_at = time.monotonic()
            try:
                reply = await self._http_client.send(
                    api, request, LOOKUP_TIMEOUT_S
                )
                self._accept(reply, sent_at)
                return
            except (_exchange.ExchangeError, msgspec.MsgspecError):
                # Try another entry first from now on.
                self._apis.remove(api)
                self._apis.append(api)

    def _accept(self, reply: _exchange.Reply, sent_at: float) -> None:
        if reply.status != 200:
            raise msgspec.ValidationError(
                f'lookup: expected status 200, found {reply.status}'
            )
        answer = msgspec.json.decode(reply.body, type=LookupAnswer)
        self._answer = answer
        self._expires_at = sent_at + answer.ttl_ms / 1_000
        entry_addresses = {entry.address for entry in answer.entries}
        self._http_client.close_others(entry_addresses | set(self._apis))
