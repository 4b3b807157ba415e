"""Claims of requests that may run at most once."""

import asyncio
from collections.abc import Coroutine
import enum
from typing import Any

import logbook

from fulmarseam import errors
from fulmarseam import http
from fulmarseam import records
from fulmarseam import telemetry
from fulmarseam import wire
from fulmarseam.entry import _answers
from fulmarseam.entry import _attempts
from fulmarseam.entry import _records
from fulmarseam.entry import _requests

_log = logbook.Logger('entry')


class _Phase(enum.Enum):
    NEW = 'new'
    HELD = 'held'
    ENDED = 'ended'


class Claim:
    """The right to run one request.

    It is asked for before a slot is taken, so that requests whose record
    holder does not answer occupy no slots.
    """

    def __init__(
        self, claims: 'Claims', context: _requests.RequestContext, attempt: str
    ) -> None:
        self._claims = claims
        self._context = context
        self._attempt = attempt
        self._phase = _Phase.NEW

    async def acquire(self) -> bool:
        """Ask for the right; False when the caller has its answer.

        Raises `errors.FulmarseamError` when the request may not run.
        """
        assert self._context.request_id is not None
        left_s = self._context.deadline - asyncio.get_running_loop().time()
        try:
            result = await self._claims.record_service.claim(
                self._context.request_id,
                self._context.print_content(),
                self._attempt,
                max(left_s, 0.0),
            )
        except BaseException:
            # The claim may have landed although its answer was lost.
            self._phase = _Phase.HELD
            self.close()
            raise
        if result.verdict is wire.Verdict.FRESH:
            self._phase = _Phase.HELD
            if self._context.caller.gone:
                raise http.CallerGoneError('the caller has left')
            return True
        self._phase = _Phase.ENDED
        self._answer_repeat(result)
        return False

    def _answer_repeat(self, result: wire.RecordVerdict) -> None:
        kinds = {
            wire.Verdict.IN_PROGRESS: errors.ErrorKind.REQUEST_IN_PROGRESS,
            wire.Verdict.UNKNOWN: errors.ErrorKind.OUTCOME_UNKNOWN,
            wire.Verdict.CONFLICT: errors.ErrorKind.REQUEST_ID_CONFLICT,
        }
        kind = kinds.get(result.verdict)
        if kind is not None:
            raise errors.FulmarseamError(
                kind, f'request id {self._context.request_id}'
            )
        stored = result.answer
        if stored is None or stored.body is None:
            raise errors.FulmarseamError(
                errors.ErrorKind.OUTCOME_NOT_KEPT,
                'the request ran; its answer was too large to keep',
            )
        headers = [
            *stored.headers,
            (_answers.OUTCOME_HEADER, _attempts.ANSWERED),
        ]
        self._context.caller.answer(stored.status, headers, stored.body)

    def finish(self, answer: wire.StoredAnswer | None) -> None:
        """Store the answer, or with None that the outcome is unknown."""
        if self._phase is not _Phase.HELD:
            return
        self._phase = _Phase.ENDED
        assert self._context.request_id is not None
        self._claims.spawn(
            self._claims.record_service.finish(
                self._context.request_id, self._attempt, answer
            )
        )

    def close(self) -> None:
        """Release the right unless the request has run or may have."""
        if self._phase is not _Phase.HELD:
            return
        self._phase = _Phase.ENDED
        assert self._context.request_id is not None
        self._claims.spawn(
            self._claims.record_service.release(
                self._context.request_id, self._attempt
            )
        )


class Claims:
    """Makes claims; stores their results in the background."""

    def __init__(
        self, record_service: _records.RecordService, attempt_prefix: str
    ) -> None:
        self.record_service = record_service
        self._prefix = attempt_prefix
        self._count = 0
        self._tasks: set[asyncio.Task[None]] = set()

    def check_key(self, context: _requests.RequestContext) -> None:
        """Refuse a request that lacks the key that its route requires."""
        if context.route.idempotent:
            return
        if context.request_id is None:
            if context.route.request_id_required:
                raise errors.FulmarseamError(
                    errors.ErrorKind.REQUEST_ID_REQUIRED,
                    'Idempotency-Key: found nothing, expected a key made '
                    'from a look-up answer',
                )
            return
        if records.parse_key(context.request_id) is None:
            raise errors.FulmarseamError(
                errors.ErrorKind.REQUEST_ID_REQUIRED,
                f'Idempotency-Key: found {context.request_id!r}, expected '
                'HOME.GENERATION.RANDOM',
            )

    def prepare(self, context: _requests.RequestContext) -> Claim | None:
        """Return the claim that a context needs, if any."""
        if context.route.idempotent or context.request_id is None:
            return None
        self._count += 1
        return Claim(self, context, f'{self._prefix}.{self._count}')

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a call to the record holder in the background."""
        task = asyncio.create_task(self._run(work))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run(self, work: Coroutine[Any, Any, None]) -> None:
        try:
            await work
        except errors.FulmarseamError as error:
            _log.warning(
                telemetry.format_event(
                    'record_update_failed', error=error.detail
                )
            )

    async def flush(self, timeout_s: float) -> int:
        """Wait until results are stored; return how many are not yet.

        A record without its result says unknown after its deadline.
        """
        if self._tasks:
            await asyncio.wait(list(self._tasks), timeout=timeout_s)
        return len(self._tasks)
