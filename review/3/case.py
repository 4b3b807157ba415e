"""A stale order of a frozen machine ends a newer evacuation."""

import asyncio
import os
import random
import signal
import time
import uuid

import deployment

# With TROUBLE=0 the case does the same without the disruption.
IS_TROUBLED = os.environ.get('TROUBLE', '1') != '0'

ZONE = 'b1'
EVACUATE_S = 5.0
CONTACT_S = 3.0
FREEZE_S = 7.0
SERVICE = 'orders'


async def main(record):
    """Return whether EVAC held."""
    async with deployment.Deployment(record) as system:
        await system.configure(
            deployment.make_config(
                [deployment.make_service(SERVICE)],
                [
                    deployment.make_route(
                        'r-orders', '/orders/', SERVICE, sessionAffinity=True
                    )
                ],
            )
        )
        servers = [
            deployment.Upstream(system, SERVICE, zone, number)
            for number, zone in enumerate(('a1', 'b1', 'c1', 'b2'), 1)
        ]
        for server in servers:
            await server.start()
        await system.wait_ready()
        await asyncio.sleep(2.0)
        clients = asyncio.create_task(send_requests(system, record))
        try:
            acked_at, calm_at = await disturb(system, record)
            await asyncio.sleep(calm_at + 6.0 - time.monotonic())
        finally:
            clients.cancel()
            for server in servers:
                await server.stop()
        return judge(record, servers, acked_at, calm_at)


async def send_requests(system, record):
    """Send a request to each entry ten times a second."""
    while True:
        for entry in system.entries:
            name = uuid.uuid4().hex[:16]
            record.add('sent', entry=entry.name, id=name)
            reply = await deployment.call(
                entry.address('front'),
                'POST',
                '/orders/x',
                b'{}',
                {
                    'X-Request-Id': name,
                    'X-Deadline-Ms': '1000',
                    'Cookie': f'X-Affinity-Key={random.randrange(50)}',
                },
            )
            record.add(
                'answer',
                entry=entry.name,
                id=name,
                status=reply.status if reply else 'none',
            )
        await asyncio.sleep(0.1)


async def disturb(system, record):
    """Evacuate a zone, take it back and evacuate it again.

    The machine that the withdrawal reaches first is frozen. Returns when the
    second evacuation was acknowledged, and when machines are in touch again.
    """
    operator = deployment.Operator(system)
    path = f'/api/evacuate/{ZONE}'
    # A machine that is neither a seed nor, by then, likely to lead.
    frozen, *others = reversed(system.cores)
    await operator.order('POST', path, others)
    await asyncio.sleep(3.0)
    frozen_at = time.monotonic()
    if IS_TROUBLED:
        frozen.send(signal.SIGSTOP)
        record.add('frozen', machine=frozen.name)
    await asyncio.sleep(0.5)
    await operator.order('DELETE', path, [frozen, *others])
    await asyncio.sleep(2.0)
    acked_at = await operator.order('POST', path, others)
    await asyncio.sleep(frozen_at + FREEZE_S - time.monotonic())
    if IS_TROUBLED:
        frozen.send(signal.SIGCONT)
        record.add('thawed', machine=frozen.name)
    return acked_at, time.monotonic() + CONTACT_S


def judge(record, servers, acked_at, calm_at):
    """Return whether no request reached the zone after the bound."""
    since = max(acked_at + EVACUATE_S, calm_at)
    late = [
        (server.id, name, at)
        for server in servers
        if server.zone == ZONE
        for name, at in server.runs
        if at > since
    ]
    for server, name, at in late[:20]:
        record.add(
            'broken',
            rule='EVAC',
            server=server,
            id=name,
            after_ack_s=f'{at - acked_at:.3f}',
        )
    record.add('late_requests', count=len(late))
    print(f'{len(late)} requests reached the evacuated zone')
    return not late


if __name__ == '__main__':
    deployment.run_case(main)
