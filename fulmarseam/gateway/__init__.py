"""An entry that serves from a catalog and observes the targets itself.

It needs no grants: each entry enforces its own part of the bounds that hold
for all entries together. It therefore keeps serving while it is cut off from
the control members::

    await gateway.Gateway(options, http_names).run()
"""

from fulmarseam.gateway._answers import make_answer
from fulmarseam.gateway._daemon import Gateway
from fulmarseam.gateway._http_names import HttpNames

__all__ = ['Gateway', 'HttpNames', 'make_answer']
