"""A heartbeat of another writer takes an upstream away for good."""

import asyncio

import harness
import upstream

PLAY_S = 40.0
ROUTES = {'shop': '/one/', 'list': '/two/'}


async def send_requests(
    fleet: harness.Fleet, play_s: float
) -> dict[str, tuple[int, int]]:
    """Send requests like a client; return those sent and served by kind."""
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + play_s
    counts = dict.fromkeys(ROUTES, (0, 0))
    number = 0
    while loop.time() < ends_at:
        entry = fleet.entries[number % len(fleet.entries)]
        for service, prefix in ROUTES.items():
            number += 1
            name = f'{fleet.rng.randrange(1 << 60):016x}'
            headers = {'X-Request-Id': name, 'X-Deadline-Ms': '1500'}
            answer = await harness.call(
                fleet.front(entry),
                'GET',
                f'{prefix}x',
                None,
                headers,
                1.5,
                'shop.example',
            )
            status = answer.status if answer else None
            fleet.record.write(f'request {name} for {service}: {status}')
            sent, served = counts[service]
            counts[service] = (sent + 1, served + (status == 200))
        await asyncio.sleep(0.1)
    return counts


async def main(fleet: harness.Fleet) -> int:
    """Run the case."""
    cores = [fleet.add_core(z) for z in ('a1', 'b1', 'c1', 'a2', 'b2')]
    for zone in ('a1', 'b1'):
        fleet.add_entry(zone)
    fleet.set_seeds()
    for process in fleet.processes:
        process.start()
    services = [harness.make_service(name, 1) for name in ROUTES]
    routes = [
        harness.make_route(f'r-{name}', prefix, name, 1)
        for name, prefix in ROUTES.items()
    ]
    call = harness.make_patch(services, routes, 1)
    if not await harness.order(fleet, cores, 'PATCH', '/api/config', call):
        return harness.NOT_RUN
    async with (
        upstream.Upstream(fleet, 'shop', 'a1', 'i-1') as first,
        upstream.Upstream(fleet, 'shop', 'b1', 'i-2') as second,
        upstream.Upstream(fleet, 'list', 'a1', 'i-3'),
    ):
        await asyncio.sleep(6.0)
        before = await send_requests(fleet, 3.0)
        if any(not served for _, served in before.values()):
            return harness.NOT_RUN
        if harness.wants_trouble():
            # Another writer: a service that no configuration names.
            for number, target in enumerate((first, second)):
                body = target.make_beat() | {
                    'info': {
                        'service': 'batch',
                        'version': 'v1',
                        'zone': 'a1',
                        'slots': 4,
                    }
                }
                await harness.call(
                    fleet.api(cores[0]),
                    'PUT',
                    f'/api/instances/other-{number}',
                    body,
                )
        counts = await send_requests(fleet, PLAY_S)
    fleet.record.write(f'sent and served: {counts}')
    if not harness.are_running(fleet.processes):
        return harness.NOT_RUN
    total = sum(sent for sent, _ in counts.values())
    served = sum(served for _, served in counts.values())
    for service, (sent_here, served_here) in counts.items():
        if served_here * total * 4 < served * sent_here:
            print(f'Starved: {service}: {counts}')
            return harness.BROKEN
    print(f'held: {counts}')
    return harness.HELD


harness.run_case(main)
