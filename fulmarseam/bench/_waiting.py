"""Waits for conditions with a timeout."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import inspect
import time
from typing import Any

POLL_INTERVAL_S = 0.02


class ConditionError(AssertionError):
    """A condition was not met within the timeout."""


async def wait_until(
    condition: Callable[[], Any | Awaitable[Any]],
    timeout_s: float,
    description: str,
    poll_s: float = POLL_INTERVAL_S,
) -> float:
    """Wait until a condition is true; return the seconds waited.

    The condition may be a coroutine function. Raises `ConditionError`
    after `timeout_s`.
    """
    start = time.monotonic()
    while True:
        is_met = condition()
        if inspect.isawaitable(is_met):
            is_met = await is_met
        elapsed_s = time.monotonic() - start
        if is_met:
            return elapsed_s
        if elapsed_s > timeout_s:
            raise ConditionError(
                f'condition not met within {timeout_s} s: {description}'
            )
        await asyncio.sleep(poll_s)
