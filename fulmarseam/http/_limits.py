"""Limits and time-outs of HTTP connections."""

import dataclasses

# Bytes held for one direction of a connection before its peer is stopped.
BUFFER_BYTES = 64 * 1024
# Reading goes on when this much of the buffer is left.
RESUME_BYTES = 16 * 1024
# Framing lines of a chunked body (sizes, extensions, trailers).
CHUNK_LINE_BYTES = 16 * 1024


@dataclasses.dataclass(frozen=True)
class Limits:
    """Limits of a server; times in seconds.

    `header_timeout_s` runs from the first byte of a request to the end of
    its headers, and from the start of a connection to its first request.
    `idle_timeout_s` bounds the time between two requests and between two
    pieces of a request body.
    """

    max_header_bytes: int = 32 * 1024
    max_body_bytes: int = 64 * 1024 * 1024
    max_connections: int = 10_000
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0
