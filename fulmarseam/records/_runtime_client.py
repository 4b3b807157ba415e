"""Calls of an entry to the record holders."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from fulmarseam import errors
from fulmarseam import ids
from fulmarseam import wire
from fulmarseam.records import _runtime
from fulmarseam.records import _runtime_region
from fulmarseam.records import _table

CLAIM_TIMEOUT_S = 1.0
# A finish or release is repeated until a holder that was lost has been
# replaced, which takes a bit over two leases of 3 s.
END_TIMEOUT_S = 10.0
CALL_TIMEOUT_S = 1.0
RETRY_PAUSE_S = 0.05

Handle = Callable[[wire.Message], Awaitable[wire.Message | None]]


class RecordClient:
    """Claims and ends requests at the primary of their key's home.

    `handle` is that of the holder in the same process, which is called
    directly when it is the primary.
    """

    def __init__(
        self,
        entry: ids.EntryId,
        find_group: _runtime.FindGroup,
        find_client: _runtime_region.FindClient,
        handle: Handle,
    ) -> None:
        self._entry = entry
        self._find_group = find_group
        self._find_client = find_client
        self._handle = handle

    async def claim(
        self, key: str, fingerprint: str, attempt: str, timeout_s: float
    ) -> wire.RecordVerdict:
        """Claim the right to run a request; only FRESH gives it.

        `timeout_s` is the time left to the request. Raises
        `errors.FulmarseamError` with `request_id_required` for a key that
        no look-up answer gave out, and with `record_unavailable` when the
        primary gave no verdict; the claim may have landed all the same, so
        a `release` must follow.
        """
        message = wire.RecordClaim(
            region=self._find_home(key),
            key=key,
            fingerprint=fingerprint,
            attempt=attempt,
            deadline_ms=max(0, int(timeout_s * 1_000)),
        )
        limit_s = min(timeout_s, CLAIM_TIMEOUT_S)
        answer = await self._call_until(message, limit_s)
        if not isinstance(answer, wire.RecordVerdict):
            raise _runtime_region.make_unavailable(
                f'found {type(answer).__name__}, expected a verdict'
            )
        return answer

    async def finish(
        self, key: str, attempt: str, answer: wire.StoredAnswer | None
    ) -> None:
        """Store the answer, or with None that the outcome is unknown.

        Raises `errors.FulmarseamError` with `record_unavailable` when no
        primary took it within 10 s; the record then says unknown.
        """
        message = wire.RecordFinish(
            region=self._find_home(key),
            key=key,
            attempt=attempt,
            answer=_table.trim_answer(answer),
        )
        await self._call_until(message, END_TIMEOUT_S)

    async def release(self, key: str, attempt: str) -> None:
        """Give back the claim of an attempt that did not and will not run.

        Raises as `finish` does.
        """
        message = wire.RecordRelease(
            region=self._find_home(key), key=key, attempt=attempt
        )
        await self._call_until(message, END_TIMEOUT_S)

    def _find_home(self, key: str) -> ids.RegionName:
        parts = _table.parse_key(key)
        if parts is None or self._find_group(parts.home) is None:
            raise errors.FulmarseamError(
                errors.ErrorKind.REQUEST_ID_REQUIRED,
                f'Idempotency-Key: found {key!r}, expected '
                'HOME.GENERATION.RANDOM with home and generation of a '
                'look-up answer',
            )
        return parts.home

    async def _call_until(
        self,
        message: wire.RecordClaim | wire.RecordFinish | wire.RecordRelease,
        limit_s: float,
    ) -> wire.Message:
        """Call the primary until it answers, for a limited time.

        Repeats are harmless: the attempt makes them the same request.
        """
        reason = 'no time left'
        try:
            async with asyncio.timeout(limit_s):
                while True:
                    try:
                        return await self._call(message)
                    except errors.FulmarseamError as error:
                        reason = error.detail
                    await asyncio.sleep(RETRY_PAUSE_S)
        except TimeoutError:
            raise _runtime_region.make_unavailable(reason) from None

    async def _call(
        self,
        message: wire.RecordClaim | wire.RecordFinish | wire.RecordRelease,
    ) -> wire.Message:
        group = self._find_group(message.region)
        if group is None:
            raise _runtime_region.make_unavailable(
                f'{message.region}: no group'
            )
        answer: wire.Message | None
        if group.primary == self._entry:
            answer = await self._handle(message)
        else:
            client = self._find_client(group.primary)
            if client is None:
                raise _runtime_region.make_unavailable(
                    f'{group.primary}: address not known'
                )
            answer = await client.call(message, CALL_TIMEOUT_S)
        if answer is None or isinstance(answer, wire.Failure):
            detail = '' if answer is None else answer.detail
            raise _runtime_region.make_unavailable(detail)
        return answer
