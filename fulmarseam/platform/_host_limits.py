"""The limits of a host in the words of the platform."""

import dataclasses
from typing import Any
from typing import TypeVar

from fulmarseam import settings

MIN_MEMORY_MIB = 64
# Descriptors for listeners, members, the log and the loop.
OTHER_DESCRIPTORS = 64
MIN_CONNECTIONS = 64

OptionsT = TypeVar(
    'OptionsT', settings.CatalogSettings, settings.GatewaySettings
)


def apply_host_limits(options: OptionsT) -> OptionsT:
    """Return the settings within the limits of the host.

    A limit that the platform does not state, or not as a number, changes
    nothing. A request takes a descriptor for its caller and one for its
    target, so half of the descriptors are for connections of callers.
    """
    limits = options.host_limits or {}
    memory_limit = options.memory_limit
    memory_mb = _read_number(limits.get('memoryMb'))
    if memory_limit is None and memory_mb is not None:
        memory_limit = max(memory_mb, MIN_MEMORY_MIB)
    max_connections = options.max_connections
    max_fds = _read_number(limits.get('maxFds'))
    if max_fds is not None:
        available = (max_fds - OTHER_DESCRIPTORS) // 2
        max_connections = min(max_connections, max(available, MIN_CONNECTIONS))
    return dataclasses.replace(
        options, memory_limit=memory_limit, max_connections=max_connections
    )


def _read_number(value: Any) -> int | None:
    is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
    return int(value) if is_number and value > 0 else None
