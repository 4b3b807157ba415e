"""Blocks in sorted arrays, one pair of arrays for each prefix length.

A row takes 6 bytes for IPv4 and 10 bytes for IPv6, where a Python object
for each row would take over 100 bytes. A change moves the tail of one
array, so it needs no separate list of recent changes. IPv6 blocks longer
than /64 are refused, which keeps a key within one machine word.
"""

from array import array
import bisect
from collections.abc import Iterable
from collections.abc import Iterator
import ipaddress
import sys

import msgspec
import numpy

from fulmarseam import ids

IPV4 = 4
IPV6 = 6
IPV4_BITS = 32
IPV6_BITS = 64
MAX_REGIONS = 65_536

_Network = ipaddress.IPv4Network | ipaddress.IPv6Network


class _Part(msgspec.Struct, array_like=True):
    """All blocks of one IP version and prefix length, little-endian."""

    version: int
    length: int
    keys: bytes
    regions: bytes


class _Image(msgspec.Struct, array_like=True):
    """The serialized form of a table."""

    regions: list[str]
    parts: list[_Part]


class _Column:
    """The blocks of one prefix length, sorted by network."""

    __slots__ = ('keys', 'regions', 'shift')

    def __init__(self, version: int, length: int) -> None:
        bits = IPV4_BITS if version == IPV4 else IPV6_BITS
        self.shift = bits - length
        self.keys = array('I' if version == IPV4 else 'Q')
        self.regions = array('H')

    def find(self, key: int) -> int | None:
        """Return the region index of the network with this key."""
        position = bisect.bisect_left(self.keys, key)
        if position < len(self.keys) and self.keys[position] == key:
            return self.regions[position]
        return None

    def set(self, key: int, region: int) -> bool:
        """Set the region of a network; return whether it is new."""
        position = bisect.bisect_left(self.keys, key)
        if position < len(self.keys) and self.keys[position] == key:
            self.regions[position] = region
            return False
        self.keys.insert(position, key)
        self.regions.insert(position, region)
        return True

    def remove(self, key: int) -> bool:
        """Remove a network; return whether it was there."""
        position = bisect.bisect_left(self.keys, key)
        if position == len(self.keys) or self.keys[position] != key:
            return False
        del self.keys[position]
        del self.regions[position]
        return True

    def load(self, rows: Iterable[tuple[int, int]]) -> None:
        """Replace the contents; the last row with a key counts."""
        latest = dict(rows)
        keys = numpy.fromiter(latest.keys(), self.keys.typecode, len(latest))
        regions = numpy.fromiter(latest.values(), 'H', len(latest))
        order = numpy.argsort(keys, kind='stable')
        self.keys = array(self.keys.typecode, keys[order].tobytes())
        self.regions = array('H', regions[order].tobytes())


