"""Entries that lose their paths to targets, all of them or some."""

import asyncio
import enum
from typing import ClassVar
from typing import NamedTuple

from fulmarseam import http
from tests import rate_limit_case


class CutKind(enum.Enum):
    """What a lost path does to new connections."""

    HANGING = 'hanging'
    REFUSED = 'refused'


class CutPool(http.TargetPool):
    """The connections of one entry to a target, with a path to cut."""

    cut: CutKind | None = None

    async def open(self, signal, timeout_s=1.0):
        """Open a connection, unless the path is cut."""
        if self.cut is None:
            return await super().open(signal, timeout_s)
        if self.cut is CutKind.HANGING:
            await asyncio.sleep(min(timeout_s, 1.0))
        raise http.TargetError(
            http.Reason.CONNECT_FAILED, http.Progress.NOT_SENT, 'path cut'
        )

    async def is_listening(self, timeout_s):
        """Return whether a new connection opens."""
        if self.cut is None:
            return await super().is_listening(timeout_s)
        if self.cut is CutKind.HANGING:
            await asyncio.sleep(timeout_s)
        return False

    def cut_path(self, kind: CutKind) -> None:
        """Cut the path; kept connections are reset."""
        self.cut = kind
        self.close_idle(asyncio.get_running_loop().time())


class CutPools(http.TargetPools):
    """The connections of one entry, with paths to cut."""

    def __init__(self) -> None:
        super().__init__()
        self._cuts: dict[str, CutKind] = {}

    def get(self, address, limit, idle_limit=None):
        """Return the pool of a target."""
        if address not in self._pools:
            pool = self._pools[address] = CutPool(address, limit, idle_limit)
            pool.cut = self._cuts.get(address)
        return super().get(address, limit, idle_limit)

    async def is_listening(self, address, timeout_s):
        """Return whether a new connection to a target opens."""
        return await self.get(address, 1).is_listening(timeout_s)

    def cut_paths(self, addresses: list[str], kind: CutKind) -> None:
        """Cut the paths to some targets."""
        for address in addresses:
            self._cuts[address] = kind
            if address in self._pools:
                self._pools[address].cut_path(kind)

    def heal(self) -> None:
        """Heal all paths."""
        self._cuts.clear()
        for pool in self._pools.values():
            pool.cut = None


class Share(NamedTuple):
    """How many first tries were served."""

    served: int
    tries: int

    def __str__(self) -> str:
        return f'{self.served} of {self.tries}'


class CutOffCase(rate_limit_case.RateLimitCase):
    """Runs a control member, entries and targets."""

    entry_count = 3
    target_count = 6
    route: ClassVar[dict[str, object]] = {}

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        await self.put_items(idempotent=True, max_attempts=2, **self.route)
        self.servers = [self.make_target() for _ in range(self.target_count)]
        for number, server in enumerate(self.servers):
            await self.add_target(f't{number}', server)
        await self.start_entries(self.entry_count)
        self.paths: list[CutPools] = []
        for entry in self.entries:
            paths = CutPools()
            entry._target_pools = paths
            entry.prober.is_listening = paths.is_listening
            forwarder = entry._forwarder
            forwarder._dependencies = forwarder._dependencies._replace(
                target_pools=paths
            )
            forwarder._target_attempts._dependencies = forwarder._dependencies
            self.paths.append(paths)

    def make_target(self) -> rate_limit_case.LimitedTarget:
        """Return a target that is not started yet."""
        return rate_limit_case.LimitedTarget()

    def cut(
        self, entry: int, kind: CutKind, targets: int | None = None
    ) -> None:
        """Cut an entry off from the first targets, or from all."""
        addresses = [target.address for target in self.targets[:targets]]
        self.paths[entry].cut_paths(addresses, kind)

    async def measure_one(self, rate_per_s: float, duration_s: float) -> Share:
        """Send requests to the first entry; return what it served."""
        caller = self.make_callers()[0]
        await caller.run(rate_per_s, duration_s)
        return Share(caller.statuses.count(200), len(caller.statuses))

    async def measure(
        self, rate_per_s: float, duration_s: float
    ) -> list[Share]:
        """Send requests to all entries; return what each served."""
        callers = self.make_callers()
        await asyncio.gather(
            *(caller.run(rate_per_s, duration_s) for caller in callers)
        )
        return [
            Share(caller.statuses.count(200), len(caller.statuses))
            for caller in callers
        ]
