"""The control daemon.

A `Daemon` joins the control group, and while it leads it answers the sync
requests of entries and proposes the steps of drains, shifts and record
groups::

    control.serve(settings.load_settings(path, settings.ControlSettings))
"""

from fulmarseam.control._daemon import Daemon
from fulmarseam.control._daemon import serve

__all__ = ['Daemon', 'serve']
