"""What all entries observe of the targets, merged by the leader.

With hundreds of targets an entry sends a target a request only now and then,
so by itself it sees neither its queue nor its failure in time.
"""

from collections.abc import Collection
from collections.abc import Sequence
from typing import NamedTuple

from fulmarseam import ids
from fulmarseam import wire

# An entry that has not polled for this long no longer counts; entries poll
# the leader each 0.2 s.
REPORT_LIFETIME_S = 1.5
# Entries of a region that must have ejected a target before the others of
# the region avoid it. One entry may have lost only its own link.
MIN_EJECTING_ENTRIES = 2
# Merged loads are handed out again for this long.
MERGE_INTERVAL_S = 0.05


class _Report(NamedTuple):
    received_at: float
    region: ids.RegionName
    observations: list[wire.TargetObservation]


class _Merged(NamedTuple):
    merged_at: float
    revision: int
    loads: bytes


class SharedLoads:
    """The latest observations of each entry; times in seconds."""

    def __init__(self) -> None:
        self._reports: dict[ids.EntryId, _Report] = {}
        self._merged: dict[ids.RegionName, _Merged] = {}
        self._region_loads: dict[ids.RegionName, int] = {}
        self._summed_at = float('-inf')

    def record(self, now: float, poll: wire.EntryPoll) -> None:
        """Replace the observations of an entry."""
        self._reports[poll.entry] = _Report(
            now, poll.region, poll.observations
        )

    def get_packed(
        self,
        now: float,
        region: ids.RegionName,
        revision: int,
        targets: Collection[ids.TargetId],
    ) -> bytes:
        """Return the packed loads of all targets for entries of a region.

        `targets` are those of the catalog at `revision`.
        """
        merged = self._merged.get(region)
        if (
            merged is None
            or merged.revision != revision
            or now - merged.merged_at >= MERGE_INTERVAL_S
        ):
            loads = self._merge(now, region, sorted(targets))
            merged = self._merged[region] = _Merged(
                now, revision, wire.pack_loads(loads)
            )
        return merged.loads

    def sum_by_region(self, now: float) -> dict[ids.RegionName, int]:
        """Return the requests in flight of the entries of each region."""
        if now - self._summed_at >= MERGE_INTERVAL_S:
            self._summed_at = now
            loads: dict[ids.RegionName, int] = {}
            for report in self._reports.values():
                if now - report.received_at > REPORT_LIFETIME_S:
                    continue
                loads[report.region] = loads.get(report.region, 0) + sum(
                    min(wire.MAX_PACKED_LOAD, max(0, observation.in_flight))
                    for observation in report.observations
                )
            self._region_loads = loads
        return self._region_loads

    def _merge(
        self,
        now: float,
        region: ids.RegionName,
        targets: Sequence[ids.TargetId],
    ) -> bytes:
        in_flight: dict[ids.TargetId, int] = {}
        ejecting: dict[ids.TargetId, int] = {}
        for entry, report in list(self._reports.items()):
            if now - report.received_at > REPORT_LIFETIME_S:
                del self._reports[entry]
                continue
            for observation in report.observations:
                target = observation.target
                in_flight[target] = in_flight.get(target, 0) + max(
                    0, observation.in_flight
                )
                if observation.is_ejected and report.region == region:
                    ejecting[target] = ejecting.get(target, 0) + 1
        return bytes(
            wire.FAILING_TARGET
            if ejecting.get(target, 0) >= MIN_EJECTING_ENTRIES
            else min(wire.MAX_PACKED_LOAD, in_flight.get(target, 0))
            for target in targets
        )
