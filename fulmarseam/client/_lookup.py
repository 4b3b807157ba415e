"""Look-ups of the entries to use, kept for their lifetime."""

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
    """An entry named by a look-up answer.

    `address` is where callers send requests.
    """

    entry: ids.EntryId
    address: str
    api: str = ''
    region: ids.RegionName = ids.RegionName('')
    failure_domain: ids.DomainName = ids.DomainName('')


class RecordHome(msgspec.Struct, frozen=True, kw_only=True):
    """The home of new request ids: a region and its generation."""

    home: ids.RegionName
    generation: int


class LookupAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """The entries to use, best first, and the home of new request ids."""

    entries: list[LookupEntry]
    ttl_ms: int
    record_home: RecordHome | None = None


class Lookup:
    """Asks entries for look-ups and keeps the answer for its lifetime.

    When no entry answers, the last answer is used on.
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
        self._expires = 0.0
        self._lock = asyncio.Lock()

    async def get(self) -> LookupAnswer:
        """Return the current answer, asking when it has expired.

        Raises `errors.FulmarseamError` when no entry has ever answered.
        """
        if self._answer is not None and time.monotonic() < self._expires:
            return self._answer
        async with self._lock:
            if time.monotonic() >= self._expires:
                await self._refresh()
        if self._answer is None:
            raise errors.FulmarseamError(
                errors.ErrorKind.UNAVAILABLE, 'no entry answered the look-up'
            )
        return self._answer

    async def _refresh(self) -> None:
        fields = {'region': self._region}
        if self._address is not None:
            fields['address'] = self._address
        query = urllib.parse.urlencode(fields)
        request = _exchange.Request('GET', 'lookup', f'/v1/lookup?{query}')
        for api in list(self._apis):
            asked = time.monotonic()
            try:
                reply = await self._http_client.send(
                    api, request, LOOKUP_TIMEOUT_S
                )
                self._accept(reply, asked)
                return
            except (_exchange.ExchangeError, msgspec.MsgspecError):
                # Ask another entry first from now on.
                self._apis.remove(api)
                self._apis.append(api)

    def _accept(self, reply: _exchange.Reply, asked: float) -> None:
        if reply.status != 200:
            raise msgspec.ValidationError(f'look-up status {reply.status}')
        answer = msgspec.json.decode(reply.body, type=LookupAnswer)
        self._answer = answer
        self._expires = asked + answer.ttl_ms / 1_000
        used = {entry.address for entry in answer.entries}
        self._http_client.close_others(used | set(self._apis))
