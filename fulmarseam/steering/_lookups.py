"""The order of entries in a look-up answer."""

from collections.abc import Iterable
from collections.abc import Sequence
import itertools
import zlib

from fulmarseam import ids
from fulmarseam import wire


def order_entries(
    rows: Iterable[wire.EntryRow],
    region: ids.RegionName,
    caller: str = '',
    drained: Iterable[ids.EntryId] = (),
) -> list[wire.EntryInfo]:
    """Return the entries a caller should use, best first.

    Entries of `region` come first, alternating between its failure domains
    so that the second choice survives the loss of the first one's domain;
    then the other regions. Draining and dead entries are left out. `caller`
    is any stable text of the caller: it spreads callers over equal entries.
    """
    left_out = set(drained)
    usable = [
        row.info
        for row in rows
        if row.alive and not row.draining and row.info.entry not in left_out
    ]
    near = [info for info in usable if info.region == region]
    far = [info for info in usable if info.region != region]
    far_regions = sorted({info.region for info in far})
    ordered = _alternate_domains(near, caller)
    for name in _rotate(far_regions, caller):
        group = [info for info in far if info.region == name]
        ordered.extend(_alternate_domains(group, caller))
    return ordered


def _alternate_domains(
    entries: Sequence[wire.EntryInfo], caller: str
) -> list[wire.EntryInfo]:
    """Return entries so that neighbours are in different domains."""
    spread = sorted(entries, key=lambda info: _weigh(caller, info.entry))
    domains: dict[ids.DomainName, list[wire.EntryInfo]] = {}
    for info in spread:
        domains.setdefault(info.failure_domain, []).append(info)
    rounds = itertools.zip_longest(*domains.values())
    return [info for turn in rounds for info in turn if info is not None]


def _rotate(
    names: Sequence[ids.RegionName], caller: str
) -> list[ids.RegionName]:
    return sorted(names, key=lambda name: _weigh(caller, name))


def _weigh(caller: str, name: str) -> int:
    """Return a stable number for a caller and a name."""
    return zlib.crc32(f'{caller}|{name}'.encode())
