"""An event loop whose clock counts the time of a suspended host."""

import asyncio

from fulmarseam import pauses

read_clock = pauses.read_clock


class SteadyLoop(asyncio.SelectorEventLoop):
    """The event loop of an entry.

    Leases and grants are kept in the time of the loop. The usual clock of
    asyncio stands still while the host is suspended, so that permissions
    which others have taken over since would still hold when it wakes up.
    """

    def time(self) -> float:
        """Return the seconds of `read_clock`."""
        return read_clock()
