"""An entry that serves from a catalog and observes the targets itself.

It needs no grants: each entry keeps its own bounds, which are parts of the
bounds of all entries together. So it goes on serving while it is cut off
from the control members::

    await gateway.Gateway(options, http_names).run()
"""

from fulmarseam.gateway._answers import make_answer
from fulmarseam.gateway._daemon import Gateway
from fulmarseam.gateway._http_names import HttpNames

__all__ = ['HttpNames', 'Gateway', 'make_answer']
