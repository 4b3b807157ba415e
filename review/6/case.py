"""Two disks are lost right after a machine left that has a successor."""

import asyncio
import signal

import harness


async def main(fleet: harness.Fleet) -> int:
    """Run the case."""
    record = fleet.record
    cores = [fleet.add_core(z) for z in ('a1', 'b1', 'c1', 'a2', 'b2')]
    first, second, third, fourth, fifth = cores
    successor = fleet.add_core('b2')
    successor.settings['first_start'] = False
    fleet.set_seeds()
    for core in cores:
        core.start()
    service = harness.make_service('shop', 1)
    route = harness.make_route('r-1', '/one/', 'shop', 1)
    first_call = harness.make_patch([service], [route], 1)
    if not await harness.order(
        fleet, cores, 'PATCH', '/api/config', first_call
    ):
        return harness.NOT_RUN
    for core in cores:
        core.settings['first_start'] = False
    await asyncio.sleep(2.0)

    # The fifth machine is replaced as planned: its successor has had twice
    # the time to catch up when it gets SIGTERM.
    successor.start()
    await asyncio.sleep(2 * harness.BOUNDS['catchUp'])
    fifth.send(signal.SIGTERM)
    await asyncio.to_thread(fifth.wait)
    record.write(f'{fifth.name} has ended')
    if not harness.wants_trouble():
        await asyncio.sleep(harness.BOUNDS['catchUp'])
    running = [first, second, third, fourth, successor]
    route = harness.make_route('r-1', '/one/', 'shop', 2, timeout='1500ms')
    change = harness.make_patch([], [route])
    if not await harness.order(fleet, running, 'PATCH', '/api/config', change):
        return harness.NOT_RUN

    # Two machines lose their disks, as many as the settings allow.
    for core in (first, second):
        core.kill()
        core.wipe()
    await asyncio.sleep(2.0)
    first.start()
    second.start()
    await asyncio.sleep(harness.BOUNDS['recovery'])
    config = await harness.read_back(fleet, running, 20.0)
    found = harness.find_route(config, 'r-1') if config else None
    record.write(f'read back: {found}')
    if not harness.are_running(running):
        return harness.NOT_RUN
    if found is None or found['version'] != 2:
        print('LOST: the acknowledged configuration is not read back')
        return harness.BROKEN
    print('held')
    return harness.HELD


harness.run_case(main)
