"""The entry daemon.

An entry proxies callers' requests to targets, answers lookups, forwards the
announcements of targets to the control leader and syncs with it::

    asyncio.run(entry.run_entry(settings, tracer))
"""

from fulmarseam.entry._daemon import Entry
from fulmarseam.entry._daemon import run_entry

__all__ = ['Entry', 'run_entry']
