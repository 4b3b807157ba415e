"""One soak: the system, its traffic and the faults of a seed."""

import asyncio
import pathlib
import random
import signal
import time

from tests.soak import _callers
from tests.soak import _checks
from tests.soak import _operator
from tests.soak import _plan
from tests.soak import _record
from tests.soak import _system
from tests.soak import _targets

CALLERS = 12
# Time at the end in which requests are counted after the recovery.
RECOVERY_SAMPLE_S = 3.0


def run_seed(seed: int, faults_s: float, logs: str) -> list[str]:
    """Run one seed; called in a separate process."""
    directory = pathlib.Path(logs) / f'{seed}-{time.time_ns()}'
    directory.mkdir(parents=True)
    return asyncio.run(_run_until_signalled(seed, faults_s, directory))


async def _run_until_signalled(
    seed: int, faults_s: float, directory: pathlib.Path
) -> list[str]:
    """Run a seed; SIGTERM ends it and all its processes."""
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await run_soak(seed, faults_s, directory)


async def run_soak(
    seed: int, faults_s: float, directory: pathlib.Path
) -> list[str]:
    """Apply the faults of a seed; return a line per violated guarantee.

    The logs of the processes stay in `directory`.
    """
    random.seed(seed)
    record = _record.Record()
    system = _system.System(directory, record)
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
                operator.move_repeatedly(),
                operator.evacuate_repeatedly(),
                system.watch(),
            )
        ]
        try:
            await _apply_faults(_plan.draw_plan(seed, faults_s), system, hosts)
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


async def _apply_faults(
    plan: list[_plan.Fault],
    system: _system.System,
    hosts: list[_targets.TargetHost],
) -> None:
    """Apply all faults at their times; return when all have ended."""
    by_name = {host.name: host for host in hosts}
    start = time.monotonic()
    async with asyncio.TaskGroup() as group:
        for fault in plan:
            await asyncio.sleep(
                max(0.0, start + fault.at_s - time.monotonic())
            )
            host = by_name.get(fault.subject)
            work = host.apply(fault) if host else system.apply(fault)
            group.create_task(work)
