"""Claims of requests that may run at most once."""

import asyncio
from collections.abc import Coroutine
import enum
from typing import Any

import logbook

from fulmarseam import errors
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
    """The exclusive right to run one request.

    It is acquired before a slot is taken, so that requests whose record
    holder does not respond occupy no slots.
    """

    def __init__(
        self, claims: 'Claims', context: _requests.RequestContext, attempt: str
    ) -> None:
        self._claims = claims
        self._context = context
        self._attempt = attempt
        self._phase = _Phase.NEW

    async def acquire(self) -> bool:
        """Acquire the claim; False when a stored answer was sent instead.

        Raises `errors.FulmarseamError` when the request may not run.
        """
        assert self._context.request_id is not None
        remaining_s = (
            self._context.deadline - asyncio.get_running_loop().time()
        )
        try:
            response = await self._claims.record_client.claim(
                self._context.request_id,
                self._context.content_fingerprint(),
                self._attempt,
                max(remaining_s, 0.0),
            )
        except BaseException:
            # The holder may have granted the claim although its response
            # was lost, so the claim must be released.
            self._phase = _Phase.HELD
            self.close()
            raise
        if response.verdict is wire.Verdict.FRESH:
            self._phase = _Phase.HELD
            self._context.caller.require_present()
            return True
        self._phase = _Phase.ENDED
        self._answer_duplicate(response)
        return False

    def _answer_duplicate(self, response: wire.RecordVerdict) -> None:
        kinds = {
            wire.Verdict.IN_PROGRESS: errors.ErrorKind.REQUEST_IN_PROGRESS,
            wire.Verdict.UNKNOWN: errors.ErrorKind.OUTCOME_UNKNOWN,
            wire.Verdict.CONFLICT: errors.ErrorKind.REQUEST_ID_CONFLICT,
        }
        kind = kinds.get(response.verdict)
        if kind is not None:
            raise errors.FulmarseamError(
                kind, f'request id {self._context.request_id}'
            )
        stored_answer = response.answer
        if stored_answer is None or stored_answer.body is None:
            raise errors.FulmarseamError(
                errors.ErrorKind.OUTCOME_NOT_KEPT,
                'the request ran, but its answer was too large to store',
            )
        headers = [
            *stored_answer.headers,
            (_answers.OUTCOME_HEADER, _attempts.ANSWERED),
        ]
        self._context.caller.send_response(
            stored_answer.status, headers, stored_answer.body
        )

    def finish(self, answer: wire.StoredAnswer | None) -> None:
        """Store the answer; None records that the outcome is unknown."""
        if self._phase is not _Phase.HELD:
            return
        self._phase = _Phase.ENDED
        assert self._context.request_id is not None
        self._claims.run_in_background(
            self._claims.record_client.finish(
                self._context.request_id, self._attempt, answer
            )
        )

    def close(self) -> None:
        """Release the claim unless the request has run or may have run."""
        if self._phase is not _Phase.HELD:
            return
        self._phase = _Phase.ENDED
        assert self._context.request_id is not None
        self._claims.run_in_background(
            self._claims.record_client.release(
                self._context.request_id, self._attempt
            )
        )


class Claims:
    """Creates claims and stores their results in the background."""

    def __init__(
        self, record_client: _records.RecordClient, attempt_prefix: str
    ) -> None:
        self.record_client = record_client
        self._attempt_prefix = attempt_prefix
        self._claim_count = 0
        self._tasks: set[asyncio.Task[None]] = set()

    def check_request_id(self, context: _requests.RequestContext) -> None:
        """Refuse a request without the request id that its route requires."""
        if context.route.idempotent:
            return
        if context.request_id is None:
            if context.route.request_id_required:
                raise errors.FulmarseamError(
                    errors.ErrorKind.REQUEST_ID_REQUIRED,
                    'Idempotency-Key: found nothing, expected a key made '
                    'from a lookup answer',
                )
            return
        if records.parse_key(context.request_id) is None:
            raise errors.FulmarseamError(
                errors.ErrorKind.REQUEST_ID_REQUIRED,
                f'Idempotency-Key: found {context.request_id!r}, expected '
                'HOME.GENERATION.RANDOM',
            )

    def create_claim(self, context: _requests.RequestContext) -> Claim | None:
        """Return a claim if the request needs one, otherwise None."""
        if context.route.idempotent or context.request_id is None:
            return None
        self._claim_count += 1
        return Claim(
            self, context, f'{self._attempt_prefix}.{self._claim_count}'
        )

    def run_in_background(self, call: Coroutine[Any, Any, None]) -> None:
        """Run a call to the record holder in the background."""
        task = asyncio.create_task(self._run_logged(call))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run_logged(self, call: Coroutine[Any, Any, None]) -> None:
        try:
            await call
        except errors.FulmarseamError as error:
            _log.warning(
                telemetry.format_event(
                    'record_update_failed', error=error.detail
                )
            )

    async def flush(self, timeout_s: float) -> int:
        """Wait until results are stored; return how many are not yet.

        A record whose result was not stored reads as unknown after its
        deadline.
        """
        if self._tasks:
            await asyncio.wait(list(self._tasks), timeout=timeout_s)
        return len(self._tasks)
