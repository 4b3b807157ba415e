"""Two disks are lost right after a replaced machine was removed."""

import asyncio
import contextlib
import json
import shutil
import signal
import time

import stand

ZONES = {
    'lautoka-a': 'viti-west',
    'nadi-b': 'viti-west',
    'suva-a': 'viti-east',
    'nausori-b': 'viti-east',
    'labasa-a': 'vanua-north',
}
HOST = 'h.example'
SETTLE_S = 8.0
# Three times `catchUp` (4 s).
SUCCESSOR_S = 12.0
AFTER_REMOVAL_S = 0.5
DOWN_S = 1.0
RECOVERY_S = 15.0
READ_S = 20.0


async def case() -> bool:
    system = stand.System('removed', ZONES, list(ZONES), [])
    try:
        await system.start()
        await configure(system, 1)
        await asyncio.sleep(SETTLE_S)
        for machine in system.controls:
            machine.fields['bootstrap'] = False
            machine.write_settings()
        removed = system.controls[4]
        successor = system.add_control('labasa-a')
        await successor.start()
        await asyncio.sleep(SUCCESSOR_S)
        if stand.TROUBLE:
            # It is removed for good, without SIGTERM.
            await removed.kill()
            system.controls.remove(removed)
            system.removed.append(removed)
        await asyncio.sleep(AFTER_REMOVAL_S)
        await configure(system, 2)
        await lose_disks(system, system.controls[:2])
        await asyncio.sleep(RECOVERY_S)
        return not await read_back(system, 2)
    finally:
        await system.close()


async def configure(system, version) -> None:
    route = stand.make_route(
        'r1', '/a/', 'listview', True, version=version, timeout='1500ms'
    )
    await system.configure(
        {
            'services': stand.make_services(['listview'], version),
            'limits': stand.make_limits(version),
            'hosts': [{'host': HOST, 'paths': [route]}],
        }
    )


async def lose_disks(system, machines) -> None:
    """Take power and disks from machines at the same moment."""
    for machine in machines:
        machine.signal(signal.SIGKILL)
    for machine in machines:
        await machine.process.wait()
        shutil.rmtree(machine.fields['dataDir'])
        machine.write_disk()
        system.write(f'{machine.name} has lost its disk')
    await asyncio.sleep(DOWN_S)
    for machine in machines:
        await machine.start()


async def read_back(system, version) -> bool:
    """Return whether the configuration can be read at its last version."""
    until = time.monotonic() + READ_S
    while time.monotonic() < until:
        for machine in system.controls:
            status, found = None, None
            with contextlib.suppress(
                OSError, EOFError, ValueError, TimeoutError
            ):
                async with asyncio.timeout(1.0):
                    answer = await stand.exchange(
                        machine.fields['listen']['control'],
                        'GET',
                        '/api/config',
                    )
                status = answer.status
                if status == 200:
                    found = json.loads(answer.body)
            system.write(f'read at {machine.name} -> {status}')
            if found is not None:
                versions = [
                    path['version']
                    for host in found['hosts']
                    for path in host['paths']
                ]
                system.write(f'read versions {versions}')
                print('read', versions)
                return versions == [version]
        await asyncio.sleep(0.5)
    print('nothing could be read')
    system.write('nothing could be read')
    return False


stand.main(case)
