"""Order of entries in a lookup response."""

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
    """Return the entries that a caller should use, in order of preference.

    Entries of `region` come first, then those of other regions. Within a
    region, entries alternate between failure domains, so that the second
    entry survives the loss of the first entry's domain. Draining and dead
    entries are omitted. `caller` is any stable text that identifies the
    caller; it spreads callers over equal entries.
    """
    drained_entries = set(drained)
    usable = [
        row.info
        for row in rows
        if row.alive
        and not row.draining
        and row.info.entry not in drained_entries
    ]
    local_entries = [info for info in usable if info.region == region]
    remote_entries = [info for info in usable if info.region != region]
    remote_regions = sorted({info.region for info in remote_entries})
    ordered = _alternate_domains(local_entries, caller)
    for name in _shuffle(remote_regions, caller):
        group = [info for info in remote_entries if info.region == name]
        ordered.extend(_alternate_domains(group, caller))
    return ordered


def _alternate_domains(
    entries: Sequence[wire.EntryInfo], caller: str
) -> list[wire.EntryInfo]:
    """Return the entries in an order that alternates between domains."""
    shuffled = sorted(entries, key=lambda info: _hash_pair(caller, info.entry))
    domains: dict[ids.DomainName, list[wire.EntryInfo]] = {}
    for info in shuffled:
        domains.setdefault(info.failure_domain, []).append(info)
    turns = itertools.zip_longest(*domains.values())
    return [info for turn in turns for info in turn if info is not None]


def _shuffle(
    names: Sequence[ids.RegionName], caller: str
) -> list[ids.RegionName]:
    return sorted(names, key=lambda name: _hash_pair(caller, name))


def _hash_pair(caller: str, name: str) -> int:
    """Return a stable hash of a caller and a name."""
    return zlib.crc32(f'{caller}|{name}'.encode())
