"""A relayed upload that a second entry takes over loses its end."""

import asyncio
import contextlib
import hashlib
import os
import random
import socket
import struct
import uuid

import deployment

# With TROUBLE=0 the case does the same without the disruption.
IS_TROUBLED = os.environ.get('TROUBLE', '1') != '0'

SERVICES = ('orders', 'returns', 'quotes', 'visits')
CUT_S = 5.0
CUTS = 5
PAUSE_S = 5.0
# Larger than what an entry keeps of a body, far smaller than `maxBodyBytes`.
BODY_BYTES = 400_000
CHUNK_BYTES = 16_000
CLIENTS = 2


class Upstream(deployment.Upstream):
    """A sound server, which the machines in `cut` do not reach."""

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        # Process ids of the machines that are cut off from all servers.
        self.cut = set()
        self.bodies = {}
        self._writers = set()

    def set_cut(self, processes):
        """Cut these machines off; their connections are reset."""
        self.cut = set(processes)
        for writer in list(self._writers):
            if is_owned(writer, self.cut):
                reset(writer)

    async def serve(self, reader, writer):
        """Serve the requests of a connection, one after another."""
        if is_owned(writer, self.cut):
            reset(writer)
            return
        self._writers.add(writer)
        try:
            await super().serve(reader, writer)
        finally:
            self._writers.discard(writer)

    async def answer(self, writer, method, path, headers, body):
        """Run a request and write its answer."""
        name = headers.get('x-request-id', '')
        self.bodies[name] = body
        await super().answer(writer, method, path, headers, body)


def reset(writer):
    """Reset a connection."""
    with contextlib.suppress(OSError):
        writer.get_extra_info('socket').setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
        )
    writer.transport.abort()


def is_owned(writer, processes):
    """Return whether the peer of a connection is one of these processes.

    All machines of the deployment share the loopback interface, so the
    kernel's table of connections tells which one has opened this one.
    """
    peer = writer.get_extra_info('peername')
    if not processes or peer is None:
        return False
    address = ''.join(f'{int(part):02X}' for part in peer[0].split('.')[::-1])
    wanted = f'{address}:{peer[1]:04X}'
    inode = None
    with open('/proc/net/tcp', encoding='ascii') as table:
        for line in table:
            fields = line.split()
            if fields[1] == wanted:
                inode = fields[9]
    for process in processes:
        folder = f'/proc/{process}/fd'
        with contextlib.suppress(OSError):
            for name in os.listdir(folder):
                with contextlib.suppress(OSError):
                    if os.readlink(f'{folder}/{name}') == f'socket:[{inode}]':
                        return True
    return False


async def main(record):
    """Return whether UNASKED held."""
    async with deployment.Deployment(
        record, entry_zones=('a1', 'a1', 'b1', 'c1')
    ) as system:
        await system.configure(
            deployment.make_config(
                [deployment.make_service(name) for name in SERVICES],
                [
                    deployment.make_route(f'r-{name}', f'/{name}/', name)
                    for name in SERVICES
                ],
            )
        )
        places = [
            (name, zone) for name in SERVICES for zone in ('a1', 'b1', 'c1')
        ]
        servers = [
            Upstream(system, name, zone, number, slots=20)
            for number, (name, zone) in enumerate(places, 1)
        ]
        for server in servers:
            await server.start()
        await system.wait_ready()
        await asyncio.sleep(2.0)
        sent = {}
        clients = [
            asyncio.create_task(send_requests(system, record, sent, name))
            for name in SERVICES
            for _ in range(CLIENTS)
        ]
        for _ in range(CUTS):
            await asyncio.sleep(PAUSE_S)
            if IS_TROUBLED:
                cut_off(system, record, servers, system.entries[:2])
            await asyncio.sleep(CUT_S)
            cut_off(system, record, servers, [])
        await asyncio.sleep(2.0)
        for client in clients:
            client.cancel()
        await asyncio.gather(*clients, return_exceptions=True)
        for server in servers:
            await server.stop()
        return judge(record, servers, sent)


def cut_off(system, record, servers, entries):
    """Cut entries off from all servers, and join all others."""
    names = ','.join(entry.name for entry in entries)
    record.add('cut_off', entries=names or 'none')
    for server in servers:
        server.set_cut(entry.process.pid for entry in entries)


async def send_requests(system, record, sent, service):
    """Upload bodies in chunks through the first entry, one by one."""
    entry = system.entries[0]
    connection = None
    while True:
        if connection is None:
            connection = await deployment.Connection.open(
                entry.address('front'), 5.0
            )
        name = uuid.uuid4().hex[:16]
        body = random.randbytes(BODY_BYTES)
        sent[name] = body
        record.add('sent', entry=entry.name, id=name, bytes=len(body))
        reply = await upload(connection, service, name, body)
        record.add(
            'answered', id=name, status=reply.status if reply else 'none'
        )
        if reply is None or reply.headers.get('connection') == 'close':
            connection.close()
            connection = None
        await asyncio.sleep(0.1)


async def upload(connection, service, name, body):
    """Send a request with a body in chunks; return the reply, or None."""
    head = (
        f'PUT /{service}/upload HTTP/1.1\r\nHost: {deployment.HOST}\r\n'
        f'X-Request-Id: {name}\r\nX-Deadline-Ms: 2000\r\n'
        'Transfer-Encoding: chunked\r\n\r\n'
    )
    parts = [head.encode()]
    for start in range(0, len(body), CHUNK_BYTES):
        chunk = body[start : start + CHUNK_BYTES]
        parts.append(f'{len(chunk):x}\r\n'.encode() + chunk + b'\r\n')
    parts.append(b'0\r\n\r\n')
    connection.writer.write(b''.join(parts))
    with contextlib.suppress(OSError, asyncio.IncompleteReadError):
        found = await deployment.read_head(connection.reader)
        if found is not None:
            line, headers = found
            content = await deployment.read_body(connection.reader, headers)
            return deployment.Reply(int(line.split()[1]), headers, content)
    return None


def judge(record, servers, sent):
    """Return whether every request ran with the body that was sent."""
    runs = 0
    changed = 0
    for server in servers:
        for name, body in server.bodies.items():
            runs += 1
            if sent.get(name) == body:
                continue
            changed += 1
            record.add(
                'broken',
                rule='UNASKED',
                server=server.id,
                id=name,
                sent=len(sent.get(name, b'')),
                ran=len(body),
                digest=hashlib.sha256(body).hexdigest()[:16],
            )
    print(f'{runs} runs, {changed} of them with another body than was sent')
    return not changed


if __name__ == '__main__':
    deployment.run_case(main)
