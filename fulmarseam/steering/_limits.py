"""Upper bounds of the grants that may be issued to an entry now."""

from collections.abc import Collection

from fulmarseam import ids
from fulmarseam import wire
from fulmarseam.steering import _ledger


class GrantLimits:
    """Limits the grants of a holder by the charges of all other holders.

    Grants of a former leader may be in force until `former_grants_end`.
    `former_holders` names the incarnations that may hold them; without it,
    any number of unknown holders is assumed. Until all of them have
    acknowledged grants of this term or those grants have expired, a holder
    only gets the amounts that it reports to hold. After that, amounts that
    no holder has confirmed are reserved until all requests dispatched under
    grants of the former leader must have ended.
    """

    def __init__(
        self,
        ledger: _ledger.Ledger,
        former_grants_end: float,
        former_holders: Collection[_ledger.HolderKey] | None,
    ) -> None:
        self._ledger = ledger
        self._former_grants_end = former_grants_end
        self._unconfirmed_holders = (
            None if former_holders is None else set(former_holders)
        )

    def confirm(self, key: _ledger.HolderKey) -> None:
        """Note that a holder has acknowledged grants of this term.

        From then on it ignores responses of the former leader, which may
        still be in transit.
        """
        if self._unconfirmed_holders is not None:
            self._unconfirmed_holders.discard(key)

    def is_renewal_only(self, now: float) -> bool:
        """Return whether holders only get the amounts that they report.

        This is so while unconfirmed entries may hold unexpired grants.
        """
        return now < self._former_grants_end and not self._are_all_confirmed()

    def may_unconfirmed_run_requests(self, now: float) -> bool:
        """Return whether unconfirmed entries may still run requests."""
        return (
            now
            < self._former_grants_end + self._ledger.get_longest_deadline_s()
        )

    def limit_slots(
        self, now: float, holder: _ledger.Holder, report: wire.TargetReport
    ) -> int:
        """Return the slots that a holder may have; can be negative."""
        target = report.target
        own_charge = holder.charges.get(target, _ledger.NO_AMOUNT).slots
        free = report.slots - self._ledger.charged_slots[target] + own_charge
        if self.is_renewal_only(now):
            use = holder.uses.get(target)
            return min(free, 0 if use is None else use.allowance)
        confirmed = self._ledger.confirmed.get(target, _ledger.NO_AMOUNT)
        unconfirmed = report.slots - confirmed.slots
        return free - self._compute_reserve(now, target, unconfirmed)

    def limit_connections(
        self, now: float, holder: _ledger.Holder, report: wire.TargetReport
    ) -> int:
        """Return the connections that a holder may have."""
        target = report.target
        own_charge = holder.charges.get(target, _ledger.NO_AMOUNT).connections
        free = (
            report.connections
            - self._ledger.charged_connections[target]
            + own_charge
        )
        if self.is_renewal_only(now):
            use = holder.uses.get(target)
            return min(free, 0 if use is None else use.connections)
        confirmed = self._ledger.confirmed.get(target, _ledger.NO_AMOUNT)
        unconfirmed = report.connections - confirmed.connections
        return free - self._compute_reserve(now, target, unconfirmed)

    def limit_link_rate(
        self, now: float, holder: _ledger.Holder, name: str, total: int
    ) -> int:
        """Return the bytes/s of a link's `total` that a holder may have."""
        own_charge = holder.link_charges.get(name, 0)
        free = total - self._ledger.charged_links[name] + own_charge
        if self.is_renewal_only(now):
            return max(0, min(free, holder.links_held.get(name, 0)))
        unconfirmed = total - self._ledger.confirmed_links[name]
        return max(0, free - self._compute_reserve(now, None, unconfirmed))

    def _are_all_confirmed(self) -> bool:
        return (
            self._unconfirmed_holders is not None
            and not self._unconfirmed_holders
        )

    def _compute_reserve(
        self, now: float, target: ids.TargetId | None, unconfirmed: int
    ) -> int:
        """Return the amount that unconfirmed entries may still use.

        Without a target, the longest deadline of all pools applies.
        """
        deadline_s = self._ledger.get_longest_deadline_s()
        if target is not None:
            deadline_s = self._ledger.get_deadline_s(target)
        if (
            self._are_all_confirmed()
            or now >= self._former_grants_end + deadline_s
        ):
            return 0
        return max(0, unconfirmed)
