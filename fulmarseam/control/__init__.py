"""The control daemon.

A `Daemon` is a member of the control group. While it leads, it answers the
sync requests of entries and proposes the state changes ("steps") of drains,
shifts and record groups::

    control.serve(settings.load_settings(path, settings.ControlSettings))

A `CatalogMember` stores versioned items and the targets that announce
themselves, for entries that measure the load of targets themselves.
"""

from fulmarseam.control._catalog import CatalogMember
from fulmarseam.control._daemon import Daemon
from fulmarseam.control._daemon import serve
from fulmarseam.control._pending_calls import PendingCall

__all__ = ['CatalogMember', 'Daemon', 'PendingCall', 'serve']
