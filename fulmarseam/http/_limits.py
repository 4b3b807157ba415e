"""Limits and time-outs of HTTP connections."""

import dataclasses

# Bytes buffered for one direction of a connection before reading pauses.
BUFFER_BYTES = 64 * 1024
# The same between requests and while one without a body runs, which holds
# the following requests unread.
PIPELINED_BYTES = 16 * 1024
# Largest read of a connection while the budget of its kind is used up.
PRESSED_READ_BYTES = 8 * 1024
# A received piece below this size is joined with the next one.
SMALL_PIECE_BYTES = 1024
# Reading resumes when the buffer holds no more than this.
RESUME_BYTES = 16 * 1024
# Maximum size of the framing lines of a chunked body (sizes, extensions,
# trailers).
MAX_CHUNK_LINE_BYTES = 16 * 1024
# Events of a chunked body that a connection parses before other work of the
# event loop runs; each takes about 15 us.
MAX_EVENTS_PER_TURN = 256
# A head with more fields waits for its turn before it is parsed; each field
# takes about 3 us.
FIELDS_PER_TURN = 256
# Memory of a parsed header field until its message ends: 296 bytes by
# tracemalloc for the h11 event, the list and the dictionary (heads of 250 to
# 2,000 short fields, CPython 3.11); its characters count as received.
FIELD_BYTES = 300
# Fields of an ordinary head, which are not accounted for.
ORDINARY_FIELDS = 32
# Interim responses before the final one; servers send a few.
MAX_INTERIM_RESPONSES = 32


def compute_field_bytes(count: int) -> int:
    """Return the memory to account for when this many fields are parsed."""
    return count * FIELD_BYTES if count > ORDINARY_FIELDS else 0


@dataclasses.dataclass(frozen=True)
class Limits:
    """Limits and time-outs of a server.

    `header_timeout_s` runs from the first byte of a request to the end of
    its headers, and from the start of a connection to its first request.
    `idle_timeout_s` limits the time between two requests and between two
    pieces of a request body. Parsing takes about 3 us for each of the
    `max_header_fields`, however short they are.
    """

    max_header_bytes: int = 32 * 1024
    max_header_fields: int = 16_384
    max_body_bytes: int = 64 * 1024 * 1024
    max_connections: int = 10_000
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0
