"""Proof that a member knows all that its group has accepted."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Self

import logbook

from fulmarseam import errors
from fulmarseam import telemetry

_log = logbook.Logger('control')


class CurrencyCheck:
    """Tells whether this member is current; a context manager.

    `catch_up` reads the revision of the group from its leader and waits until
    this member has applied it. It raises `errors.FulmarseamError` if that
    fails. Calls that arrive while it runs share the next run::

        async with CurrencyCheck(member.wait_until_current) as check:
            is_current = await check.prove(0.5)
    """

    def __init__(self, catch_up: Callable[[], Awaitable[None]]) -> None:
        self._catch_up = catch_up
        self._running: asyncio.Task[bool] | None = None
        self._next: asyncio.Task[bool] | None = None

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        tasks = [task for task in (self._running, self._next) if task]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def prove(self, timeout_s: float) -> bool:
        """Return whether a run that starts after this call succeeds in time.

        A run in progress does not count: the group may have accepted a
        command since it read the revision.
        """
        if self._next is None:
            self._next = asyncio.create_task(self._run_after(self._running))
        done, _ = await asyncio.wait((self._next,), timeout=timeout_s)
        return any(task.result() for task in done)

    async def _run_after(self, previous: asyncio.Task[bool] | None) -> bool:
        if previous is not None:
            await asyncio.wait((previous,))
        self._running, self._next = self._next, None
        try:
            await self._catch_up()
        except errors.FulmarseamError as error:
            _log.info(
                telemetry.format_event('not_current', reason=error.detail)
            )
            return False
        return True
