"""The entry daemon.

An entry proxies callers' requests to targets, answers lookups, forwards the
announcements of targets to the control leader and syncs with it. Its loop
counts the time of a suspended host::

    with asyncio.Runner(loop_factory=entry.SteadyLoop) as runner:
        runner.run(entry.run_entry(settings, tracer))
"""

from fulmarseam.entry._clock import SteadyLoop
from fulmarseam.entry._daemon import Entry
from fulmarseam.entry._daemon import run_entry

__all__ = ['Entry', 'SteadyLoop', 'run_entry']
