"""A run of a scenario: the cluster, its loads and the recorded history."""

import asyncio
from collections.abc import Sequence
import contextlib
import functools
import time
from typing import Any
from typing import Self

from fulmarseam import client
from fulmarseam import errors
from fulmarseam import standin
from fulmarseam import wire
from fulmarseam.bench import _checker
from fulmarseam.bench import _cluster
from fulmarseam.bench import _plan
from fulmarseam.bench import _processes
from fulmarseam.bench import _waiting

# The policy of this system; the other policies are baselines without entries.
SYSTEM_POLICY = 'ours'
LOAD_EXIT_MARGIN_S = 30.0
WARM_UP_TIMEOUT_S = 20.0


class RouteLoad(dict[str, Any]):
    """The settings of one route of a load process."""


def make_route_load(
    pool: str, once: bool = False, weight: float = 1.0, **options: Any
) -> RouteLoad:
    """Return the load settings of a route that `_plan.make_rows` made."""
    return RouteLoad(
        name=f'once-{pool}' if once else pool,
        host=f'once.{pool}.example' if once else f'{pool}.example',
        method='POST' if once else 'GET',
        body_bytes=100 if once else 0,
        deadline_ms=_plan.MAX_DEADLINE_MS,
        once=once,
        weight=weight,
        **options,
    )


