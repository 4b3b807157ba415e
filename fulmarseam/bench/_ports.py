"""Ports that one process has for itself and those that it starts."""

from collections.abc import Iterator
import contextlib
import functools
import itertools
import socket

# Below the usual ephemeral range, from which outgoing connections get their
# ports, so that a restarted process finds its port free.
FIRST_PORT = 10_000
BLOCK_PORTS = 500
BLOCKS = 44


class NoPortsError(Exception):
    """All blocks of ports are reserved by other processes."""


class PortBlock:
    """A block of ports that no other process on this machine reserves.

    Its first port stays bound until `close` or the end of the process, also
    if that is killed.
    """

    def __init__(self) -> None:
        self._lock, first = _reserve()
        self.ports = range(first + 1, first + BLOCK_PORTS)

    def close(self) -> None:
        """Release the block."""
        self._lock.close()


def _reserve() -> tuple[socket.socket, int]:
    for number in range(BLOCKS):
        first = FIRST_PORT + number * BLOCK_PORTS
        lock = socket.socket()
        try:
            # Without SO_REUSEADDR; as it does not listen, nothing connects.
            lock.bind(('127.0.0.1', first))
        except OSError:
            lock.close()
            continue
        return lock, first
    raise NoPortsError(
        f'found {BLOCKS} blocks of ports in use, expected a free one'
    )


@functools.cache
def _get_ports() -> Iterator[int]:
    return _cycle(PortBlock())


def _cycle(block: PortBlock) -> Iterator[int]:
    # The generator keeps the block reserved.
    yield from itertools.cycle(block.ports)


def find_free_address() -> str:
    """Return a loopback address that is free at the moment.

    No address is returned twice before all others of the block.
    """
    ports = _get_ports()
    for port in itertools.islice(ports, BLOCK_PORTS):
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(('127.0.0.1', port))
            return f'127.0.0.1:{port}'
    raise NoPortsError('found no free port in the block of this process')
