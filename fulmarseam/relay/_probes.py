"""Probes of targets while the paths to them may be cut."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import NamedTuple
from typing import Self

INTERVAL_S = 0.1
# On a full link packets wait for half a second, which is no lost path.
TIMEOUT_S = 0.8
# The entry tells that it has its paths back after they have been open for this
# long, so that its callers are not sent to and fro.
SETTLE_S = 2.0

IsListening = Callable[[str, float], Awaitable[bool]]


class Probe(NamedTuple):
    """An address to connect to, and what to call with the result."""

    address: str
    note_result: Callable[[bool], None]


class Paths(NamedTuple):
    """What a prober asks about the paths of its entry.

    `choose_probes` returns what to probe now, and `is_cut_off` whether most
    paths are cut. `on_change` is called when that changes; it is called late
    when the paths are back.
    """

    choose_probes: Callable[[], list[Probe]]
    is_cut_off: Callable[[], bool]
    on_change: Callable[[bool], None]


class Prober:
    """Connects to targets while their paths may be cut; a context manager."""

    def __init__(self, paths: Paths, is_listening: IsListening) -> None:
        self._paths = paths
        self.is_listening = is_listening
        self._is_cut_off = False
        self._cut_off_at = float('-inf')
        self._loop = asyncio.get_running_loop()
        self._tasks: set[asyncio.Task[None]] = set()
        self._ticker: asyncio.Task[None] | None = None

    async def __aenter__(self) -> Self:
        self._ticker = asyncio.create_task(self._tick())
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        tasks = [*self._tasks]
        if self._ticker is not None:
            tasks.append(self._ticker)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(INTERVAL_S)
            for probe in self._paths.choose_probes():
                task = asyncio.create_task(self._run(probe))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
            self._update()

    async def _run(self, probe: Probe) -> None:
        is_reached = await self.is_listening(probe.address, TIMEOUT_S)
        probe.note_result(is_reached)

    def _update(self) -> None:
        """Tell whether the paths to most targets are cut."""
        now = self._loop.time()
        if self._paths.is_cut_off():
            self._cut_off_at = now
        is_cut_off = now - self._cut_off_at < SETTLE_S
        if is_cut_off != self._is_cut_off:
            self._is_cut_off = is_cut_off
            self._paths.on_change(is_cut_off)
