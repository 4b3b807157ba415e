"""The table of caller address blocks in compact arrays.

A block in CIDR form belongs to one region; the longest block that holds an
address decides::

    table = BlockTable()
    table.set('10.0.0.0/8', 'ost')
    table.set('10.1.0.0/16', 'west')
    assert table.find('10.1.2.3') == 'west'
"""

from fulmarseam.blocks._table import BlockTable
from fulmarseam.blocks._table import parse_block

__all__ = ['BlockTable', 'parse_block']
