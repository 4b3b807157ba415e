"""Tests of the blocks package."""

import ipaddress
import random
import unittest

import hypothesis
from hypothesis import strategies

from fulmarseam import blocks

SEED = 7


def find_by_scan(rows: dict[str, str], address: str) -> str | None:
    """Return the region of the longest matching block by linear search."""
    number = ipaddress.ip_address(address)
    matches = [
        (ipaddress.ip_network(block).prefixlen, region)
        for block, region in rows.items()
        if number in ipaddress.ip_network(block)
    ]
    return max(matches)[1] if matches else None


class BlockTableTest(unittest.TestCase):
    """Guards against a caller assigned to the region of another block."""

    def test_longest_block_decides(self) -> None:
        table = blocks.BlockTable()
        table.set('10.0.0.0/8', 'ost')
        table.set('10.1.0.0/16', 'west')
        table.set('::/0', 'sued')
        table.set('2001:db8::/32', 'ost')
        self.assertEqual('west', table.find('10.1.2.3'))
        self.assertEqual('ost', table.find('10.2.2.3'))
        self.assertIsNone(table.find('11.0.0.1'))
        self.assertEqual('ost', table.find('2001:db8::1'))
        self.assertEqual('sued', table.find('2002::1'))
        self.assertEqual('west', table.find('::ffff:10.1.2.3'))

    def test_removed_block_uncovers_the_shorter_one(self) -> None:
        table = blocks.BlockTable()
        table.set('10.0.0.0/8', 'ost')
        table.set('10.1.0.0/16', 'west')
        self.assertTrue(table.remove('10.1.0.0/16'))
        self.assertFalse(table.remove('10.1.0.0/16'))
        self.assertEqual('ost', table.find('10.1.2.3'))
        self.assertEqual(1, len(table))

    def test_invalid_blocks_are_rejected(self) -> None:
        for block in ('10.0.0.1/8', '10.0.0.0/33', '2001:db8::/65', 'x'):
            with self.subTest(block=block):
                with self.assertRaises(ValueError):
                    blocks.BlockTable().set(block, 'ost')

    def test_damaged_image_leaves_the_table_unchanged(self) -> None:
        table = blocks.BlockTable()
        table.set('10.0.0.0/8', 'ost')
        image = table.dump()
        for damaged in (
            image[:-1],
            b'',
            image.replace(b'\x91\xa3ost', b'\x90'),
        ):
            with self.subTest(damaged=damaged):
                with self.assertRaises(ValueError):
                    table.restore(damaged)
                self.assertEqual('ost', table.find('10.0.0.1'))

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, 255),
                strategies.integers(0, 10),
                strategies.sampled_from(['a', 'b', None]),
            ),
            max_size=40,
        )
    )
    def test_changes_match_a_scan(
        self, changes: list[tuple[int, int, str | None]]
    ) -> None:
        table = blocks.BlockTable()
        rows: dict[str, str] = {}
        for first, length, region in changes:
            block = str(
                ipaddress.ip_network((first << 24, length), strict=False)
            )
            if region is None:
                self.assertEqual(block in rows, table.remove(block))
                rows.pop(block, None)
            else:
                table.set(block, region)
                rows[block] = region
        self.assertEqual(rows, dict(table.items()))
        copy = blocks.BlockTable()
        copy.restore(table.dump())
        loaded = blocks.BlockTable()
        loaded.load(rows.items())
        for first in range(0, 256, 5):
            address = f'{first}.1.2.3'
            expected = find_by_scan(rows, address)
            self.assertEqual(expected, table.find(address))
            self.assertEqual(expected, copy.find(address))
            self.assertEqual(expected, loaded.find(address))

    def test_bulk_load_equals_single_changes(self) -> None:
        rng = random.Random(SEED)
        rows = {
            f'{rng.randrange(1, 224)}.{rng.randrange(256)}.0.0/16': 'r'
            for _ in range(500)
        }
        single = blocks.BlockTable()
        for block, region in rows.items():
            single.set(block, region)
        bulk = blocks.BlockTable()
        bulk.load(rows.items())
        self.assertEqual(single.dump(), bulk.dump())
