"""Waiting until a revision is in force on every entry."""

import asyncio
import sys
import time

from fulmarseam import errors
from fulmarseam import wire
from fulmarseam.commands import _ctl_client

POLL_S = 0.1


async def wait_in_force(
    client: _ctl_client.AdminClient, revision: int, end: float
) -> None:
    """Wait until every entry that takes work has a revision in force.

    `end` is in monotonic seconds. An entry whose lease has ended takes no
    work and is named but not waited for. Progress goes to standard error.
    Raises `errors.FulmarseamError` naming the entries that lack the
    revision.
    """
    shown = ''
    while True:
        answer = await client.call(wire.FleetRequest())
        if not isinstance(answer, wire.FleetResponse):
            raise errors.WireError(
                f'found answer {type(answer).__name__}, expected FleetResponse'
            )
        live = [entry for entry in answer.entries if entry.row.alive]
        pending = [entry for entry in live if entry.revision < revision]
        text = _describe(answer, revision, len(live), pending)
        if text != shown:
            print(text, file=sys.stderr)
            shown = text
        if not pending and answer.revision >= revision:
            return
        if time.monotonic() >= end:
            raise errors.FulmarseamError(errors.ErrorKind.UNAVAILABLE, text)
        await asyncio.sleep(POLL_S)


def _describe(
    answer: wire.FleetResponse,
    revision: int,
    live: int,
    pending: list[wire.EntryProgress],
) -> str:
    parts = [
        f'revision {revision} in force on {live - len(pending)} of '
        f'{live} entries'
    ]
    if pending:
        parts.append(
            'not on '
            + ', '.join(
                f'{entry.row.info.entry} (has {entry.revision})'
                for entry in pending
            )
        )
    silent = [
        entry.row.info.entry for entry in answer.entries if not entry.row.alive
    ]
    if silent:
        parts.append('not heard and taking no work: ' + ', '.join(silent))
    return '; '.join(parts)
