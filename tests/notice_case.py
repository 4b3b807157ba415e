"""Targets that say in their answers that they leave or want to pause."""

import asyncio
from typing import NamedTuple

from tests import gateway_case
from tests import rate_limit_case

# Bounds of the operators: the last request after a target has said that it
# leaves, and the requests while it wants none.
DRAIN_S = 2.5
PAUSE_SLACK_S = 0.5
MAX_PAUSED_ARRIVALS = 2
MAX_RETURN_S = 1.0

SERVICE_S = 0.01


class Refusal(NamedTuple):
    """An answer 503 to an entry, with the time that it names."""

    time: float
    entry: str
    pause_s: float


class NoticeTarget:
    """A target that says `is_leaving`, or refuses with `retry_after`.

    Entries are told apart by the beginning of the request ids.
    """

    def __init__(self) -> None:
        self.is_leaving = False
        self.retry_after = ''
        self.server = gateway_case.Target(self._serve)
        self.arrivals: list[tuple[float, str]] = []
        self.refusals: list[Refusal] = []
        # When each entry first got an answer that said it.
        self.told_at: dict[str, float] = {}
        self._loop = asyncio.get_running_loop()

    async def _serve(self, reader, writer, headers) -> None:
        entry = headers['fulmarseam-request-id'].partition('.')[0]
        self.arrivals.append((self._loop.time(), entry))
        await asyncio.sleep(SERVICE_S)
        extra = {}
        if self.is_leaving:
            extra['fulmarseam_leaving'] = '1'
            self.told_at.setdefault(entry, self._loop.time())
        if not self.retry_after:
            await gateway_case.write_response(writer, headers, **extra)
            return
        self.refusals.append(
            Refusal(self._loop.time(), entry, float(self.retry_after))
        )
        await gateway_case.write_response(
            writer,
            headers,
            503,
            b'',
            fulmarseam_not_run='1',
            retry_after=self.retry_after,
            **extra,
        )

    def count_late_arrivals(self) -> int:
        """Return the requests of entries that knew that it leaves."""
        return sum(
            entry in self.told_at and time > self.told_at[entry] + DRAIN_S
            for time, entry in self.arrivals
        )

    def count_paused_arrivals(self) -> int:
        """Return the most requests of an entry in a time that was named."""
        return max(
            (
                sum(
                    entry == refusal.entry
                    and refusal.time + PAUSE_SLACK_S
                    < time
                    < refusal.time + refusal.pause_s
                    for time, entry in self.arrivals
                )
                for refusal in self.refusals
            ),
            default=0,
        )

    def find_first_arrival(self, since: float) -> float:
        """Return when the first request after a time came, or infinity."""
        return min(
            (time for time, _ in self.arrivals if time > since),
            default=float('inf'),
        )


class NoticeCase(rate_limit_case.RateLimitCase):
    """Runs a control member, entries and targets that give notices."""

    entry_count = 4
    target_count = 5

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        await self.put_items(idempotent=True, max_attempts=3)
        self.notice_targets = [
            NoticeTarget() for _ in range(self.target_count)
        ]
        for number, target in enumerate(self.notice_targets):
            await self.add_target(f't{number}', target)
        await self.start_entries(self.entry_count)
        self.callers = [
            rate_limit_case.Caller(address, f'e{number}')
            for number, address in enumerate(self.addresses)
        ]

    async def call_all(self, rate_per_s: float, duration_s: float) -> float:
        """Call all entries; return the share of calls that are served."""
        for caller in self.callers:
            caller.statuses.clear()
        await asyncio.gather(
            *(caller.run(rate_per_s, duration_s) for caller in self.callers)
        )
        statuses = [
            status for caller in self.callers for status in caller.statuses
        ]
        return statuses.count(200) / len(statuses)
