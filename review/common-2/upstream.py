"""A small upstream that follows the platform's pages."""

import asyncio
import time

import harness

BEAT_S = 1.5


class Upstream:
    """One upstream in the process of the case; a context manager.

    `ran` lists the ids of the requests that it has run.
    """

    def __init__(
        self, fleet: harness.Fleet, service: str, zone: str, name: str
    ) -> None:
        self._fleet = fleet
        self._ip = fleet.take_ip()
        self._port = fleet.port + 5
        self._server: asyncio.Server | None = None
        self._beats: asyncio.Task[None] | None = None
        self._sequence = 0
        self._born = int(time.time() * 1000)
        self._info = {
            'service': service,
            'version': 'v1',
            'zone': zone,
            'slots': 4,
        }
        self.name = name
        self.state = 'ready'
        self.ran: list[str] = []

    async def __aenter__(self) -> 'Upstream':
        """Listen and begin to send heartbeats."""
        self._server = await asyncio.start_server(
            self._serve, self._ip, self._port
        )
        self._beats = asyncio.create_task(self._send_beats())
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Stop."""
        if self._beats is not None:
            self._beats.cancel()
        if self._server is not None:
            self._server.close()

    def make_beat(self) -> dict[str, object]:
        """Return the body of the next heartbeat."""
        self._sequence += 1
        return {
            'address': f'{self._ip}:{self._port}',
            'info': self._info,
            'status': {
                'state': self.state,
                'sequence': self._sequence,
                'warmupLeft': '0ms',
            },
            'born': self._born,
        }

    async def beat(self) -> bool:
        """Send one heartbeat; return whether it was acknowledged."""
        body = self.make_beat()
        for core in self._fleet.cores:
            answer = await harness.call(
                self._fleet.api(core),
                'PUT',
                f'/api/instances/{self.name}',
                body,
            )
            if answer is not None and 200 <= answer.status < 300:
                return True
        return False

    async def _send_beats(self) -> None:
        while True:
            await self.beat()
            await asyncio.sleep(BEAT_S)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while await self._answer(reader, writer):
                pass
        except (OSError, EOFError, ValueError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        try:
            head = await reader.readuntil(b'\r\n\r\n')
        except asyncio.IncompleteReadError:
            return False
        fields = {}
        for line in head.decode('latin-1').split('\r\n')[1:]:
            key, _, value = line.partition(':')
            fields[key.strip().lower()] = value.strip()
        await reader.readexactly(int(fields.get('content-length', '0')))
        request_id = fields.get('x-request-id', '')
        expected = fields.get('x-expect-instance', self.name)
        status, extra = '200 OK', f'X-Server-Stamp: {self.name}.{len(head)}'
        body = f'{self.name} {request_id}'.encode()
        if expected != self.name:
            status, extra = '421 Misdirected Request', 'X-Not-Executed: 1'
            body = b''
        else:
            self.ran.append(request_id)
            self._fleet.record.write(f'{self.name} runs {request_id}')
        writer.write(
            (
                f'HTTP/1.1 {status}\r\nX-Request-Id: {request_id}\r\n'
                f'{extra}\r\nContent-Length: {len(body)}\r\n\r\n'
            ).encode()
            + body
        )
        await writer.drain()
        return True
