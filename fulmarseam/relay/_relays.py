"""The entries through which an entry relays requests."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterator
import contextlib
from typing import NamedTuple
from typing import Self

import logbook

from fulmarseam import errors
from fulmarseam import http
from fulmarseam import ids
from fulmarseam import telemetry
from fulmarseam import wire

# The list is fetched before it is needed, as the members may be out of reach
# as well when the paths to the targets are lost.
REFRESH_INTERVAL_S = 30.0
# While requests are relayed, entries come and go.
BUSY_REFRESH_INTERVAL_S = 1.0
TICK_S = 0.1
# Requests in flight that an entry of another region must have less than one of
# the own region to be preferred.
REMOTE_PENALTY = 4
# Requests in flight of this entry at another one.
MAX_IN_FLIGHT = 64

# An entry that refused a request for a pool is left alone for the minimum time
# first, and for up to the maximum if it refuses further ones: the targets of
# the pool may be down for all entries.
REFUSAL_PAUSE_MIN_S = 0.2
REFUSAL_PAUSE_MAX_S = 1.6
# Entries that are tried for a request, as each may refuse it.
MAX_TRIED = 3

FetchEntries = Callable[[], Awaitable[list[wire.EntryAddress]]]

_log = logbook.Logger('relay')


class RelayFailure(NamedTuple):
    """Why no entry answered a request.

    `error` is None if no entry could be asked. `has_reached_target` tells
    whether a target may have got the request, if only to refuse it.
    """

    error: errors.FulmarseamError | None = None
    has_reached_target: bool = False


# Sends a request through an entry; returns None if the caller has its answer.
# The failure that it returns has an error.
Send = Callable[[wire.EntryAddress], Awaitable[RelayFailure | None]]


class _Pause(NamedTuple):
    """How long an entry is left alone for a pool."""

    until: float
    duration_s: float


class Relays:
    """Chooses among the entries that `fetch` returns; a context manager."""

    def __init__(self, region: ids.RegionName, fetch: FetchEntries) -> None:
        self._region = region
        self._fetch = fetch
        self._entries: list[wire.EntryAddress] = []
        self._in_flight: dict[str, int] = {}
        # Pauses since the last answer, by entry and pool.
        self._pauses: dict[tuple[str, ids.PoolName], _Pause] = {}
        self._clock = asyncio.get_running_loop().time
        self._used_at = float('-inf')
        self._task: asyncio.Task[None] | None = None

    async def __aenter__(self) -> Self:
        self._task = asyncio.create_task(self._refresh())
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _refresh(self) -> None:
        fetched_at = float('-inf')
        while True:
            now = self._clock()
            is_busy = now - self._used_at < BUSY_REFRESH_INTERVAL_S
            interval_s = (
                BUSY_REFRESH_INTERVAL_S
                if is_busy or not self._entries
                else REFRESH_INTERVAL_S
            )
            if now - fetched_at >= interval_s:
                fetched_at = now
                await self._fetch_entries()
            await asyncio.sleep(TICK_S)

    async def _fetch_entries(self) -> None:
        try:
            self._entries = await self._fetch()
            self._forget_others()
        except errors.FulmarseamError as error:
            _log.info(
                telemetry.format_event(
                    'relays_unknown',
                    known=len(self._entries),
                    reason=error.detail,
                )
            )

    async def relay(
        self,
        pool: ids.PoolName,
        allowed_regions: Collection[ids.RegionName],
        deadline: float,
        body: http.CallerBody,
        send: Send,
        try_acquire_retry: Callable[[], bool],
    ) -> RelayFailure | None:
        """Send a request for a pool through one entry after another.

        An entry that did not run it is followed by the next one, a few at
        most, while `body` can start again. If a target may have got it, the
        next one repeats it, which `try_acquire_retry` must allow: no other
        entry counts that. Returns None once the caller has
        its answer. With `allowed_regions` only entries there or in the region
        of the caller are used. `deadline` is in seconds of the event loop's
        clock.
        """
        tried: set[str] = set()
        failure = RelayFailure()
        while (
            len(tried) < MAX_TRIED
            and body.can_start()
            and self._clock() < deadline
        ):
            with self._start(pool, allowed_regions, tried) as entry:
                if entry is None:
                    break
                if failure.has_reached_target and not try_acquire_retry():
                    break
                tried.add(entry.address)
                result = await send(entry)
            if result is None:
                self._pauses.pop((entry.address, pool), None)
                return None
            failure = result
            self._pause((entry.address, pool))
            if not _is_not_run(failure):
                break
        return failure

    def _pause(self, key: tuple[str, ids.PoolName]) -> None:
        """Leave an entry alone for a pool, for longer each time."""
        duration_s = REFUSAL_PAUSE_MIN_S
        if key in self._pauses:
            duration_s = min(
                2 * self._pauses[key].duration_s, REFUSAL_PAUSE_MAX_S
            )
        self._pauses[key] = _Pause(self._clock() + duration_s, duration_s)

    def _forget_others(self) -> None:
        """Forget the pauses of entries that are no longer known."""
        known = {entry.address for entry in self._entries}
        for address, pool in list(self._pauses):
            if address not in known:
                del self._pauses[address, pool]

    def _is_paused(
        self, now: float, entry: wire.EntryAddress, pool: ids.PoolName
    ) -> bool:
        pause = self._pauses.get((entry.address, pool))
        return pause is not None and now < pause.until

    @contextlib.contextmanager
    def _start(
        self,
        pool: ids.PoolName,
        allowed_regions: Collection[ids.RegionName],
        tried: Collection[str],
    ) -> Iterator[wire.EntryAddress | None]:
        """Yield the entry for a request, or None if there is none.

        The request counts as in flight there until the context ends.
        """
        self._used_at = self._clock()
        entry = self._choose(pool, allowed_regions, tried)
        if entry is None:
            yield None
            return
        in_flight = self._in_flight
        in_flight[entry.address] = in_flight.get(entry.address, 0) + 1
        try:
            yield entry
        finally:
            in_flight[entry.address] -= 1
            if not in_flight[entry.address]:
                del in_flight[entry.address]

    def _choose(
        self,
        pool: ids.PoolName,
        allowed_regions: Collection[ids.RegionName],
        tried: Collection[str],
    ) -> wire.EntryAddress | None:
        now = self._clock()
        candidates = [
            entry
            for entry in self._entries
            if entry.address not in tried
            and (
                not allowed_regions
                or entry.region in (*allowed_regions, self._region)
            )
            and self._in_flight.get(entry.address, 0) < MAX_IN_FLIGHT
            and not self._is_paused(now, entry, pool)
        ]
        return min(candidates, key=self._compute_cost, default=None)

    def _compute_cost(self, entry: wire.EntryAddress) -> int:
        in_flight = self._in_flight.get(entry.address, 0)
        penalty = 0 if entry.region == self._region else REMOTE_PENALTY
        return in_flight + penalty

    def count_in_flight(self) -> int:
        """Return the number of requests that are being relayed."""
        return sum(self._in_flight.values())


def _is_not_run(failure: RelayFailure) -> bool:
    """Return whether no target ran the request."""
    error = failure.error
    return error is None or error.answer.outcome is errors.Outcome.NOT_RUN


def may_have_reached_target(arrivals: bytes | None) -> bool:
    """Return whether a target may have got a request that was refused.

    `arrivals` is the header of the refusal that tells how often, which an
    entry of an earlier release does not send.
    """
    return arrivals != b'0'


def make_refusal(
    entry: wire.EntryAddress, detail: str, has_reached_target: bool
) -> RelayFailure:
    """Return the failure of a request that another entry refused."""
    return RelayFailure(
        errors.FulmarseamError(
            errors.ErrorKind.TARGET_SHED, f'{entry.address}: {detail}'
        ),
        has_reached_target,
    )


def make_failure(
    entry: wire.EntryAddress,
    error: http.TargetError,
    progress: http.Progress,
) -> RelayFailure:
    """Return the failure of a request that another entry did not answer."""
    kind = errors.ErrorKind.TARGET_FAILED
    if progress is http.Progress.NOT_SENT:
        kind = errors.ErrorKind.NO_TARGET
    elif error.reason is http.Reason.TIMED_OUT:
        kind = errors.ErrorKind.TARGET_TIMEOUT
    return RelayFailure(
        errors.FulmarseamError(kind, f'{entry.address}: {error.detail}'),
        has_reached_target=progress is not http.Progress.NOT_SENT,
    )


def make_body_error(
    error: errors.FulmarseamError, progress: http.Progress
) -> errors.FulmarseamError:
    """Return the error of a request whose body was refused while it was sent.

    What has been sent of it may have run.
    """
    if progress is http.Progress.NOT_SENT:
        return error
    return errors.FulmarseamError(
        errors.ErrorKind.TARGET_FAILED,
        f'the request body broke off: {error.detail}',
    )