class ScenarioRun:
    """A cluster under load that records the history for the checker."""

    def __init__(self, plan: _plan.Plan) -> None:
        self.cluster = _cluster.Cluster(plan)
        self._loads: list[str] = []
        self.stops: list[_checker.GracefulStop] = []
        self.retirements: list[_checker.Retirement] = []
        self.drains: list[_checker.TargetDrain] = []
        self.shifts: list[_checker.ShiftCap] = []
        self._first_call_at = 0.0

    async def __aenter__(self) -> Self:
        await self.cluster.__aenter__()
        try:
            await self.warm_up()
        except BaseException:
            await self.cluster.__aexit__()
            raise
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self.cluster.__aexit__(*exc_info)

    async def warm_up(self) -> None:
        """Wait until each entry has answered a call to each route."""
        routes = [
            row
            for row in self.cluster.plan.rows
            if isinstance(row, wire.Route)
        ]
        apis = self.cluster.list_apis()
        region = self.cluster.plan.entries[0].region
        async with client.Caller(apis, region) as caller:
            for route in routes:
                for entry in self.cluster.plan.entries:
                    await self._wait_for_answer(caller, route, entry.name)

    async def _wait_for_answer(
        self, caller: client.Caller, route: wire.Route, name: str
    ) -> None:
        address = self.cluster.find_entry_address(name)
        http_client = client.HttpClient()

        async def is_answered() -> bool:
            headers = {'Fulmarseam-Deadline-Ms': '500'}
            try:
                if not route.idempotent:
                    request_id = await caller.create_request_id()
                    headers['Idempotency-Key'] = request_id
                request = client.Request('GET', route.host, '/', headers)
                reply = await http_client.send(address, request, 2.0)
            except (client.ExchangeError, errors.FulmarseamError):
                return False
            return reply.status == 200

        with contextlib.closing(http_client):
            await _waiting.wait_until(
                is_answered,
                WARM_UP_TIMEOUT_S,
                f'{name} answers on {route.name}',
            )

    def start_load(
        self,
        region: str,
        routes: Sequence[RouteLoad],
        phases: Sequence[tuple[float, float]],
        policy: str = SYSTEM_POLICY,
    ) -> str:
        """Start a load process and return its name.

        Each phase has a rate per second and a duration in seconds. With a
        policy other than `SYSTEM_POLICY` the load goes directly to the
        targets.
        """
        name = f'load-{region}-{len(self._loads)}'
        options = {
            **self._make_destination_settings(region, policy),
            'region': region,
            'routes': [dict(route) for route in routes],
            'phases': [
                {'rate_per_s': rate, 'duration_s': duration_s}
                for rate, duration_s in phases
            ],
            'seed': 1 + len(self._loads),
            'caller': name,
            'journal': str(self.cluster.find_journal(name)),
        }
        self.cluster.add_process('load', name, options)
        self.cluster.processes[name].start()
        self._loads.append(name)
        return name

    async def wait_first_call(self) -> float:
        """Wait for the first call of the first load; return its time.

        Offsets of a run count from this time, because a load takes seconds
        to start beside other processes.
        """
        if not self._first_call_at:
            name = self._loads[0]
            path = self.cluster.find_journal(name)
            await _waiting.wait_until(
                lambda: path.exists() and path.stat().st_size > 0,
                WARM_UP_TIMEOUT_S,
                f'first call of {name}',
            )
            self._first_call_at = time.monotonic()
        return self._first_call_at

    def _make_destination_settings(
        self, region: str, policy: str
    ) -> dict[str, Any]:
        if policy != SYSTEM_POLICY:
            target_addresses = [
                self.cluster.addresses[target.name].listen
                for target in self.cluster.plan.targets
            ]
            return {'direct': target_addresses, 'policy': policy}
        local = self.cluster.list_apis(region)
        remote = [api for api in self.cluster.list_apis() if api not in local]
        return {'entries': [*local, *remote]}

    async def wait_loads(self, timeout_s: float) -> None:
        """Wait until all loads have exited.

        Raises `errors.FulmarseamError` if a load failed.
        """
        for name in self._loads:
            process = self.cluster.processes[name]
            await _waiting.wait_until(
                functools.partial(_has_exited, process),
                timeout_s + LOAD_EXIT_MARGIN_S,
                f'{name} exited',
            )
            if process.exit_code != 0:
                raise errors.FulmarseamError(
                    errors.ErrorKind.INTERNAL,
                    f'load process {name} failed: {process.read_output()}',
                )

    async def put_rows(self, *rows: wire.Row) -> wire.EditResult:
        """Make an edit that must be accepted and record it for the checker."""
        result = await self.cluster.operator.put_rows(rows)
        if result.kind is not None:
            raise errors.FulmarseamError(
                errors.ErrorKind(result.kind), '; '.join(result.problems)
            )
        accepted = time.monotonic()
        for row in rows:
            if isinstance(row, wire.Route) and row.retired:
                retirement = _checker.Retirement(row.name, accepted)
                self.retirements.append(retirement)
            if isinstance(row, wire.Shift):
                self.shifts.append(
                    _checker.ShiftCap(
                        row.pool,
                        row.from_region,
                        row.to_region,
                        row.cap_percent,
                        accepted,
                        float('inf'),
                    )
                )
        return result

    async def drain_target(self, name: str) -> None:
        """Start a drain of a target and wait until it is active."""
        await self.put_rows(
            wire.Drain(
                name=f'drain-{name}',
                scope=wire.DrainScope.TARGET,
                subject=name,
                start=time.time(),
            )
        )

        async def is_active() -> bool:
            row = await self.cluster.operator.read_row(
                wire.Drain, f'drain-{name}'
            )
            return row is not None and row.state is not (
                wire.DrainState.PLANNED
            )

        await _waiting.wait_until(is_active, 5.0, f'drain of {name} active')
        self.drains.append(_checker.TargetDrain(name, time.monotonic()))

    def kill_target(self, name: str) -> None:
        """Kill a target and append a DOWN record to its journal."""
        self.cluster.processes[name].kill()
        plan = next(
            target
            for target in self.cluster.plan.targets
            if target.name == name
        )
        journal = standin.Journal(str(self.cluster.find_journal(name)))
        journal.append(
            standin.RunRecord(
                time=time.monotonic(),
                event=standin.RunEvent.DOWN,
                target=name,
                pool=plan.pool,
                region=plan.region,
                incarnation=0,
                slots=plan.slots,
                busy=0,
            )
        )
        journal.close()

    async def stop_entry(self, name: str) -> float:
        """Stop an entry gracefully; return the seconds until it exited."""
        begin = time.monotonic()
        taken = await self.cluster.stop(name)
        self.stops.append(
            _checker.GracefulStop(
                self.cluster.find_entry_address(name),
                begin,
                time.monotonic(),
            )
        )
        return taken

    def collect_history(self) -> _checker.History:
        """Return the history of the run so far."""
        plan = self.cluster.plan
        calls = [
            call
            for name in self._loads
            for call in self.cluster.read_calls(name)
        ]
        return _checker.History(
            calls=calls,
            runs=self.cluster.read_runs(),
            entry_regions={
                self.cluster.find_entry_address(entry.name): entry.region
                for entry in plan.entries
            },
            route_pools={
                row.name: row.pool
                for row in plan.rows
                if isinstance(row, wire.Route)
            },
            link_bytes_per_s={
                row.name: row.bytes_per_s
                for row in plan.rows
                if isinstance(row, wire.Link)
            },
            stops=self.stops,
            retirements=self.retirements,
            drains=self.drains,
            shifts=self.shifts,
        )


def _has_exited(process: _processes.Process) -> bool:
    return process.exit_code is not None


async def wait_until_offset(run: ScenarioRun, offset_s: float) -> None:
    """Wait until an offset from the first call of the first load."""
    first_call_at = await run.wait_first_call()
    await asyncio.sleep(max(0.0, first_call_at + offset_s - time.monotonic()))
