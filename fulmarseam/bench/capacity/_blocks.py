"""Measures memory, look-up, change and restore times of the block table."""

from collections.abc import Iterator
import random
import sys
import time

from fulmarseam import blocks
from fulmarseam import ids
from fulmarseam.bench.capacity import _fresh_process
from fulmarseam.bench.capacity import _series

TABLE_SIZES = (1_000, 10_000, 100_000, 490_000)
REGION_COUNT = 52
SEED = 11
FIND_COUNT = 20_000
CHANGE_COUNT = 1_000
PREFIX_LENGTHS = (16, 20, 22, 24, 24, 24, 24)
MICROSECONDS_PER_S = 1e6

_UNITS = {
    'resident_mb': 'MB',
    'find_us': 'us',
    'change_us': 'us',
    'image_mb': 'MB',
    'restore_s': 's',
}


def measure_blocks() -> list[_series.Series]:
    """Measure the block table at each size in a process of its own."""
    figures = {
        size: _fresh_process.run_measurement(
            'fulmarseam.bench.capacity._blocks', size
        )
        for size in TABLE_SIZES
    }
    return [
        _series.Series(
            name=f'blocks_{quantity}',
            x_unit='blocks',
            y_unit=unit,
            points=[
                _series.Point(size, figures[size][quantity])
                for size in TABLE_SIZES
            ],
        )
        for quantity, unit in _UNITS.items()
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
        yield _make_row(*key)


def _make_row(prefix: int, length: int) -> tuple[str, ids.RegionName]:
    number = prefix << (32 - length)
    octets = number.to_bytes(4, 'big')
    block = '.'.join(str(octet) for octet in octets)
    return (
        f'{block}/{length}',
        ids.RegionName(f'region-{prefix % REGION_COUNT}'),
    )


def _measure(image: bytes) -> dict[str, float]:
    table = blocks.BlockTable()
    started = time.perf_counter()
    table.restore(image)
    restore_s = time.perf_counter() - started
    resident = _fresh_process.read_resident_bytes()
    return {
        'resident_mb': resident / _fresh_process.BYTES_PER_MB,
        'find_us': _time_finds(table),
        'change_us': _time_changes(table),
        'image_mb': len(image) / _fresh_process.BYTES_PER_MB,
        'restore_s': restore_s,
    }


def _time_finds(table: blocks.BlockTable) -> float:
    rng = random.Random(SEED)
    addresses = [
        '.'.join(str(octet) for octet in rng.randbytes(4))
        for _ in range(FIND_COUNT)
    ]
    started = time.perf_counter()
    for address in addresses:
        table.find(address)
    return (time.perf_counter() - started) / FIND_COUNT * MICROSECONDS_PER_S


def _time_changes(table: blocks.BlockTable) -> float:
    rng = random.Random(SEED + 1)
    changes = [_make_row(rng.getrandbits(24), 24) for _ in range(CHANGE_COUNT)]
    started = time.perf_counter()
    for block, region in changes:
        table.set(block, region)
    return (time.perf_counter() - started) / CHANGE_COUNT * MICROSECONDS_PER_S


def main() -> None:
    """Print the figures of the size that the first argument gives.

    The image is made in a child process, so that the memory used to make it
    does not count as memory of the table. A second argument makes this
    process write the image instead.
    """
    size = int(sys.argv[1])
    if len(sys.argv) > 2:
        sys.stdout.buffer.write(make_image(size))
        return
    image = _fresh_process.run_main(
        'fulmarseam.bench.capacity._blocks', str(size), 'image'
    )
    _fresh_process.print_figures(_measure(image))
