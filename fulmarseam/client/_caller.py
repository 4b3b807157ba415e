"""Calls to targets through the entries."""

import asyncio
from collections.abc import Sequence
import secrets
import time
from typing import NamedTuple
from typing import Self

from fulmarseam import errors
from fulmarseam import ids
from fulmarseam import steering
from fulmarseam.client import _exchange
from fulmarseam.client import _lookup

REQUEST_ID_RANDOM_BYTES = 16
# The entry ends a request at its deadline; the caller waits a little longer
# to receive the error response for it.
RESPONSE_GRACE_S = 1.0
# Share of the calls that may be retried at another entry after a refusal for
# lack of capacity. In an overload every entry refuses, and retrying a call at
# each of them would multiply the load.
OVERLOAD_RETRY_RATIO = 0.1
_OVERLOAD_KINDS = frozenset(
    {
        errors.ErrorKind.NO_CAPACITY,
        errors.ErrorKind.QUEUE_FULL,
        errors.ErrorKind.TARGET_SHED,
    }
)


class Attempt(NamedTuple):
    """One attempt of a call at one entry.

    Times are seconds of the monotonic clock. `status` is 0 when no complete
    response was received; `detail` then gives the reason. `opened` and
    `started` are as in `ExchangeError`.
    """

    entry: str
    sent: float
    ended: float
    outcome: errors.Outcome
    status: int = 0
    kind: str = ''
    detail: str = ''
    opened: bool = True
    started: bool = True


class Result(NamedTuple):
    """What is known about a call after its last attempt.

    `reply` is None when the last attempt got no complete response.
    """

    outcome: errors.Outcome
    reply: _exchange.Reply | None
    request_id: ids.RequestId | None
    attempts: Sequence[Attempt]


class Caller:
    """Sends calls through the entries listed in lookup answers.

    The next entry is tried only when an attempt is known not to have run,
    and after a refusal for lack of capacity only within a retry budget. All
    attempts of a call carry the same request id. `address` is the caller's
    IP address for lookups; without it entries use the address of the
    connection. A body above `max_answer_bytes` counts as no answer::

        async with Caller(['127.0.0.1:8001'], 'ost') as caller:
            result = await caller.call(request, deadline_ms=2000, once=True)
    """

    def __init__(
        self,
        apis: Sequence[str],
        region: str,
        address: str | None = None,
        max_answer_bytes: int = _exchange.MAX_ANSWER_BYTES,
    ) -> None:
        self._http_client = _exchange.HttpClient(max_answer_bytes)
        self._lookup = _lookup.Lookup(apis, region, self._http_client, address)
        self._retry_budget = steering.RetryBudget(OVERLOAD_RETRY_RATIO)

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        self._http_client.close()

    async def create_request_id(self) -> ids.RequestId:
        """Return a new request id, HOME.GENERATION.RANDOM.

        Raises `errors.FulmarseamError` when no entry answers a lookup or
        the answer names no record home.
        """
        answer = await self._lookup.get()
        home = answer.record_home
        if home is None:
            raise errors.FulmarseamError(
                errors.ErrorKind.UNAVAILABLE,
                'the lookup answer names no record home',
            )
        token = secrets.token_hex(REQUEST_ID_RANDOM_BYTES)
        return ids.RequestId(f'{home.home}.{home.generation}.{token}')

    async def look_up(self) -> _lookup.LookupAnswer:
        """Return the current lookup answer.

        Raises `errors.FulmarseamError` when no entry has ever answered.
        """
        return await self._lookup.get()

    async def call(
        self,
        request: _exchange.Request,
        deadline_ms: int,
        once: bool = False,
        request_id: ids.RequestId | None = None,
    ) -> Result:
        """Send a request and return what is known about it.

        With `once` the request carries a request id: `request_id` when it is
        given (a retry of an earlier call), otherwise a new one. Raises
        `errors.FulmarseamError` when no entry answers a lookup; in that case
        nothing was sent.
        """
        deadline = time.monotonic() + deadline_ms / 1_000
        answer = await self._lookup.get()
        if once and request_id is None:
            request_id = await self.create_request_id()
        attempts: list[Attempt] = []
        reply: _exchange.Reply | None = None
        self._retry_budget.count_request()
        for entry in answer.entries:
            remaining_s = deadline - time.monotonic()
            if remaining_s <= 0:
                break
            attempt, reply = await self._attempt(
                entry.address,
                _add_headers(request, request_id, remaining_s),
                remaining_s,
            )
            attempts.append(attempt)
            if not self._may_try_next_entry(attempt):
                break
        outcome = errors.Outcome.NOT_RUN
        if attempts:
            outcome = attempts[-1].outcome
        return Result(outcome, reply, request_id, attempts)

    def _may_try_next_entry(self, attempt: Attempt) -> bool:
        """Return whether the call may be retried at the next entry."""
        if attempt.outcome is not errors.Outcome.NOT_RUN:
            return False
        if not attempt.kind:
            return True
        try:
            kind = errors.ErrorKind(attempt.kind)
        except ValueError:
            return False
        if errors.ANSWERS[kind].retry is not errors.Retry.OTHER_ENTRY:
            return False
        return kind not in _OVERLOAD_KINDS or self._retry_budget.try_acquire()

    async def _attempt(
        self, address: str, request: _exchange.Request, remaining_s: float
    ) -> tuple[Attempt, _exchange.Reply | None]:
        sent = time.monotonic()
        try:
            reply = await self._http_client.send(
                address, request, remaining_s + RESPONSE_GRACE_S
            )
        except _exchange.ExchangeError as error:
            attempt = Attempt(
                entry=address,
                sent=sent,
                ended=time.monotonic(),
                outcome=error.outcome,
                detail=str(error),
                opened=error.opened,
                started=error.started,
            )
            return attempt, None
        outcome = read_outcome(reply)
        kind = reply.headers.get('fulmarseam-kind', '')
        ended = time.monotonic()
        attempt = Attempt(address, sent, ended, outcome, reply.status, kind)
        return attempt, reply


def read_outcome(reply: _exchange.Reply) -> errors.Outcome:
    """Return the outcome that a response declares, by default answered."""
    declared = reply.headers.get('fulmarseam-outcome')
    if declared is None:
        return errors.Outcome.ANSWERED
    try:
        return errors.Outcome(declared)
    except ValueError:
        return errors.Outcome.UNKNOWN


def _add_headers(
    request: _exchange.Request,
    request_id: ids.RequestId | None,
    remaining_s: float,
) -> _exchange.Request:
    headers = dict(request.headers)
    headers['Fulmarseam-Deadline-Ms'] = str(max(1, int(remaining_s * 1_000)))
    if request_id is not None:
        headers['Idempotency-Key'] = request_id
    return request._replace(headers=headers)


async def call_repeatedly(
    caller: Caller,
    request: _exchange.Request,
    deadline_ms: int,
    max_calls: int,
    pause_s: float,
) -> list[Result]:
    """Repeat an at-most-once call until its outcome is not unknown.

    All calls use the same request id; at most `max_calls` are made. Returns
    their results in order.
    """
    results: list[Result] = []
    request_id = await caller.create_request_id()
    for _ in range(max_calls):
        result = await caller.call(request, deadline_ms, True, request_id)
        results.append(result)
        if result.outcome is not errors.Outcome.UNKNOWN:
            break
        await asyncio.sleep(pause_s)
    return results
