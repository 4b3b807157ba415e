"""Builds of earlier commits, and the replacement of one build by another."""

import asyncio
import pathlib
import random
import subprocess
import tarfile
import time
from typing import NamedTuple

from tests.soak import _callers
from tests.soak import _checks
from tests.soak import _operator
from tests.soak import _plan
from tests.soak import _record
from tests.soak import _system
from tests.soak import _targets

CALLERS = 8
# A target names a limit during the replacements.
LIMITED_TARGET = 0
LIMIT_S = 30.0
LETHAL_INTERVAL_S = 0.5
RECOVERY_SAMPLE_S = 3.0
# Time between two replacements, which lets a started member catch up.
STEP_GAP_S = 1.0


class Replacement(NamedTuple):
    """A process that is started again, with the new build or the old one."""

    name: str
    is_new: bool = True
    is_kill: bool = False


def extract_build(commit: str, directory: pathlib.Path) -> pathlib.Path | None:
    """Extract the programs of a commit; return None without its history."""
    archive = directory / f'{commit}.tar'
    done = subprocess.run(
        ['git', 'archive', f'--output={archive}', commit, 'fulmarseam'],
        cwd=_system.ROOT,
        capture_output=True,
        check=False,
    )
    if done.returncode:
        return None
    build = directory / commit
    with tarfile.open(archive) as tar:
        tar.extractall(build, filter='data')
    return build


async def run_replacements(
    seed: int,
    old: pathlib.Path,
    steps: list[Replacement],
    directory: pathlib.Path,
) -> list[str]:
    """Replace processes of an old build under traffic; return the findings.

    An edit follows each step. Meanwhile a target names a limit, and a lethal
    request comes at any entry.
    """
    random.seed(seed)
    record = _record.Record()
    system = _system.System(directory, record)
    for process in system.processes.values():
        process.build = old
    hosts = _targets.make_hosts(system, record)
    async with system:
        for host in hosts:
            await host.start()
        operator = _operator.Operator(system, record)
        await operator.set_up()
        await system.wait_until_ready()
        callers = [
            _callers.Caller(number, system, record)
            for number in range(CALLERS)
        ]
        calling = asyncio.gather(*(caller.run() for caller in callers))
        background = [
            asyncio.create_task(work)
            for work in (
                system.watch(),
                _callers.send_lethal_requests(system, LETHAL_INTERVAL_S),
                hosts[LIMITED_TARGET].apply(
                    _plan.Fault(0.0, _plan.FaultKind.LIMIT, '', LIMIT_S)
                ),
            )
        ]
        try:
            for step in steps:
                await asyncio.sleep(STEP_GAP_S)
                build = _system.ROOT if step.is_new else old
                await system.replace(step.name, build, step.is_kill)
                await operator.move()
            record.faults_ended_at = time.monotonic()
            await asyncio.sleep(_checks.RECOVERY_S + RECOVERY_SAMPLE_S)
        finally:
            for caller in callers:
                caller.is_stopping = True
            await calling
            for task in background:
                task.cancel()
            results = await asyncio.gather(*background, return_exceptions=True)
        await operator.read_back()
        record.relayed = system.list_relayed_requests()
        for host in hosts:
            await host.crash()
    for result in results:
        if isinstance(result, Exception):
            raise result
    return _checks.check_record(record)
