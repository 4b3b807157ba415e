"""A small HTTP client that shares no code with the entry."""

import asyncio
from collections.abc import Mapping
import contextlib
from typing import NamedTuple

from tests import gateway_case

# Limit of the read buffer; the head of a response has a few hundred bytes.
MAX_HEAD_BYTES = 65_536


class Reply(NamedTuple):
    """A complete response; header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


class Connection:
    """One connection; `is_open` is False when it cannot be used again."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._writer: asyncio.StreamWriter | None = None
        self._reader: asyncio.StreamReader | None = None
        self.is_open = False

    async def open(self, timeout_s: float) -> None:
        """Connect; raises `OSError`, which includes a timeout."""
        host, _, port = self._address.rpartition(':')
        async with asyncio.timeout(timeout_s):
            self._reader, self._writer = await asyncio.open_connection(
                host, int(port), limit=MAX_HEAD_BYTES
            )
        self.is_open = True

    async def exchange(
        self,
        method: str,
        path: str,
        headers: Mapping[str, str],
        body: bytes = b'',
    ) -> Reply | None:
        """Send a request and return the response.

        Returns None if the connection ends first. Raises `OSError`.
        """
        assert self._reader is not None
        assert self._writer is not None
        fields = {**headers, 'content-length': str(len(body))}
        lines = ''.join(f'{key}: {text}\r\n' for key, text in fields.items())
        head = f'{method} {path} HTTP/1.1\r\n{lines}\r\n'
        self._writer.write(head.encode() + body)
        found = await gateway_case.read_head(self._reader)
        if found is None:
            self.close()
            return None
        line, answered = found
        length = int(answered.get('content-length', 0))
        try:
            content = await self._reader.readexactly(length)
        except asyncio.IncompleteReadError:
            self.close()
            return None
        if answered.get('connection') == 'close':
            self.close()
        return Reply(int(line.split()[1]), answered, content)

    def close(self) -> None:
        """Close the connection."""
        self.is_open = False
        if self._writer is not None:
            with contextlib.suppress(OSError, RuntimeError):
                self._writer.close()


async def call(
    address: str,
    method: str,
    path: str,
    body: bytes = b'',
    timeout_s: float = 1.0,
    headers: Mapping[str, str] | None = None,
) -> Reply | None:
    """Send one request on a new connection.

    `headers` include the host, which is the address without them. Returns
    None without a complete response before the timeout.
    """
    connection = Connection(address)
    try:
        async with asyncio.timeout(timeout_s):
            await connection.open(timeout_s)
            return await connection.exchange(
                method, path, headers or {'host': address}, body
            )
    except OSError:
        return None
    finally:
        connection.close()