class BlockTable:
    """A map from address blocks to regions with longest prefix match."""

    def __init__(self) -> None:
        self._columns: dict[tuple[int, int], _Column] = {}
        self._search: dict[int, list[_Column]] = {IPV4: [], IPV6: []}
        self._regions: list[ids.RegionName] = []
        self._region_index: dict[ids.RegionName, int] = {}
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def set(self, block: str, region: ids.RegionName) -> None:
        """Assign a block in CIDR form to a region.

        Raises `ValueError` when the block is not valid.
        """
        network = parse_block(block)
        column = self._get_column(network.version, network.prefixlen)
        if column.set(_make_key(network), self._get_region_index(region)):
            self._size += 1

    def remove(self, block: str) -> bool:
        """Remove a block; return whether it was there.

        Raises `ValueError` when the block is not valid.
        """
        network = parse_block(block)
        column = self._columns.get((network.version, network.prefixlen))
        if column is None or not column.remove(_make_key(network)):
            return False
        self._size -= 1
        return True

    def get(self, block: str) -> ids.RegionName | None:
        """Return the region of exactly this block."""
        network = parse_block(block)
        column = self._columns.get((network.version, network.prefixlen))
        if column is None:
            return None
        region = column.find(_make_key(network))
        return None if region is None else self._regions[region]

    def find(self, address: str) -> ids.RegionName | None:
        """Return the region of the longest block that holds an address.

        Raises `ValueError` when the address is no IP number.
        """
        parsed = ipaddress.ip_address(address)
        number = int(parsed)
        if parsed.version == IPV6:
            mapped = getattr(parsed, 'ipv4_mapped', None)
            if mapped is not None:
                return self._find_number(IPV4, int(mapped))
            number >>= IPV6_BITS
        return self._find_number(parsed.version, number)

    def _find_number(self, version: int, number: int) -> ids.RegionName | None:
        for column in self._search[version]:
            key = number >> column.shift
            region = column.find(key)
            if region is not None:
                return self._regions[region]
        return None

    def regions(self) -> frozenset[ids.RegionName]:
        """Return the regions that blocks belong to."""
        return frozenset(
            self._regions[index]
            for column in self._columns.values()
            for index in frozenset(column.regions)
        )

    def load(self, rows: Iterable[tuple[str, ids.RegionName]]) -> None:
        """Replace the whole table; much faster than single changes.

        Raises `ValueError` when a block is not valid.
        """
        parts: dict[tuple[int, int], list[tuple[int, int]]] = {}
        fresh = BlockTable()
        for block, region in rows:
            network = parse_block(block)
            part = parts.setdefault((network.version, network.prefixlen), [])
            part.append((_make_key(network), fresh._get_region_index(region)))
        for (version, length), part in parts.items():
            fresh._get_column(version, length).load(part)
        self._replace(fresh)

    def items(self) -> Iterator[tuple[str, ids.RegionName]]:
        """Yield all blocks in CIDR form with their regions."""
        for (version, length), column in sorted(self._columns.items()):
            for key, region in zip(column.keys, column.regions, strict=True):
                block = _format_block(version, length, key << column.shift)
                yield block, self._regions[region]

    def dump(self) -> bytes:
        """Return the whole table in compact form."""
        parts = [
            _Part(
                version,
                length,
                _to_little_endian(column.keys),
                _to_little_endian(column.regions),
            )
            for (version, length), column in sorted(self._columns.items())
            if column.keys
        ]
        return msgspec.msgpack.encode(_Image(list(self._regions), parts))

    def restore(self, data: bytes) -> None:
        """Replace the whole table with what `dump` returned.

        Raises `ValueError` when the data is damaged; the table then keeps
        its contents.
        """
        image = msgspec.msgpack.decode(data, type=_Image)
        fresh = BlockTable()
        for region in image.regions:
            fresh._get_region_index(ids.RegionName(region))
        for part in image.parts:
            column = fresh._get_column(part.version, part.length)
            column.keys = _from_little_endian(column.keys.typecode, part.keys)
            column.regions = _from_little_endian('H', part.regions)
            _check_column(column, len(image.regions))
        self._replace(fresh)

    def _replace(self, fresh: 'BlockTable') -> None:
        self._columns = fresh._columns
        self._search = fresh._search
        self._regions = fresh._regions
        self._region_index = fresh._region_index
        self._size = sum(len(column.keys) for column in self._columns.values())

    def _get_column(self, version: int, length: int) -> _Column:
        column = self._columns.get((version, length))
        if column is None:
            column = _Column(version, length)
            self._columns[version, length] = column
            self._search[version] = [
                self._columns[key]
                for key in sorted(self._columns, reverse=True)
                if key[0] == version
            ]
        return column

    def _get_region_index(self, region: ids.RegionName) -> int:
        index = self._region_index.get(region)
        if index is None:
            index = len(self._regions)
            if index == MAX_REGIONS:
                raise ValueError(
                    f'found more than {MAX_REGIONS} regions in the block table'
                )
            self._regions.append(region)
            self._region_index[region] = index
        return index


def parse_block(block: str) -> _Network:
    """Return the network that a CIDR block names.

    Raises `ValueError` for host bits that are set and for IPv6 blocks
    longer than /64.
    """
    network = ipaddress.ip_network(block)
    if network.version == IPV6 and network.prefixlen > IPV6_BITS:
        raise ValueError(f'found {block}, expected an IPv6 block up to /64')
    return network


def _make_key(network: _Network) -> int:
    number = int(network.network_address)
    if network.version == IPV6:
        number >>= IPV6_BITS
        return number >> (IPV6_BITS - network.prefixlen)
    return number >> (IPV4_BITS - network.prefixlen)


def _format_block(version: int, length: int, number: int) -> str:
    if version == IPV4:
        return f'{ipaddress.IPv4Address(number)}/{length}'
    return f'{ipaddress.IPv6Address(number << IPV6_BITS)}/{length}'


def _to_little_endian(values: 'array[int]') -> bytes:
    if sys.byteorder == 'little':
        return values.tobytes()
    swapped = array(values.typecode, values)
    swapped.byteswap()
    return swapped.tobytes()


def _from_little_endian(typecode: str, data: bytes) -> 'array[int]':
    values = array(typecode)
    values.frombytes(data)
    if sys.byteorder != 'little':
        values.byteswap()
    return values


def _check_column(column: _Column, region_count: int) -> None:
    if len(column.keys) != len(column.regions):
        raise ValueError('found a block table with columns of two lengths')
    if not column.keys:
        return
    keys = numpy.asarray(column.keys)
    if bool(numpy.any(keys[1:] <= keys[:-1])):
        raise ValueError('found a block table that is not sorted')
    if max(column.regions) >= region_count:
        raise ValueError('found a block of a region that is not listed')
