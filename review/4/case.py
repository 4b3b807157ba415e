"""A stale leave of a frozen machine ends upstreams that have restarted."""

import asyncio
import json
import os
import signal
import time
import uuid

import deployment

# With TROUBLE=0 the case does the same without the disruption.
IS_TROUBLED = os.environ.get('TROUBLE', '1') != '0'

FIRST = 'katalog'
LATER = 'returns'
FREEZE_S = 7.5
# Longer than `contact`; the machines are in touch again.
CALM_S = 6.0
MEASURE_S = 10.0
# The upstreams leave one after the other. Each serves on for `drain` and a
# little longer, and starts again.
GAP_S = 1.0
SERVE_ON_S = 2.6


class Upstream(deployment.Upstream):
    """A sound server that leaves and starts again under its id."""

    async def leave(self, nodes):
        """Say that this server leaves; call one node after another."""
        for node in nodes:
            reply = await deployment.call(
                node.address('control'), 'DELETE', f'/api/instances/{self.id}'
            )
            status = reply.status if reply is not None else 'none'
            self.record.add(
                'leave', server=self.id, node=node.name, status=status
            )
            if reply is not None and reply.status < 300:
                return
        raise deployment.CannotRunError('no node acknowledged the leave')

    async def restart(self, wait_s, nodes):
        """Leave, serve on for a while, end, and start again."""
        await asyncio.sleep(wait_s)
        self.announcing.cancel()
        await self.leave(nodes)
        await asyncio.sleep(SERVE_ON_S)
        await self.stop()
        self.born = int(time.time() * 1000)
        self.sequence = 0
        await self.start()
        self.record.add('restarted', server=self.id, born=self.born)


async def main(record):
    """Return whether CONFIG held."""
    async with deployment.Deployment(record) as system:
        await system.configure(
            deployment.make_config(
                [
                    deployment.make_service(FIRST),
                    deployment.make_service(LATER),
                ],
                [deployment.make_route('r-first', f'/{FIRST}/', FIRST)],
            )
        )
        servers = {
            name: [
                Upstream(system, name, zone, start + number)
                for number, zone in enumerate(('a1', 'b1', 'c1'))
            ]
            for start, name in ((1, FIRST), (4, LATER))
        }
        for server in (*servers[FIRST], *servers[LATER]):
            await server.start()
        await system.wait_ready()
        await add_route(system)
        await asyncio.sleep(3.0)
        counts = {}
        clients = asyncio.create_task(send_requests(system, record, counts))
        await asyncio.sleep(2.0)
        await disturb(system, record, servers[LATER])
        await asyncio.sleep(CALM_S)
        counts.clear()
        record.add('measured_from_now')
        await asyncio.sleep(MEASURE_S)
        clients.cancel()
        for server in (*servers[FIRST], *servers[LATER]):
            await server.stop()
        return judge(record, counts)


async def add_route(system):
    """Add a route by a later configuration."""
    route = deployment.make_route('r-later', f'/{LATER}/', LATER, version=2)
    call = {'hosts': [{'host': deployment.HOST, 'paths': [route]}]}
    body = json.dumps({'upsert': call, 'remove': {'routes': []}}).encode()
    operator = deployment.Operator(system)
    await operator.order('PATCH', '/api/config', system.cores, body)


async def disturb(system, record, servers):
    """Restart servers while a machine of the core is frozen."""
    frozen, *others = reversed(system.cores)
    frozen_at = time.monotonic()
    if IS_TROUBLED:
        frozen.send(signal.SIGSTOP)
        record.add('frozen', machine=frozen.name)
    await asyncio.gather(
        *(
            server.restart(number * GAP_S, [frozen, *others])
            for number, server in enumerate(servers)
        )
    )
    await asyncio.sleep(frozen_at + FREEZE_S - time.monotonic())
    if IS_TROUBLED:
        frozen.send(signal.SIGCONT)
        record.add('thawed', machine=frozen.name)


async def send_requests(system, record, counts):
    """Send requests on both routes through all entries."""
    while True:
        for entry in system.entries:
            for service in (FIRST, LATER):
                name = uuid.uuid4().hex[:16]
                record.add('sent', route=service, id=name)
                reply = await deployment.call(
                    entry.address('front'),
                    'POST',
                    f'/{service}/x',
                    b'{}',
                    {'X-Request-Id': name, 'X-Deadline-Ms': '1000'},
                )
                status = reply.status if reply is not None else 0
                record.add('answer', route=service, id=name, status=status)
                asked, served = counts.get(service, (0, 0))
                counts[service] = (asked + 1, served + (status == 200))
        await asyncio.sleep(0.1)


def judge(record, counts):
    """Return whether the later route is served as often as it has to be."""
    first, later = counts[FIRST], counts[LATER]
    record.add('served', first=first, later=later)
    print(f'of (asked, served): first route {first}, later route {later}')
    if later[0] < 20:
        raise deployment.CannotRunError('too few requests')
    return later[1] / later[0] >= 0.25 * first[1] / first[0]


if __name__ == '__main__':
    deployment.run_case(main)
