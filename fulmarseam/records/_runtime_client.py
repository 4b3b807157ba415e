"""Calls of an entry to the primary of a record group."""

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
# A finish or release is retried until a lost primary has been replaced,
# which takes slightly more than two leases of 3 s.
FINISH_TIMEOUT_S = 10.0
CALL_TIMEOUT_S = 1.0
RETRY_PAUSE_S = 0.05

HandleMessage = Callable[[wire.Message], Awaitable[wire.Message | None]]


class RecordClient:
    """Claims and ends requests at the primary of their key's home region.

    `handle_locally` is the handler of the `RecordServer` in the same process,
    which is called directly when this entry is the primary.
    """

    def __init__(
        self,
        entry: ids.EntryId,
        find_group: _runtime.FindGroup,
        find_client: _runtime_region.FindClient,
        handle_locally: HandleMessage,
    ) -> None:
        self._entry = entry
        self._find_group = find_group
        self._find_client = find_client
        self._handle_locally = handle_locally

    async def claim(
        self, key: str, fingerprint: str, attempt: str, timeout_s: float
    ) -> wire.RecordVerdict:
        """Claim the right to run a request; only the verdict FRESH grants it.

        `timeout_s` is the time left to the request. Raises
        `errors.FulmarseamError` with `request_id_required` for a key that
        no look-up answer issued, and with `record_unavailable` when the
        primary returned no verdict. The primary may still have stored the
        claim then, so the caller must call `release`.
        """
        message = wire.RecordClaim(
            region=self._find_home_region(key),
            key=key,
            fingerprint=fingerprint,
            attempt=attempt,
            deadline_ms=max(0, int(timeout_s * 1_000)),
        )
        limit_s = min(timeout_s, CLAIM_TIMEOUT_S)
        answer = await self._call_with_retries(message, limit_s)
        if not isinstance(answer, wire.RecordVerdict):
            raise _runtime_region.make_unavailable(
                f'found {type(answer).__name__}, expected a verdict'
            )
        return answer

    async def finish(
        self, key: str, attempt: str, answer: wire.StoredAnswer | None
    ) -> None:
        """Store the answer, or None for an unknown outcome.

        Raises `errors.FulmarseamError` with `record_unavailable` when no
        primary stored it within 10 s; the outcome of the record is then
        unknown.
        """
        message = wire.RecordFinish(
            region=self._find_home_region(key),
            key=key,
            attempt=attempt,
            answer=_table.drop_large_body(answer),
        )
        await self._call_with_retries(message, FINISH_TIMEOUT_S)

    async def release(self, key: str, attempt: str) -> None:
        """Release the claim of an attempt that did not and will not run.

        Raises the same errors as `finish`.
        """
        message = wire.RecordRelease(
            region=self._find_home_region(key), key=key, attempt=attempt
        )
        await self._call_with_retries(message, FINISH_TIMEOUT_S)

    def _find_home_region(self, key: str) -> ids.RegionName:
        parts = _table.parse_key(key)
        if parts is None or self._find_group(parts.home) is None:
            raise errors.FulmarseamError(
                errors.ErrorKind.REQUEST_ID_REQUIRED,
                f'Idempotency-Key: found {key!r}, expected '
                'HOME.GENERATION.RANDOM with home and generation of a '
                'look-up answer',
            )
        return parts.home

    async def _call_with_retries(
        self,
        message: wire.RecordClaim | wire.RecordFinish | wire.RecordRelease,
        limit_s: float,
    ) -> wire.Message:
        """Call the primary until it answers or the time is over.

        Retries are idempotent, since they carry the same attempt.
        """
        reason = 'the primary did not answer in time'
        try:
            async with asyncio.timeout(limit_s):
                while True:
                    try:
                        return await self._call_primary(message)
                    except errors.FulmarseamError as error:
                        reason = error.detail
                    await asyncio.sleep(RETRY_PAUSE_S)
        except TimeoutError:
            raise _runtime_region.make_unavailable(reason) from None

    async def _call_primary(
        self,
        message: wire.RecordClaim | wire.RecordFinish | wire.RecordRelease,
    ) -> wire.Message:
        group = self._find_group(message.region)
        if group is None:
            raise _runtime_region.make_unavailable(
                f'{message.region}: the region has no record group'
            )
        answer: wire.Message | None
        if group.primary == self._entry:
            answer = await self._handle_locally(message)
        else:
            client = self._find_client(group.primary)
            if client is None:
                raise _runtime_region.make_unavailable(
                    f'{group.primary}: the address of the primary is not known'
                )
            answer = await client.call(message, CALL_TIMEOUT_S)
        if answer is None or isinstance(answer, wire.Failure):
            detail = '' if answer is None else answer.detail
            raise _runtime_region.make_unavailable(detail)
        return answer
