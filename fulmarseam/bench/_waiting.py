"""Waits for conditions with a deadline."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import inspect
import time
from typing import Any

POLL_S = 0.02


class ConditionError(AssertionError):
    """A condition was not met in time."""


async def wait_until(
    condition: Callable[[], Any | Awaitable[Any]],
    timeout_s: float,
    what: str,
    poll_s: float = POLL_S,
) -> float:
    """Wait until a condition is true; return the seconds that took.

    The condition may be a coroutine function. Raises `ConditionError`
    after `timeout_s`.
    """
    start = time.monotonic()
    while True:
        met = condition()
        if inspect.isawaitable(met):
            met = await met
        taken = time.monotonic() - start
        if met:
            return taken
        if taken > timeout_s:
            raise ConditionError(f'not within {timeout_s} s: {what}')
        await asyncio.sleep(poll_s)
