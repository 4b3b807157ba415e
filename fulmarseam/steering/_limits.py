"""How much may be issued to an entry now."""

from collections.abc import Collection

from fulmarseam import ids
from fulmarseam import wire
from fulmarseam.steering import _ledger


class Limits:
    """Limits of what a holder may have, given the charges of the others.

    Grants of a former leader may be in force until `window_end`. `former`
    names the incarnations that may hold them; without it any number of
    unknown ones is assumed. Until all of them have acknowledged grants of
    this term or the window has ended, a holder only gets renewed what it
    reports to hold. After the window, what no holder has confirmed is held
    back until requests that were dispatched in it must have ended.
    """

    def __init__(
        self,
        ledger: _ledger.Ledger,
        window_end: float,
        former: Collection[_ledger.HolderKey] | None,
    ) -> None:
        self._ledger = ledger
        self._window_end = window_end
        self._unheard = None if former is None else set(former)

    def confirm(self, key: _ledger.HolderKey) -> None:
        """Note that a holder has acknowledged grants of this term.

        It refuses answers of the former leader from then on, which may
        still be on their way.
        """
        if self._unheard is not None:
            self._unheard.discard(key)

    def is_renewing(self, now: float) -> bool:
        """Return whether entries not heard may hold unexpired grants."""
        return now < self._window_end and not self._has_heard_all()

    def may_hold_unheard(self, now: float) -> bool:
        """Return whether entries not heard may still run requests."""
        return now < self._window_end + self._ledger.longest_deadline()

    def slots(
        self, now: float, holder: _ledger.Holder, report: wire.TargetReport
    ) -> int:
        """Return the slots that a holder may have; may be below zero."""
        target = report.target
        own = holder.charges.get(target, _ledger.NOTHING).slots
        free = report.slots - self._ledger.slots[target] + own
        if self.is_renewing(now):
            use = holder.uses.get(target)
            return min(free, 0 if use is None else use.allowance)
        confirmed = self._ledger.confirmed.get(target, _ledger.NOTHING)
        unconfirmed = report.slots - confirmed.slots
        return free - self._hold_back(now, target, unconfirmed)

    def connections(
        self, now: float, holder: _ledger.Holder, report: wire.TargetReport
    ) -> int:
        """Return the connections that a holder may have."""
        target = report.target
        own = holder.charges.get(target, _ledger.NOTHING).connections
        free = report.connections - self._ledger.connections[target] + own
        if self.is_renewing(now):
            use = holder.uses.get(target)
            return min(free, 0 if use is None else use.connections)
        confirmed = self._ledger.confirmed.get(target, _ledger.NOTHING)
        unconfirmed = report.connections - confirmed.connections
        return free - self._hold_back(now, target, unconfirmed)

    def link(
        self, now: float, holder: _ledger.Holder, name: str, total: int
    ) -> int:
        """Return the bytes/s that a holder may have of a link's `total`."""
        own = holder.link_charges.get(name, 0)
        free = total - self._ledger.links[name] + own
        if self.is_renewing(now):
            return max(0, min(free, holder.links_held.get(name, 0)))
        unconfirmed = total - self._ledger.confirmed_links[name]
        return max(0, free - self._hold_back(now, None, unconfirmed))

    def _has_heard_all(self) -> bool:
        return self._unheard is not None and not self._unheard

    def _hold_back(
        self, now: float, target: ids.TargetId | None, unconfirmed: int
    ) -> int:
        """Return what entries that were never heard may still use.

        Without a target the longest deadline of all pools counts.
        """
        deadline_s = self._ledger.longest_deadline()
        if target is not None:
            deadline_s = self._ledger.deadline_of(target)
        if self._has_heard_all() or now >= self._window_end + deadline_s:
            return 0
        return max(0, unconfirmed)
