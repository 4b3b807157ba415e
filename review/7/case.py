"""A restarted machine makes a sound one delete its disk."""

import asyncio

import harness


async def main(fleet: harness.Fleet) -> int:
    """Run the case."""
    record = fleet.record
    cores = [fleet.add_core(z) for z in ('a1', 'b1', 'c1', 'a2', 'b2')]
    first, second, third, fourth, fifth = cores
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

    # The fourth machine is without power; the fifth loses its disk.
    fourth.kill()
    await asyncio.sleep(1.0)
    fifth.kill()
    fifth.wipe()
    await asyncio.sleep(1.0)
    fifth.start()
    await asyncio.sleep(harness.BOUNDS['catchUp'] + 4.0)
    running = [first, second, third, fifth]
    route = harness.make_route('r-1', '/one/', 'shop', 2, timeout='1500ms')
    change = harness.make_patch([], [route])
    if not await harness.order(fleet, running, 'PATCH', '/api/config', change):
        return harness.NOT_RUN

    # All lose power; two lose their disks. The others are back first.
    for core in running:
        core.kill()
    if harness.wants_trouble():
        first.wipe()
        second.wipe()
        await asyncio.sleep(1.0)
        fourth.start()
        fifth.start()
        await asyncio.sleep(5.0)
        third.start()
        first.start()
        second.start()
    else:
        await asyncio.sleep(1.0)
        for core in cores:
            core.start()
    await asyncio.sleep(harness.BOUNDS['recovery'])
    config = await harness.read_back(fleet, cores, 20.0)
    rejoined = fifth.read_log().count('event=member_rejoins')
    record.write(f'{fifth.name} deleted its data {rejoined} times')
    found = harness.find_route(config, 'r-1') if config else None
    record.write(f'read back: {found}')
    if not harness.are_running(cores):
        return harness.NOT_RUN
    if found is None or found['version'] != 2:
        print('LOST: the acknowledged configuration is not read back')
        return harness.BROKEN
    print('held')
    return harness.HELD


harness.run_case(main)
