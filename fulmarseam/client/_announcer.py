"""Announcements of a target."""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import contextlib

import logbook
import msgspec

from fulmarseam import wire
from fulmarseam.client import _exchange

ANNOUNCE_TIMEOUT_S = 0.5
LEAVE_TRIES = 5

_log = logbook.Logger('announcer')


class Announcer:
    """Announces a target until it leaves.

    `describe` returns the report to send; the announcer numbers it. Each
    renewal goes to one entry, and to the next ones when that entry does
    not take it.
    """

    def __init__(
        self,
        apis: Sequence[str],
        describe: Callable[[], wire.TargetReport],
        renew_s: float,
        leave_apis: Sequence[str] = (),
    ) -> None:
        self._apis = list(apis)
        self._leave_apis = list(leave_apis) or list(apis)
        self._describe = describe
        self._renew_s = renew_s
        self._sequence = 0
        self._http_client = _exchange.HttpClient()

    async def run(self) -> None:
        """Announce at each interval until cancelled."""
        loop = asyncio.get_running_loop()
        next_time = loop.time()
        while True:
            await self.announce()
            next_time = max(next_time + self._renew_s, loop.time())
            await asyncio.sleep(next_time - loop.time())

    async def announce(self) -> bool:
        """Announce once; return whether the leader has it."""
        for api in list(self._apis):
            if await self._post(api, self._describe()):
                return True
            self._apis.remove(api)
            self._apis.append(api)
        _log.warn('event=announcement_not_taken sequence={}', self._sequence)
        return False

    async def leave(self) -> bool:
        """Announce leaving to all entries at once.

        Tries again until one entry says that the leader has it. Returns
        whether one did.
        """
        for _ in range(LEAVE_TRIES):
            report = msgspec.structs.replace(
                self._describe(), state=wire.TargetState.LEAVING
            )
            posts = [self._post(api, report) for api in self._leave_apis]
            taken = await asyncio.gather(*posts)
            if any(taken):
                return True
            await asyncio.sleep(self._renew_s / 4)
        return False

    async def _post(self, api: str, report: wire.TargetReport) -> bool:
        self._sequence += 1
        numbered = msgspec.structs.replace(report, sequence=self._sequence)
        request = _exchange.Request(
            'POST',
            'announce',
            '/v1/announce',
            {'Content-Type': 'application/json'},
            msgspec.json.encode(numbered),
        )
        with contextlib.suppress(_exchange.ExchangeError):
            reply = await self._http_client.send(
                api, request, ANNOUNCE_TIMEOUT_S
            )
            if reply.status == 200:
                return True
            _log.debug('event=announcement_refused status={}', reply.status)
        return False

    def close(self) -> None:
        """Close the connections to the entries."""
        self._http_client.close()
