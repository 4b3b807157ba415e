"""The entry daemon.

An entry proxies callers' requests to targets, answers look-ups, takes the
announcements of targets and syncs with the control leader::

    asyncio.run(entry.run_entry(settings, tracer))
"""

from fulmarseam.entry._daemon import Entry
from fulmarseam.entry._daemon import run_entry

__all__ = ['Entry', 'run_entry']
