"""Waits until a revision is in force on all entries."""

import asyncio
import sys
import time

from fulmarseam import errors
from fulmarseam import wire
from fulmarseam.commands import _ctl_client

POLL_S = 0.1


async def wait_until_in_force(
    client: _ctl_client.AdminClient, revision: int, deadline: float
) -> None:
    """Wait until a revision is in force on every live entry.

    `deadline` is in monotonic seconds. An entry whose lease has expired takes
    no requests; it is listed but not waited for. Progress is printed to
    standard error. Raises `errors.FulmarseamError` with the entries that
    lack the revision at the deadline.
    """
    printed_text = ''
    while True:
        response = await client.call(wire.FleetRequest())
        if not isinstance(response, wire.FleetResponse):
            raise errors.WireError(
                f'found response {type(response).__name__}, '
                'expected FleetResponse'
            )
        live = [entry for entry in response.entries if entry.row.alive]
        pending = [entry for entry in live if entry.revision < revision]
        text = _describe_progress(response, revision, len(live), pending)
        if text != printed_text:
            print(text, file=sys.stderr)
            printed_text = text
        if not pending and response.revision >= revision:
            return
        if time.monotonic() >= deadline:
            raise errors.FulmarseamError(errors.ErrorKind.UNAVAILABLE, text)
        await asyncio.sleep(POLL_S)


def _describe_progress(
    response: wire.FleetResponse,
    revision: int,
    live_count: int,
    pending: list[wire.EntryProgress],
) -> str:
    parts = [
        f'revision {revision} in force on {live_count - len(pending)} of '
        f'{live_count} entries'
    ]
    if pending:
        parts.append(
            'not on '
            + ', '.join(
                f'{entry.row.info.entry} (has {entry.revision})'
                for entry in pending
            )
        )
    expired = [
        entry.row.info.entry
        for entry in response.entries
        if not entry.row.alive
    ]
    if expired:
        parts.append(
            'lease expired, taking no requests: ' + ', '.join(expired)
        )
    return '; '.join(parts)
