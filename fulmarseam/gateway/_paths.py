"""The paths of a gateway to the targets of all pools."""

from collections.abc import Callable
from collections.abc import Mapping
import functools

import logbook

from fulmarseam import ids
from fulmarseam import relay
from fulmarseam import steering
from fulmarseam import telemetry
from fulmarseam.gateway import _pools

_log = logbook.Logger('gateway')


class Paths:
    """Which targets a gateway reaches, by new and by kept connections.

    `has_kept_connection` tells whether there are idle connections to an
    address.
    """

    def __init__(
        self,
        pools: Mapping[ids.PoolName, _pools.Pool],
        has_kept_connection: Callable[[str], bool],
    ) -> None:
        self._pools = pools
        self._has_kept_connection = has_kept_connection

    def _get(self, observed: steering.ObservedTarget) -> steering.Reachability:
        return self._pools[observed.record.pool].reachability

    def is_cut(self, observed: steering.ObservedTarget) -> bool:
        """Return whether the paths to the pool of a target are cut."""
        return self._get(observed).state is steering.PathState.CUT_OFF

    def note_unreachable(
        self, now: float, observed: steering.ObservedTarget
    ) -> None:
        """Record that a target could not be reached or fell silent."""
        pool = self._pools[observed.record.pool]
        pool.reachability.note_unreachable(
            now, observed.target, len(pool.targets)
        )

    def may_send(self, observed: steering.ObservedTarget) -> bool:
        """Return whether a request can reach a target now."""
        reachability = self._get(observed)
        return reachability.may_open(observed.target) or (
            reachability.may_use_kept()
            and self._has_kept_connection(observed.record.address)
        )

    def may_open(self, observed: steering.ObservedTarget) -> bool:
        """Return whether a request may open a connection to a target."""
        return self._get(observed).may_open(observed.target)

    def note_kept(
        self, now: float, observed: steering.ObservedTarget, is_answered: bool
    ) -> None:
        """Record an answer on a kept connection, or that it broke."""
        reachability = self._get(observed)
        if is_answered:
            reachability.note_kept_answer(now)
        else:
            reachability.note_kept_break(now)

    def is_cut_off(self) -> bool:
        """Return whether the paths to most targets are cut."""
        cut_count = sum(
            len(pool.targets)
            for pool in self._pools.values()
            if pool.reachability.state is steering.PathState.CUT_OFF
        )
        return 2 * cut_count > sum(
            len(pool.targets) for pool in self._pools.values()
        )

    def choose_probes(self) -> list[relay.Probe]:
        """Return the targets to connect to, to find out about the paths."""
        return [
            self._make_probe(targets[target])
            for targets, pool in self._list_pools()
            for target in pool.reachability.choose_probes(targets)
        ]

    def _list_pools(
        self,
    ) -> list[tuple[dict[ids.TargetId, steering.ObservedTarget], _pools.Pool]]:
        return [
            ({observed.target: observed for observed in pool.targets}, pool)
            for pool in self._pools.values()
        ]

    def _make_probe(self, observed: steering.ObservedTarget) -> relay.Probe:
        return relay.Probe(
            observed.record.address,
            functools.partial(self._note_probe, observed),
        )

    def _note_probe(
        self, observed: steering.ObservedTarget, is_reached: bool
    ) -> None:
        """Record whether a target accepted a connection."""
        pool = self._pools[observed.record.pool]
        state = pool.reachability.state
        pool.reachability.note_probe(
            observed.target, is_reached, len(pool.targets)
        )
        if is_reached:
            steering.end_ejection(observed)
        new_state = pool.reachability.state
        if steering.PathState.CUT_OFF not in (state, new_state) or (
            new_state is state
        ):
            return
        _log.warning(
            telemetry.format_event(
                'paths',
                pool=observed.record.pool,
                state=new_state.value,
                previous=state.value,
                targets=len(pool.targets),
            )
        )
        if state is steering.PathState.CUT_OFF:
            for other in pool.targets:
                steering.end_ejection(other)

    def note_opened(self, observed: steering.ObservedTarget) -> None:
        """Record a new connection to a target."""
        self._get(observed).note_reached(observed.target)
