"""Slopes of the block table: memory, look-up time, change time, image."""

from collections.abc import Iterator
import random
import sys
import time

from fulmarseam import blocks
from fulmarseam import ids
from fulmarseam.bench.capacity import _probe
from fulmarseam.bench.capacity import _slopes

SIZES = (1_000, 10_000, 100_000, 490_000)
REGIONS = 52
SEED = 11
FINDS = 20_000
CHANGES = 1_000
PREFIX_LENGTHS = (16, 20, 22, 24, 24, 24, 24)
MICROSECONDS = 1e6

_QUANTITIES = {
    'resident_mb': 'MB',
    'find_us': 'us',
    'change_us': 'us',
    'image_mb': 'MB',
    'restore_s': 's',
}


def measure_blocks() -> list[_slopes.Series]:
    """Measure the block table at each size, each in a fresh process."""
    figures = {
        size: _probe.run_probe('fulmarseam.bench.capacity._blocks', size)
        for size in SIZES
    }
    return [
        _slopes.Series(
            name=f'blocks_{quantity}',
            x_unit='blocks',
            y_unit=unit,
            points=[
                _slopes.Point(size, figures[size][quantity]) for size in SIZES
            ],
        )
        for quantity, unit in _QUANTITIES.items()
    ]


def make_image(size: int) -> bytes:
    """Return the image of a table with `size` random IPv4 blocks."""
    table = blocks.BlockTable()
    table.load(_make_rows(size))
    return table.dump()


def _make_rows(size: int) -> Iterator[tuple[str, ids.RegionName]]:
    rng = random.Random(SEED)
    seen: set[tuple[int, int]] = set()
    while len(seen) < size:
        length = rng.choice(PREFIX_LENGTHS)
        key = (rng.getrandbits(length), length)
        if key in seen:
            continue
        seen.add(key)
        yield _format_row(*key)


def _format_row(key: int, length: int) -> tuple[str, ids.RegionName]:
    number = key << (32 - length)
    octets = number.to_bytes(4, 'big')
    block = '.'.join(str(octet) for octet in octets)
    return f'{block}/{length}', ids.RegionName(f'region-{key % REGIONS}')


def _measure(image: bytes) -> dict[str, float]:
    table = blocks.BlockTable()
    started = time.perf_counter()
    table.restore(image)
    restore_s = time.perf_counter() - started
    resident = _probe.read_resident_bytes()
    return {
        'resident_mb': resident / _probe.BYTES_PER_MB,
        'find_us': _time_finds(table),
        'change_us': _time_changes(table),
        'image_mb': len(image) / _probe.BYTES_PER_MB,
        'restore_s': restore_s,
    }


def _time_finds(table: blocks.BlockTable) -> float:
    rng = random.Random(SEED)
    addresses = [
        '.'.join(str(octet) for octet in rng.randbytes(4))
        for _ in range(FINDS)
    ]
    started = time.perf_counter()
    for address in addresses:
        table.find(address)
    return (time.perf_counter() - started) / FINDS * MICROSECONDS


def _time_changes(table: blocks.BlockTable) -> float:
    rng = random.Random(SEED + 1)
    changes = [_format_row(rng.getrandbits(24), 24) for _ in range(CHANGES)]
    started = time.perf_counter()
    for block, region in changes:
        table.set(block, region)
    return (time.perf_counter() - started) / CHANGES * MICROSECONDS


def main() -> None:
    """Measure one size in this process.

    The image is made in a child process, so that the memory used to make it
    does not count as memory of the table.
    """
    size = int(sys.argv[1])
    if len(sys.argv) > 2:
        sys.stdout.buffer.write(make_image(size))
        return
    image = _probe.read_output(
        'fulmarseam.bench.capacity._blocks', str(size), 'image'
    )
    _probe.print_figures(_measure(image))
