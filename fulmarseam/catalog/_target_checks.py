"""Checks of stored target records.

Members refuse odd announcements, but a snapshot, or a member of another
version, may hold one. All members and entries keep it, so that their tables
stay the same; no request is sent there.
"""

import math

from fulmarseam import wire

MAX_HOST_LENGTH = 255
MAX_PORT = 65_535
MAX_PORT_DIGITS = 5
MAX_SLOTS = 1_000_000
MAX_COLD_MS = 86_400_000.0


def find_problem(record: wire.TargetRecord) -> str | None:
    """Return why no request can be sent to a target, or None."""
    host, _, port = record.address.rpartition(':')
    if not 0 < len(host) <= MAX_HOST_LENGTH or not is_port(port):
        return f'address: found {record.address[:64]!r}, expected HOST:PORT'
    if not 0 < record.slots <= MAX_SLOTS:
        return f'slots: found {record.slots}, expected 1 to {MAX_SLOTS}'
    if not math.isfinite(record.cold_ms) or (
        not 0.0 <= record.cold_ms <= MAX_COLD_MS
    ):
        return f'cold_ms: found {record.cold_ms}, expected 0 to {MAX_COLD_MS}'
    return None


def is_port(text: str) -> bool:
    """Return whether a text is the number of a port."""
    return (
        text.isascii()
        and text.isdigit()
        and len(text) <= MAX_PORT_DIGITS
        and 0 < int(text) <= MAX_PORT
    )
