"""Refusals of requests that no target has capacity for."""

from fulmarseam import errors
from fulmarseam import ids
from fulmarseam import steering
from fulmarseam import wire
from fulmarseam.gateway import _load_balancer

# A shorter mean service time would let callers return together.
MIN_SERVICE_S = 0.05


class Refusals:
    """Makes the errors of refused requests, which say when to come back."""

    def __init__(self, load_balancer: _load_balancer.LoadBalancer) -> None:
        self._load_balancer = load_balancer
        self._return_times: dict[ids.PoolName, steering.ReturnTimes] = {}
        # Returns to pools whose targets all pause, after the end of a pause.
        self._pause_returns: dict[ids.PoolName, steering.ReturnTimes] = {}

    def make_error(
        self,
        now: float,
        route: wire.RouteItem,
        pool_name: ids.PoolName,
        avoided_count: int,
    ) -> errors.FulmarseamError:
        """Return the error of a request that `avoided_count` did not run."""
        load = self._describe_load(now, pool_name)
        first = self._find_first_return(now, route, pool_name)
        if first is not None:
            load += f', {first.target} wants requests again first'
            retry_after_s: float | None = self._schedule_after_pause(
                now, route, pool_name, first
            )
        else:
            retry_after_s = self._schedule_return(now, route, pool_name)
        if avoided_count:
            return errors.FulmarseamError(
                errors.ErrorKind.TARGET_SHED,
                f'{avoided_count} targets did not run it, no other has '
                f'capacity: {load}',
                retry_after_s,
            )
        return errors.FulmarseamError(
            errors.ErrorKind.NO_CAPACITY,
            f'no target has capacity: {load}',
            retry_after_s,
        )

    def _describe_load(self, now: float, pool_name: ids.PoolName) -> str:
        """Return the load of a pool for the details of a refusal."""
        targets = self._load_balancer.get_targets(pool_name)
        limited_targets = self._load_balancer.limited_targets
        ejected_count = sum(
            steering.is_ejected(observed, now) for observed in targets
        )
        cold_count = sum(
            steering.is_cold(observed, now) for observed in targets
        )
        limited_count = sum(
            limited_targets.get_rate(observed.target) is not None
            for observed in targets
        )
        load = sum(
            steering.estimate_load(observed, now) for observed in targets
        )
        slots = sum(observed.record.slots for observed in targets)
        return (
            f'targets {len(targets)}, ejected {ejected_count}, '
            f'cold {cold_count}, limited {limited_count}, '
            f'estimated load {load:.1f} of {slots} slots'
        )

    def _find_first_return(
        self, now: float, route: wire.RouteItem, pool_name: ids.PoolName
    ) -> steering.ObservedTarget | None:
        """Return the target that wants requests first, if none does now."""
        notices = self._load_balancer.notices
        if not notices:
            return None
        waiting = []
        for observed in self._load_balancer.get_allowed_targets(
            route, pool_name
        ):
            state = notices.get_state(now, observed.process)
            if state is not steering.NoticeState.WILLING:
                waiting.append(observed)
            elif not steering.is_ejected(observed, now):
                return None
        return min(
            waiting,
            key=lambda observed: notices.get_return_time(
                now, observed.process
            ),
            default=None,
        )

    def _schedule_after_pause(
        self,
        now: float,
        route: wire.RouteItem,
        pool_name: ids.PoolName,
        first: steering.ObservedTarget,
    ) -> float:
        """Return when a caller should come back to a pool that pauses.

        Callers return one after another, as fast as the first target can
        serve them.
        """
        return_at = self._load_balancer.notices.get_return_time(
            now, first.process
        )
        service_s = first.service_s * first.work_factor.get(now)
        rate_per_s = first.record.slots / max(service_s, MIN_SERVICE_S)
        return_times = self._pause_returns.setdefault(
            pool_name, steering.ReturnTimes()
        )
        return (
            return_at
            - now
            + return_times.schedule(return_at, route.priority, rate_per_s)
        )

    def _schedule_return(
        self, now: float, route: wire.RouteItem, pool_name: ids.PoolName
    ) -> float | None:
        """Return when the caller should come back, if rate limits bind."""
        supply = self._load_balancer.limited_targets.compute_supply(
            now,
            [
                observed.target
                for observed in self._load_balancer.get_targets(pool_name)
            ],
        )
        if supply is None:
            return None
        return_times = self._return_times.setdefault(
            pool_name, steering.ReturnTimes()
        )
        return return_times.schedule(now, route.priority, supply)
