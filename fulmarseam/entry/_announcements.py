"""Announcements of targets on their way to the leader."""

import asyncio
import dataclasses

from fulmarseam import errors
from fulmarseam import ids
from fulmarseam import wire

# A target waits this long for the leader to have its announcement.
ACKNOWLEDGE_TIMEOUT_S = 1.0


@dataclasses.dataclass(eq=False, slots=True)
class _Pending:
    report: wire.TargetReport
    received_at: float
    acknowledged: asyncio.Event


class PendingAnnouncements:
    """Holds the newest announcement of each target until the leader has it.

    Older announcements by (incarnation, sequence) never replace newer ones.
    """

    def __init__(self) -> None:
        self._pending: dict[ids.TargetId, _Pending] = {}

    def __len__(self) -> int:
        return len(self._pending)

    def add(self, now: float, report: wire.TargetReport) -> asyncio.Event:
        """Hold a report; the event is set once the leader has it."""
        known = self._pending.get(report.target)
        if known is not None and sort_key(report) < sort_key(known.report):
            # The leader keeps the newer one, which settles this one too.
            return known.acknowledged
        event = asyncio.Event() if known is None else known.acknowledged
        self._pending[report.target] = _Pending(report, now, event)
        return event

    def collect(self, now: float) -> tuple[list[wire.TargetReport], list[int]]:
        """Return the reports to send and their ages in milliseconds."""
        pending = list(self._pending.values())
        reports = [item.report for item in pending]
        ages = [int((now - item.received_at) * 1_000) for item in pending]
        return reports, ages

    def acknowledge(self, reports: list[wire.TargetReport]) -> None:
        """Note that the leader has the reports of a sync request."""
        for report in reports:
            item = self._pending.get(report.target)
            if item is None or sort_key(item.report) > sort_key(report):
                continue
            del self._pending[report.target]
            item.acknowledged.set()

    def drop_old(self, now: float) -> None:
        """Drop reports whose sender has stopped to wait for an answer."""
        for target, item in list(self._pending.items()):
            if now - item.received_at > 2 * ACKNOWLEDGE_TIMEOUT_S:
                del self._pending[target]


async def wait_until_acknowledged(event: asyncio.Event) -> None:
    """Wait until the leader has a report.

    Raises `errors.FulmarseamError` when that takes too long; the leader
    may have it all the same.
    """
    try:
        async with asyncio.timeout(ACKNOWLEDGE_TIMEOUT_S):
            await event.wait()
    except TimeoutError:
        raise errors.FulmarseamError(
            errors.ErrorKind.UNAVAILABLE,
            'the control leader has not confirmed the announcement',
        ) from None


def sort_key(report: wire.TargetReport) -> tuple[int, int]:
    """Return the key by which the reports of a target are ordered."""
    return report.incarnation, report.sequence
