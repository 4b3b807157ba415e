"""Tests of the ports that processes reserve."""

import itertools
import subprocess
import sys
import unittest

from fulmarseam.bench import _ports
from tests import _loopback

PRINT_PORTS = """
import sys
from fulmarseam.bench import _ports
for _ in range(100):
    print(_ports.find_free_address().rpartition(':')[2])
sys.stdout.flush()
sys.stdin.read()
"""


class PortBlockTest(unittest.TestCase):
    """Guards against a port that another run takes before it is used."""

    def test_processes_side_by_side_share_no_port(self) -> None:
        processes = [
            subprocess.Popen(
                [sys.executable, '-c', PRINT_PORTS],
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
            )
            for _ in range(3)
        ]
        own = {
            int(_loopback.find_free_address().rpartition(':')[2])
            for _ in range(100)
        }
        found = [own]
        try:
            for process in processes:
                assert process.stdout is not None
                lines = itertools.islice(process.stdout, 100)
                found.append({int(line) for line in lines})
        finally:
            for process in processes:
                process.communicate()
        self.assertEqual([100] * 4, [len(ports) for ports in found])
        self.assertEqual(400, len(set().union(*found)))

    def test_a_block_is_free_again_after_its_process(self) -> None:
        first = _ports.PortBlock()
        ports = first.ports
        first.close()
        second = _ports.PortBlock()
        self.addCleanup(second.close)
        self.assertEqual(ports, second.ports)

    def test_ports_lie_below_the_ephemeral_range(self) -> None:
        block = _ports.PortBlock()
        self.addCleanup(block.close)
        self.assertGreaterEqual(block.ports[0], 10_000)
        self.assertLess(block.ports[-1], 32_768)
