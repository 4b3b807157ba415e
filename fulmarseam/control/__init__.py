"""The control daemon.

A `Daemon` joins the control group, and while it leads it answers the sync
requests of entries and proposes the steps of drains, shifts and record
groups::

    control.serve(settings.load_settings(path, settings.ControlSettings))

A `CatalogMember` holds items with versions and the targets that announce
themselves, for entries that observe the targets by themselves.
"""

from fulmarseam.control._catalog import CatalogMember
from fulmarseam.control._daemon import Daemon
from fulmarseam.control._daemon import serve

__all__ = ['CatalogMember', 'Daemon', 'serve']
