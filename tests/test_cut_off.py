"""Tests of entries that have lost their paths to targets."""

import asyncio

from tests import cut_off_case

CutKind = cut_off_case.CutKind

RATE_PER_S = 10.0
# Entries have this long to find out that their paths are cut.
SETTLE_S = 3.0
MEASURE_S = 2.0
MIN_SERVED_SHARE = 2 / 3


class CutOffTest(cut_off_case.CutOffCase):
    """Guards against callers who pay for lost paths of their entry."""

    async def check_served(self, *cut_entries: int) -> None:
        """Check that the cut-off entries serve about as well as others."""
        shares = await self.measure(RATE_PER_S, MEASURE_S)
        others = [
            share.served / share.tries
            for entry, share in enumerate(shares)
            if entry not in cut_entries
        ]
        for entry in cut_entries:
            self.assertGreaterEqual(
                shares[entry].served / shares[entry].tries,
                MIN_SERVED_SHARE * min(others, default=1.0),
                f'entry {entry}: {[str(share) for share in shares]}',
            )

    async def check_cut(self, kind: CutKind) -> None:
        """Cut an entry off, and check that it serves its callers."""
        await self.measure(RATE_PER_S, 0.5)
        self.cut(0, kind)
        await self.measure(RATE_PER_S, SETTLE_S)
        await self.check_served(0)

    # An entry whose targets were all ejected refused what others could serve.
    async def test_an_entry_without_paths_serves_its_callers(self) -> None:
        await self.check_cut(CutKind.HANGING)

    async def test_an_entry_whose_connections_are_refused_serves_them(
        self,
    ) -> None:
        await self.check_cut(CutKind.REFUSED)
