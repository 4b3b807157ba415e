"""Values of which only the newest are kept."""

import collections
from typing import TypeVar

K = TypeVar('K')
V = TypeVar('V')


def keep_newest(
    values: collections.OrderedDict[K, V], key: K, value: V, limit: int
) -> None:
    """Store a value as the newest one; forget the oldest beyond `limit`."""
    values[key] = value
    values.move_to_end(key)
    while len(values) > limit:
        values.popitem(last=False)
