"""Addresses for tests."""

import itertools
import random
import socket

# Below the ports that the kernel gives to outgoing connections (32768 and
# up), one of which may otherwise take an address before its server listens.
_FIRST_PORT = 10_000
_LAST_PORT = 32_000

# Test processes that run side by side start at different ports.
_ports = itertools.islice(
    itertools.cycle(range(_FIRST_PORT, _LAST_PORT)),
    random.SystemRandom().randrange(_LAST_PORT - _FIRST_PORT),
    None,
)


def find_free_address() -> str:
    """Return a loopback address that is free at the moment.

    No address is returned twice before all ports have been used.
    """
    for port in _ports:
        with socket.socket() as probe:
            try:
                probe.bind(('127.0.0.1', port))
            except OSError:
                continue
            return f'127.0.0.1:{port}'
    raise AssertionError('the ports are endless')
