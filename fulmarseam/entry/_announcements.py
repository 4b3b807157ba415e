"""Announcements of targets that the leader has not acknowledged yet."""

import asyncio
import dataclasses

from fulmarseam import errors
from fulmarseam import ids
from fulmarseam import wire

# A target waits this long for the leader to acknowledge its announcement.
ACKNOWLEDGE_TIMEOUT_S = 1.0


@dataclasses.dataclass(eq=False, slots=True)
class _PendingAnnouncement:
    report: wire.TargetReport
    received_at: float
    acknowledged: asyncio.Event


class PendingAnnouncements:
    """Keeps the newest announcement of each target until acknowledged.

    Older announcements by (incarnation, sequence) never replace newer ones.
    """

    def __init__(self) -> None:
        self._pending: dict[ids.TargetId, _PendingAnnouncement] = {}

    def __len__(self) -> int:
        return len(self._pending)

    def add(self, now: float, report: wire.TargetReport) -> asyncio.Event:
        """Add a report; the event is set once the leader acknowledges it."""
        existing = self._pending.get(report.target)
        if existing is not None and sort_key(report) < sort_key(
            existing.report
        ):
            # Acknowledging the newer report also covers this older one.
            return existing.acknowledged
        event = asyncio.Event() if existing is None else existing.acknowledged
        self._pending[report.target] = _PendingAnnouncement(report, now, event)
        return event

    def collect(self, now: float) -> tuple[list[wire.TargetReport], list[int]]:
        """Return the reports to send and their ages in milliseconds."""
        pending = list(self._pending.values())
        reports = [announcement.report for announcement in pending]
        ages = [
            int((now - announcement.received_at) * 1_000)
            for announcement in pending
        ]
        return reports, ages

    def acknowledge(self, reports: list[wire.TargetReport]) -> None:
        """Mark the reports of an answered sync request as acknowledged."""
        for report in reports:
            announcement = self._pending.get(report.target)
            if announcement is None or sort_key(
                announcement.report
            ) > sort_key(report):
                continue
            del self._pending[report.target]
            announcement.acknowledged.set()

    def drop_expired(self, now: float) -> None:
        """Drop reports whose sender no longer waits for a response."""
        for target, announcement in list(self._pending.items()):
            if now - announcement.received_at > 2 * ACKNOWLEDGE_TIMEOUT_S:
                del self._pending[target]


async def wait_until_acknowledged(event: asyncio.Event) -> None:
    """Wait until the leader has acknowledged a report.

    Raises `errors.FulmarseamError` after a timeout; the leader may have
    received the report nevertheless.
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
    """Return the sort key of a target's reports, oldest first."""
    return report.incarnation, report.sequence
